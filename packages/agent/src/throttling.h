#ifndef SHALLOTLUG_AGENT_SRC_THROTTLING_H_
#define SHALLOTLUG_AGENT_SRC_THROTTLING_H_

#include <optional>

#include "state.h"

/// Throttling of batch tasks in favour of live requests.
namespace shallotlug::agent {

/// @brief Finds a slot and `count` accelerators for a live request: free ones
/// first, then those of throttleable tasks, which it throttles. None when there
/// are too few; then nothing is throttled.
std::optional<AcceleratorMask> TakeForLive(State& state,
                                           int count,
                                           Outbox& out);

/// @brief Whether TakeForLive would succeed.
bool CanTakeForLive(const State& state, int count);

/// @brief Resumes throttled tasks whose accelerators live work has left.
void ResumeThrottledTasks(State& state, Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_THROTTLING_H_
