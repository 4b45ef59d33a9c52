#include "member_tasks.h"

#include <algorithm>
#include <utility>

#include "backend_tasks.h"
#include "member_status.h"
#include "task_list.h"

namespace shallotlug::agent {
namespace {

bool HasEnd(const Member& member, TaskEnd end) {
  return std::any_of(
      member.tasks.begin(), member.tasks.end(),
      [&](const MemberTaskState& task) { return task.end == end; });
}

bool AllEnded(const Member& member) {
  return !HasEnd(member, TaskEnd::kNone);
}

MemberPhase PhaseAfterEnd(const Member& member) {
  if (HasEnd(member, TaskEnd::kFailed)) {
    return MemberPhase::kFailed;
  }
  if (HasEnd(member, TaskEnd::kStopped)) {
    return MemberPhase::kStopped;
  }
  return HasEnd(member, TaskEnd::kCheckpointed) ? MemberPhase::kCheckpointed
                                                : MemberPhase::kFinished;
}

TaskEnd EndOf(const TaskEvent& event) {
  const bool complete = event.answer.size() == event.answer_length;
  switch (event.kind) {
    case TaskEventKind::kFinished:
      return complete ? TaskEnd::kFinished : TaskEnd::kFailed;
    case TaskEventKind::kCheckpointed:
      return complete ? TaskEnd::kCheckpointed : TaskEnd::kStopped;
    case TaskEventKind::kFailed:
    case TaskEventKind::kRejected:
      return TaskEnd::kFailed;
    default:
      return TaskEnd::kStopped;
  }
}

std::string ReasonOf(const TaskEvent& event) {
  if (!event.reason.empty()) {
    return event.reason;
  }
  switch (event.kind) {
    case TaskEventKind::kFinished:
      return "answer_incomplete";
    case TaskEventKind::kRejected:
      return "rejected";
    case TaskEventKind::kFailed:
      return "task_failed";
    case TaskEventKind::kLapsed:
      return "lease_lapsed";
    default:
      return "stopped";
  }
}

std::string CheckpointOf(const Member& member, std::size_t index) {
  const auto parts = SplitTasks(member.checkpoint);
  return parts && index < parts->size() ? (*parts)[index] : "";
}

}  // namespace

TimePoint ComputeLimit(const State& state, const Member& member) {
  if (!state.options.guards.run_until) {
    return TimePoint::max();
  }
  return member.run_until.value_or(TimePoint{});
}

void StartMemberTasks(State& state,
                      const Attempt& attempt,
                      Member& member,
                      TimePoint now,
                      Outbox& out) {
  const bool throttleable = member.spec.shape.tasks == 1;
  const TimePoint lease =
      std::min(now + state.options.worker_lease, ComputeLimit(state, member));
  for (std::size_t i = 0; i < member.tasks.size(); ++i) {
    TaskStart start{.owner = MemberTask{attempt, i},
                    .accelerators = member.tasks[i].accelerators,
                    .throttleable = throttleable,
                    .declared_run_time = member.spec.declared_run_time,
                    .body = member.spec.body,
                    .checkpoint = CheckpointOf(member, i)};
    member.tasks[i].id = StartNewTask(state, std::move(start), lease, out);
  }
  member.phase = MemberPhase::kRunning;
  state.counters.AddTo("shallotlug_agent_members_started_total");
}

void EndMemberTasks(State& state,
                    Member& member,
                    TaskAction action,
                    const std::string& reason,
                    Outbox& out) {
  const bool repeated = member.stopping && action == TaskAction::kCheckpoint;
  if (repeated) {
    return;
  }
  member.stopping = true;
  if (member.reason.empty()) {
    member.reason = reason;
  }
  for (const MemberTaskState& task : member.tasks) {
    ControlTaskById(state, task.id, action, out);
  }
}

void DetachMemberTasks(State& state, Member& member) {
  for (const MemberTaskState& task : member.tasks) {
    const auto it = state.backend.tasks.find(task.id);
    if (it != state.backend.tasks.end()) {
      it->second.owner = std::monostate{};
    }
  }
}

void EndTasksPastLease(State& state, TimePoint now, Outbox& out) {
  // The backend server's clock may be slower than this one.
  const PeerTime backend_now = ToPeerTime(state.backend.clock, now) -
                               LeaseMargin(state.options.worker_lease);
  std::vector<std::pair<TaskId, MemberTask>> past;
  for (auto& [id, task] : state.backend.tasks) {
    const auto* owner = std::get_if<MemberTask>(&task.owner);
    if (owner != nullptr && task.lease_until <= backend_now) {
      past.emplace_back(id, *owner);
      task.owner = std::monostate{};
    }
  }
  for (const auto& [id, owner] : past) {
    OnMemberTaskEnd(state, owner,
                    {id, TaskEventKind::kLapsed, "", 0, "lease_lapsed"}, now,
                    out);
  }
}

void OnMemberTaskEnd(State& state,
                     const MemberTask& owner,
                     const TaskEvent& event,
                     TimePoint now,
                     Outbox& out) {
  const auto it = state.gangs.members.find(owner.attempt);
  if (it == state.gangs.members.end()) {
    return;
  }
  Member& member = it->second;
  MemberTaskState& task = member.tasks[owner.index];
  task.end = EndOf(event);
  if (task.end == TaskEnd::kFailed || task.end == TaskEnd::kStopped) {
    EndMemberTasks(state, member, TaskAction::kStop, ReasonOf(event), out);
  } else {
    task.output = event.answer;
  }
  if (AllEnded(member)) {
    member.phase = PhaseAfterEnd(member);
    SendStatus(state, owner.attempt, member, now, out);
  }
}

}  // namespace shallotlug::agent
