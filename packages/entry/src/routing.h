#ifndef SHALLOTLUG_ENTRY_SRC_ROUTING_H_
#define SHALLOTLUG_ENTRY_SRC_ROUTING_H_

#include <vector>

#include "state.h"

namespace shallotlug::entry {

/// @brief Brings the routing table up to date with an agent's row.
void RefreshCandidate(State& state, Agent& agent);

/// @brief Removes an agent that is forgotten from the routing table.
void RemoveCandidate(State& state, const Agent& agent);

/// @brief Counts a request sent to an agent until its next report.
void NoteSent(State& state, Agent& agent);

/// @brief Picks an agent for a live request, or null when none is usable.
Agent* PickAgent(State& state,
                 int accelerators,
                 const std::vector<AgentName>& excluded);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_ROUTING_H_
