#ifndef SHALLOTLUG_AGENT_SRC_JOB_UPDATES_H_
#define SHALLOTLUG_AGENT_SRC_JOB_UPDATES_H_

#include <string>

#include "state.h"

/// Job updates to entries about the attempts that this agent coordinates.
namespace shallotlug::agent {

/// @brief Phase of an attempt, as entries see it.
JobPhase PhaseOf(const Job& job);

/// @brief Sends the current phase to all entries.
void SendJobUpdate(State& state,
                   const Attempt& attempt,
                   Job& job,
                   TimePoint now,
                   Outbox& out);

/// @brief Ends an attempt: releases all members and reports the outcome until
/// an entry acknowledges it.
void FinishJob(State& state,
               const Attempt& attempt,
               Job& job,
               JobUpdate update,
               TimePoint now,
               Outbox& out);

/// @brief Repeats final updates and the progress of running attempts.
void SendDueJobUpdates(State& state, TimePoint now, Outbox& out);

void OnJobUpdateAck(State& state, const JobUpdateAck& message);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_JOB_UPDATES_H_
