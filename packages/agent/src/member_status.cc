#include "member_status.h"

#include <algorithm>
#include <utility>

#include "gang_messages.h"
#include "task_list.h"

namespace shallotlug::agent {
namespace {

std::string Outputs(const Member& member) {
  std::vector<std::string> parts;
  for (const MemberTaskState& task : member.tasks) {
    parts.push_back(task.output);
  }
  return JoinTasks(parts);
}

// The slowest task determines the progress of a gang.
double Progress(const State& state, const Member& member) {
  double progress = 1;
  for (const MemberTaskState& task : member.tasks) {
    const auto it = state.backend.tasks.find(task.id);
    if (it != state.backend.tasks.end()) {
      progress = std::min(progress, it->second.progress);
    } else if (task.end == TaskEnd::kNone) {
      progress = 0;
    }
  }
  return progress;
}

}  // namespace

void SendStatus(State& state,
                const Attempt& attempt,
                const Member& member,
                TimePoint now,
                Outbox& out) {
  MemberStatus status;
  status.attempt = attempt;
  status.member = state.options.self;
  status.round = member.round;
  status.phase = member.phase;
  status.now = AsPeerTime(now);
  status.hold_for = state.options.hold;
  status.progress = Progress(state, member);
  status.reason = member.reason;
  if (Leaving(state) && status.reason.empty()) {
    status.reason = kLeavingReason;
  }
  if (member.phase == MemberPhase::kFinished) {
    status.result = Outputs(member);
  }
  if (member.phase == MemberPhase::kCheckpointed) {
    status.checkpoint = Outputs(member);
  }
  SendToCoordinator(state, member.link, std::move(status), out);
}

void SendRefusal(State& state,
                 LinkId link,
                 const Attempt& attempt,
                 std::uint32_t round,
                 const std::string& reason,
                 TimePoint now,
                 Outbox& out) {
  state.counters.AddTo("shallotlug_agent_member_refusals_total",
                       {{"reason", reason}});
  MemberStatus status;
  status.attempt = attempt;
  status.member = state.options.self;
  status.round = round;
  status.phase = MemberPhase::kRefused;
  status.now = AsPeerTime(now);
  status.reason = reason;
  SendToCoordinator(state, link, std::move(status), out);
}

}  // namespace shallotlug::agent
