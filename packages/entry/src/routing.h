#ifndef SHALLOTLUG_ENTRY_SRC_ROUTING_H_
#define SHALLOTLUG_ENTRY_SRC_ROUTING_H_

#include <vector>

#include "state.h"

namespace shallotlug::entry {

/// @brief Updates the agent's row in the routing table.
void RefreshCandidate(State& state, Agent& agent);

/// @brief Removes an agent from the routing table before it is deleted.
void RemoveCandidate(State& state, const Agent& agent);

/// @brief Counts a request sent to an agent until its next report.
void RecordSent(State& state, Agent& agent);

/// @brief Picks an agent for a live request, or null when none is usable.
Agent* PickAgent(State& state,
                 int accelerators,
                 const std::vector<AgentName>& excluded);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_ROUTING_H_
