#ifndef SHALLOTLUG_SCHEDULER_SRC_ORDERS_H_
#define SHALLOTLUG_SCHEDULER_SRC_ORDERS_H_

#include "state.h"

/// Orders in the calls to an agent. A call takes a bounded number of bytes; the
/// orders that do not fit go with the next one.
namespace shallotlug::scheduler {

/// @brief Whether the agent should be sent an order now.
bool OrderIsDue(const State& state, const AgentRow& agent, TimePoint now);

/// @brief Adds due orders to a call to the agent, and the acknowledgements of
/// crashes, refusals and ends of former lives.
void AddOrders(State& state,
               AgentRow& agent,
               protocol::SyncRequest& request,
               TimePoint now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_ORDERS_H_
