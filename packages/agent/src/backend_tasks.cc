#include "backend_tasks.h"

#include <algorithm>
#include <utility>

#include "live_requests.h"
#include "log.h"
#include "member_tasks.h"

namespace shallotlug::agent {
namespace {

void SendCommand(const State& state, BackendCommand command, Outbox& out) {
  out.backend_commands.push_back(
      {state.backend.incarnation, std::move(command)});
}

bool EndsTask(TaskEventKind kind) {
  return kind != TaskEventKind::kStarted;
}

TaskId NewTaskId(State& state, bool live) {
  const auto incarnation =
      static_cast<std::uint64_t>(state.options.self.incarnation);
  return TaskId((live ? "live-" : "job-") + std::to_string(incarnation) + "-" +
                std::to_string(state.backend.next_task++));
}

void CountLiveEnd(State& state, const TaskEvent& event) {
  if (event.kind == TaskEventKind::kFinished) {
    ++state.reporting.live_finished;
  }
  if (event.kind == TaskEventKind::kFailed) {
    ++state.reporting.live_failed;
  }
}

void OnTaskEvent(State& state,
                 const TaskEvent& event,
                 TimePoint now,
                 Outbox& out) {
  const auto it = state.backend.tasks.find(event.task);
  if (it == state.backend.tasks.end()) {
    state.counters.AddTo("shallotlug_agent_unknown_task_events_total");
    return;
  }
  if (!EndsTask(event.kind)) {
    return;
  }
  const TaskOwner owner = it->second.owner;
  const bool live = it->second.live;
  state.backend.tasks.erase(it);
  if (live) {
    CountLiveEnd(state, event);
  }
  if (const auto* id = std::get_if<RequestId>(&owner)) {
    OnRequestTaskEnd(state, *id, event, now, out);
  } else if (const auto* member = std::get_if<MemberTask>(&owner)) {
    OnMemberTaskEnd(state, *member, event, now, out);
  }
}

// The backend server lost all tasks; their outcomes are lost with them.
void EndAllTasks(State& state, TimePoint now, Outbox& out) {
  std::vector<TaskId> ids;
  for (const auto& [id, task] : state.backend.tasks) {
    ids.push_back(id);
  }
  for (const TaskId& id : ids) {
    OnTaskEvent(state, {id, TaskEventKind::kLapsed, "", 0, "backend_restarted"},
                now, out);
  }
}

void UpdateBackendIncarnation(State& state,
                              const BackendReport& report,
                              TimePoint now,
                              Outbox& out) {
  Backend& backend = state.backend;
  if (backend.report_received && backend.incarnation != report.incarnation) {
    state.counters.AddTo("shallotlug_agent_backend_restarts_total");
    Log(out, LogLevel::kWarning, "backend_restarted");
    EndAllTasks(state, now, out);
  }
  backend.incarnation = report.incarnation;
  backend.report_received = true;
}

void UpdateTaskUsage(State& state, const BackendReport& report) {
  Backend& backend = state.backend;
  for (auto& [id, task] : backend.tasks) {
    task.reported = false;
  }
  backend.orphaned_tasks.clear();
  for (const TaskUsage& usage : report.usage) {
    const auto it = backend.tasks.find(usage.task);
    if (it == backend.tasks.end()) {
      backend.orphaned_tasks[usage.task] = usage.accelerators;
      continue;
    }
    it->second.reported = true;
    it->second.progress = usage.progress;
    it->second.reported_throttled = usage.throttled;
  }
}

// A task that is not listed has ended or has not begun. It is certainly gone
// once its last lease has passed on the backend server's own clock.
void EndLapsedTasks(State& state,
                    const BackendReport& report,
                    TimePoint now,
                    Outbox& out) {
  std::vector<TaskId> lapsed;
  for (const auto& [id, task] : state.backend.tasks) {
    if (!task.reported && report.now > task.lease_until) {
      lapsed.push_back(id);
    }
  }
  for (const TaskId& id : lapsed) {
    state.counters.AddTo("shallotlug_agent_tasks_missing_total");
    OnTaskEvent(state, {id, TaskEventKind::kLapsed, "", 0, "lease_lapsed"}, now,
                out);
  }
}

void StopOrphanedTasks(State& state, Outbox& out) {
  for (const auto& [id, accelerators] : state.backend.orphaned_tasks) {
    state.counters.AddTo("shallotlug_agent_foreign_task_stops_total");
    SendCommand(state, ControlTask{id, TaskAction::kStop}, out);
  }
}

// The time until which a task may run as of now, on this agent's clock. A task
// without an owner, or one that is stopping, gets no further lease.
TimePoint LeaseLimit(const State& state, const Task& task, TimePoint now) {
  const TimePoint longest = now + state.options.worker_lease;
  if (task.live) {
    return task.stopping ? now : longest;
  }
  const auto* owner = std::get_if<MemberTask>(&task.owner);
  const auto it = owner == nullptr ? state.gangs.members.end()
                                   : state.gangs.members.find(owner->attempt);
  if (it == state.gangs.members.end()) {
    return now;
  }
  return std::min(longest, ComputeLimit(state, it->second));
}

}  // namespace

TaskId StartNewTask(State& state,
                    TaskStart start,
                    TimePoint lease_until,
                    Outbox& out) {
  const TaskId id = NewTaskId(state, start.live);
  const PeerTime lease = ToPeerTime(state.backend.clock, lease_until);
  Task task;
  task.owner = std::move(start.owner);
  task.live = start.live;
  task.accelerators = start.accelerators;
  task.throttleable = start.throttleable;
  task.lease_until = lease;
  state.backend.tasks[id] = std::move(task);
  SendCommand(state,
              StartTask{id, start.live, start.accelerators, lease,
                        start.declared_run_time, std::move(start.body),
                        std::move(start.checkpoint)},
              out);
  return id;
}

void ControlTaskById(State& state,
                     const TaskId& task,
                     TaskAction action,
                     Outbox& out) {
  const auto it = state.backend.tasks.find(task);
  if (it == state.backend.tasks.end()) {
    return;
  }
  if (action == TaskAction::kThrottle || action == TaskAction::kResume) {
    it->second.throttled = action == TaskAction::kThrottle;
    it->second.reported_throttled = it->second.throttled;
    state.counters.AddTo(action == TaskAction::kThrottle
                             ? "shallotlug_agent_throttles_total"
                             : "shallotlug_agent_resumes_total");
  }
  it->second.stopping |=
      action == TaskAction::kStop || action == TaskAction::kCheckpoint;
  SendCommand(state, ControlTask{task, action}, out);
}

void OnBackendReport(State& state,
                     const BackendReport& report,
                     TimePoint now,
                     Outbox& out) {
  UpdateBackendIncarnation(state, report, now, out);
  Backend& backend = state.backend;
  if (!backend.reachable) {
    Log(out, LogLevel::kInfo, "backend_reachable");
  }
  backend.reachable = true;
  backend.clock = {report.now, now};
  if (backend.leaving != report.leaving) {
    Log(out, LogLevel::kInfo,
        report.leaving ? "backend_leaving" : "backend_staying");
  }
  backend.leaving = report.leaving;
  for (const TaskEvent& event : report.events) {
    OnTaskEvent(state, event, now, out);
  }
  UpdateTaskUsage(state, report);
  EndLapsedTasks(state, report, now, out);
  StopOrphanedTasks(state, out);
}

void OnBackendUnreachable(State& state, Outbox& out) {
  if (state.backend.reachable) {
    Log(out, LogLevel::kWarning, "backend_unreachable");
  }
  state.backend.reachable = false;
}

void RenewLeases(State& state, TimePoint now, Outbox& out) {
  Backend& backend = state.backend;
  if (now < backend.next_renewal || !backend.reachable) {
    return;
  }
  backend.next_renewal = now + state.options.renew_interval;
  for (auto& [id, task] : backend.tasks) {
    const PeerTime until =
        ToPeerTime(backend.clock, LeaseLimit(state, task, now));
    if (task.reported && until > task.lease_until) {
      task.lease_until = until;
      SendCommand(state, RenewLease{id, until}, out);
    }
  }
}

}  // namespace shallotlug::agent
