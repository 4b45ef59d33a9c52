#ifndef SHALLOTLUG_ENTRY_SRC_PAUSE_H_
#define SHALLOTLUG_ENTRY_SRC_PAUSE_H_

#include "state.h"

namespace shallotlug::entry {

/// @brief Detects that this process was paused and starts a refresh.
void CheckPause(State& state);

/// @brief Keeps a call that depends on the configuration while a refresh is
/// under way; false when it may be handled now.
bool Hold(State& state, const IncomingCall& call);

void DropHeld(State& state, CallId call);

/// @brief Notes a heartbeat that may end the refresh.
void OnFreshReport(State& state,
                   const PeerClockSample& before,
                   const AgentReport& report);

/// @brief The held calls once the refresh has ended, otherwise nothing.
std::vector<HeldCall> TakeHeld(State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_PAUSE_H_
