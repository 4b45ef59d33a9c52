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

/// @brief Whether rendezvous hashing gives a duty to this entry.
bool IsResponsible(const State& state, std::string_view duty);

/// @brief Whether this entry plans long jobs now.
bool IsPlanner(const State& state);

/// @brief Decides anew whether this entry plans long jobs.
void ElectPlanner(State& state);

/// @brief Announces this entry when that is due, and drops lapsed ones.
void KeepEntries(State& state);

/// @brief Tells the others that this entry leaves.
void AnnounceLeaving(State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_PEERS_H_
