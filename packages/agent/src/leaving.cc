#include "leaving.h"

#include "log.h"
#include "member.h"

namespace shallotlug::agent {
namespace {

// Acknowledgements of final outcomes need the log. During a log outage the
// process does not wait for them longer than this.
constexpr Millis kAckLimit{30'000};

bool AllFinal(const State& state) {
  for (const auto& [attempt, job] : state.gangs.jobs) {
    if (job.stage != JobStage::kFinal) {
      return false;
    }
  }
  return true;
}

bool LiveInFlight(const State& state) {
  if (!state.live.queue.empty()) {
    return true;
  }
  for (const auto& [id, task] : state.backend.tasks) {
    if (task.live) {
      return true;
    }
  }
  return false;
}

}  // namespace

void AnnounceLeaving(State& state, TimePoint now, Outbox& out) {
  const bool leaving = Leaving(state);
  if (leaving == state.gangs.leaving_announced) {
    return;
  }
  state.gangs.leaving_announced = leaving;
  Log(out, LogLevel::kInfo, leaving ? "leaving" : "staying");
  if (leaving) {
    SendMemberStatuses(state, now, out);
  }
}

bool MayExit(State& state, TimePoint now) {
  if (!state.shutdown) {
    return false;
  }
  if (!state.options.guards.drain_on_shutdown) {
    return true;
  }
  if (LiveInFlight(state) || !AllFinal(state) || !state.gangs.members.empty()) {
    state.drained_since.reset();
    return false;
  }
  if (!state.drained_since) {
    state.drained_since = now;
    return false;  // The messages of this step have to leave first.
  }
  return state.gangs.jobs.empty() || now - *state.drained_since > kAckLimit;
}

}  // namespace shallotlug::agent
