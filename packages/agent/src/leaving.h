#ifndef SHALLOTLUG_AGENT_SRC_LEAVING_H_
#define SHALLOTLUG_AGENT_SRC_LEAVING_H_

#include "state.h"

/// Leaving: the backend server is leaving, or this process shuts down.
namespace shallotlug::agent {

/// @brief Tells coordinators when this worker starts to leave.
void AnnounceLeaving(State& state, TimePoint now, Outbox& out);

/// @brief Whether a graceful shutdown has finished.
bool MayExit(State& state, TimePoint now);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_LEAVING_H_
