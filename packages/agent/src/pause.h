#ifndef SHALLOTLUG_AGENT_SRC_PAUSE_H_
#define SHALLOTLUG_AGENT_SRC_PAUSE_H_

#include "state.h"

/// Leases of a process that was paused.
namespace shallotlug::agent {

/// @brief Ends everything whose time has run out: permissions, promises,
/// attempts and queued requests.
void ExpireLeases(State& state, TimePoint now, Outbox& out);

/// @brief Expires leases before anything else is handled when this process was
/// paused.
void CheckPause(State& state, TimePoint now, Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_PAUSE_H_
