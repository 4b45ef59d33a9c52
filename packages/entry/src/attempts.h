#ifndef SHALLOTLUG_ENTRY_SRC_ATTEMPTS_H_
#define SHALLOTLUG_ENTRY_SRC_ATTEMPTS_H_

#include "state.h"

namespace shallotlug::entry {

void SendProposal(State& state, const ProposeJob& proposal);
void SendStop(State& state,
              const AgentRef& coordinator,
              const Attempt& attempt,
              StopReason reason);

void OnJobUpdate(State& state, LinkId link, const JobUpdate& update);

/// @brief Reconciles the attempts that an agent coordinates with the job table.
void OnReportedAttempts(State& state, const Agent& agent);

/// @brief Acknowledges final updates that need no further record.
/// `RecordFinals` then queues records for the remaining ones.
void AcknowledgeFinals(State& state);
void RecordFinals(State& state);

/// @brief Resolves claimed attempts that no agent reports, and repeats stops.
/// For the planner only.
void ResolveAttempts(State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_ATTEMPTS_H_
