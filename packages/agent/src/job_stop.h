#ifndef SHALLOTLUG_AGENT_SRC_JOB_STOP_H_
#define SHALLOTLUG_AGENT_SRC_JOB_STOP_H_

#include <string>

#include "state.h"

/// Stops of whole attempts. Members keep their accelerators until no member
/// computes: either every member has reported it, or the last permission to
/// compute has passed.
namespace shallotlug::agent {

/// @brief Stops an attempt for a planner or an operator.
void StopAttempt(State& state,
                 const Attempt& attempt,
                 StopReason reason,
                 TimePoint now,
                 Outbox& out);

/// @brief Records that an attempt which this agent does not coordinate never
/// starts here.
void RefusePermanently(State& state,
                       const Attempt& attempt,
                       const std::string& reason,
                       TimePoint now,
                       Outbox& out);

/// @brief Whether an attempt may be stopped and continued elsewhere.
bool CanRestartElsewhere(const Job& job);

/// @brief Begins to move an attempt elsewhere, with a checkpoint if it can
/// make one.
void PreemptJob(State& state,
                const Attempt& attempt,
                Job& job,
                const std::string& reason,
                TimePoint now,
                Outbox& out);

/// @brief Begins a stop; an attempt that was never permitted to compute ends
/// at once as not started.
void BeginStop(State& state,
               const Attempt& attempt,
               Job& job,
               JobStop stop,
               TimePoint now,
               Outbox& out);

/// @brief Ends a stop when all members have settled.
void AdvanceStop(State& state,
                 const Attempt& attempt,
                 Job& job,
                 TimePoint now,
                 Outbox& out);

/// @brief Reports that every member has finished.
void FinishWithResult(State& state,
                      const Attempt& attempt,
                      Job& job,
                      TimePoint now,
                      Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_JOB_STOP_H_
