#ifndef SHALLOTLUG_ENTRY_SRC_PEERS_H_
#define SHALLOTLUG_ENTRY_SRC_PEERS_H_

#include <string>
#include <vector>

#include "state.h"

namespace shallotlug::entry {

/// @brief Peer addresses of the live entries, this one first.
std::vector<std::string> KnownEntries(const State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_PEERS_H_
