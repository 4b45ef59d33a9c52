#ifndef SHALLOTLUG_ENTRY_SRC_PAUSE_H_
#define SHALLOTLUG_ENTRY_SRC_PAUSE_H_

#include "state.h"

namespace shallotlug::entry {

/// @brief Detects that this process was paused and starts a refresh.
void CheckPause(State& state);

/// @brief Holds a call that depends on the configuration until the refresh
/// ends; returns false if it can be handled now.
bool HoldDuringRefresh(State& state, const IncomingCall& call);

void DropHeldCall(State& state, CallId call);

/// @brief Ends the refresh if the agent report is newer than the pause and its
/// configuration revision is not newer than this entry's.
void OnFreshReport(State& state, const Agent& agent, const AgentReport& report);

/// @brief Returns and clears the held calls once the refresh has ended;
/// otherwise returns none.
std::vector<HeldCall> ReleaseHeldCalls(State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_PAUSE_H_
