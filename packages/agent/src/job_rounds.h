#ifndef SHALLOTLUG_AGENT_SRC_JOB_ROUNDS_H_
#define SHALLOTLUG_AGENT_SRC_JOB_ROUNDS_H_

#include "state.h"

/// Rounds of a coordinator: it reserves the members one after another and
/// renews their reservations and their permission to compute.
namespace shallotlug::agent {

/// @brief Ends attempts whose members may have stopped without the coordinator
/// receiving a message about it.
void ExpireJobs(State& state, TimePoint now, Outbox& out);

/// @brief Advances every attempt according to the statuses of its members and
/// sends rounds that are due.
void AdvanceJobs(State& state, TimePoint now, Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_JOB_ROUNDS_H_
