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

/// @brief Resolves requests of an agent through its new link. With `new_life`,
/// requests of its earlier lives end as unknown.
void OnAgentLinked(State& state, const Agent& agent, bool new_life);

void OnCallerGone(State& state, CallId call);

/// @brief Handles requests whose deadline or wait for resolution has passed.
void HandleRequestTimers(State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_LIVE_H_
