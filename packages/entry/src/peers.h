#ifndef SHALLOTLUG_ENTRY_SRC_PEERS_H_
#define SHALLOTLUG_ENTRY_SRC_PEERS_H_

#include <string>
#include <string_view>
#include <vector>

#include "state.h"

namespace shallotlug::entry {

/// @brief Peer addresses of the live entries, this one first.
std::vector<std::string> KnownEntries(const State& state);

/// @brief Operator addresses of the live entries, this one first.
std::vector<std::string> OperatorAddresses(const State& state);

/// @brief Whether rendezvous hashing assigns a duty to this entry.
bool IsResponsible(const State& state, std::string_view duty);

/// @brief Whether this entry is currently the planner of long jobs.
bool IsPlanner(const State& state);

/// @brief Re-evaluates whether this entry is the planner.
void ElectPlanner(State& state);

/// @brief Announces this entry when due, expires other entries and re-elects
/// the planner.
void MaintainEntries(State& state);

/// @brief Announces to the other entries that this one is leaving.
void AnnounceLeaving(State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_PEERS_H_
