#ifndef SHALLOTLUG_AGENT_SRC_JOB_ROUNDS_H_
#define SHALLOTLUG_AGENT_SRC_JOB_ROUNDS_H_

#include "state.h"

/// Rounds of a coordinator: sequential reservation, renewal of promises and of
/// the permission to compute.
namespace shallotlug::agent {

/// @brief Ends attempts whose members may have stopped unheard.
void ExpireJobs(State& state, TimePoint now, Outbox& out);

/// @brief Moves every attempt on by what its members have answered, and sends
/// rounds that are due.
void AdvanceJobs(State& state, TimePoint now, Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_JOB_ROUNDS_H_
