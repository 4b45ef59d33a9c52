#ifndef SHALLOTLUG_ENTRY_SRC_CONFIG_H_
#define SHALLOTLUG_ENTRY_SRC_CONFIG_H_

#include "state.h"

namespace shallotlug::entry {

/// @brief Adopts a newer configuration sent by an agent.
void OnConfigUpdate(State& state, const ConfigUpdate& update);

void OnSetTarget(State& state, CallId call, const api::SetTargetCall& set);
void OnGetTargets(State& state, CallId call, const api::GetTargetsCall& get);
void OnHistory(State& state, CallId call, const api::HistoryCall& history);
void OnGetChange(State& state, CallId call, const api::GetChangeCall& get);

/// @brief Answers changes whose verdict has been read back, and those that were
/// not read back in time.
void AnswerPendingChanges(State& state);

/// @brief Answers a change whose append ended without being read back.
void OnChangeNotice(State& state, const stream::AppendNotice& notice);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_CONFIG_H_
