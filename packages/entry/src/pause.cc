#include "pause.h"

#include <algorithm>
#include <utility>

#include "replies.h"

namespace shallotlug::entry {
namespace {

constexpr Millis kPauseThreshold{2000};
// After this time the entry continues with the configuration it has.
constexpr Millis kRefreshLimit{2000};

bool DependsOnConfig(const api::Call& call) {
  return !std::holds_alternative<api::ResolveCall>(call) &&
         !std::holds_alternative<api::GetJobCall>(call) &&
         !std::holds_alternative<api::CancelJobsCall>(call);
}

// Restarts the silence timers: peers were not silent during the pause, their
// messages are still unread.
void ResetSilenceTimers(State& state) {
  for (auto& [id, link] : state.links) {
    link.last_heard = state.now;
  }
  for (auto& [job, track] : state.jobs.tracks) {
    track.last_reported = state.now;
  }
}

// A second pause keeps the samples of the first one while its refresh lasts.
void KeepClocks(State& state) {
  if (state.refresh.active) {
    return;
  }
  for (auto& [name, agent] : state.agents) {
    agent.clock_before_pause = agent.clock;
  }
}

}  // namespace

void CheckPause(State& state) {
  if (state.now - state.last_step <= kPauseThreshold) {
    return;
  }
  Count(state, "shallotlug_entry_pauses_total");
  Log(state, LogLevel::kWarning, "resumed_after_pause",
      {{"ms", std::to_string((state.now - state.last_step).count())}});
  ResetSilenceTimers(state);
  KeepClocks(state);
  state.refresh.active = true;
  state.refresh.since = state.now;
  state.config_io.reader.due = state.now;
  state.jobs.plan_not_before = state.now + state.options.heartbeat_interval;
}

bool HoldDuringRefresh(State& state, const IncomingCall& call) {
  if (!state.refresh.active || !DependsOnConfig(call.call) ||
      state.refresh.held.size() >= state.options.pending_request_limit) {
    return false;
  }
  state.refresh.held.push_back({call, state.now});
  return true;
}

void DropHeldCall(State& state, CallId call) {
  if (!state.refresh.held.empty()) {
    state.refresh.disconnected_callers.insert(call);
  }
}

void OnFreshReport(State& state,
                   const Agent& agent,
                   const AgentReport& report) {
  // Reports made before the process resumed are still read after it. They must
  // not serve as samples here, because they seem to have been received late.
  const bool fresh =
      agent.clock_before_pause &&
      report.now > ToPeerTime(*agent.clock_before_pause, state.refresh.since);
  const bool known =
      report.config_revision <= stream::Current(state.config).revision;
  if (state.refresh.active && fresh && known) {
    state.refresh.active = false;
  }
}

std::vector<HeldCall> ReleaseHeldCalls(State& state) {
  const bool read = state.config_io.reader.caught_up &&
                    state.config_io.reader.caught_up_at >= state.refresh.since;
  if (state.refresh.active &&
      (read || state.now - state.refresh.since >= kRefreshLimit)) {
    state.refresh.active = false;
  }
  if (state.refresh.active) {
    return {};
  }
  std::vector<HeldCall> held = std::exchange(state.refresh.held, {});
  const auto gone = std::exchange(state.refresh.disconnected_callers, {});
  std::erase_if(held,
                [&](const HeldCall& it) { return gone.contains(it.call.id); });
  return held;
}

}  // namespace shallotlug::entry
