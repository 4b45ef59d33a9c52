#ifndef SHALLOTLUG_ENTRY_SRC_ROUTING_H_
#define SHALLOTLUG_ENTRY_SRC_ROUTING_H_

#include <vector>

#include "state.h"

namespace shallotlug::entry {

/// @brief Picks an agent for a live request, or null when none is usable.
Agent* PickAgent(State& state,
                 int accelerators,
                 const std::vector<AgentName>& excluded);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_ROUTING_H_
