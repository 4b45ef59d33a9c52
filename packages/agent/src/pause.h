#ifndef SHALLOTLUG_AGENT_SRC_PAUSE_H_
#define SHALLOTLUG_AGENT_SRC_PAUSE_H_

#include "state.h"

/// Expiry of leases after a pause of the process.
namespace shallotlug::agent {

/// @brief Ends all permissions, reservations, attempts and queued requests that
/// have expired.
void ExpireLeases(State& state, TimePoint now, Outbox& out);

/// @brief Expires leases before anything else is handled when this process was
/// paused.
void CheckPause(State& state, TimePoint now, Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_PAUSE_H_
