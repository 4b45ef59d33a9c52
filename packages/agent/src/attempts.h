#ifndef SHALLOTLUG_AGENT_SRC_ATTEMPTS_H_
#define SHALLOTLUG_AGENT_SRC_ATTEMPTS_H_

#include "state.h"

/// Attempt numbers of a job: a lower attempt never starts after a higher one.
namespace shallotlug::agent {

/// @brief Whether this or a higher attempt of the job was reserved or refused
/// by this agent as a member.
bool WasReserved(const State& state, const Attempt& attempt);
void RecordReserved(State& state, const Attempt& attempt);

/// @brief Whether this or a higher attempt of the job was proposed to, or seen
/// by, this agent.
bool WasProposed(const State& state, const Attempt& attempt);
void RecordProposed(State& state, const Attempt& attempt);

/// @brief Stops lower attempts of the same job that this agent coordinates.
void SupersedeLowerAttempts(State& state,
                            const Attempt& attempt,
                            TimePoint now,
                            Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_ATTEMPTS_H_
