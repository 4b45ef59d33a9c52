#ifndef SHALLOTLUG_ENTRY_SRC_LIVE_H_
#define SHALLOTLUG_ENTRY_SRC_LIVE_H_

#include "state.h"

namespace shallotlug::entry {

void OnMint(State& state, CallId call, const api::MintCall& mint);
void OnSend(State& state, CallId call, const api::SendCall& send);
void OnOneShot(State& state, CallId call, const api::OneShotCall& one_shot);
void OnResolve(State& state, CallId call, const api::ResolveCall& resolve);

void OnRequestOutcome(State& state, LinkId link, const RequestOutcome& outcome);

/// @brief Handles the loss of an agent's link for the requests sent on it.
void OnAgentUnlinked(State& state, const Agent& agent);

/// @brief Resolves an agent's requests through its new link. Requests of
/// earlier incarnations end with an unknown outcome.
void OnAgentLinked(State& state, const Agent& agent, bool new_incarnation);

void OnCallerGone(State& state, CallId call);

/// @brief Handles requests whose deadline or wait for resolution has passed.
void HandleRequestTimers(State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_LIVE_H_
