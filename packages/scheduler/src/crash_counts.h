#ifndef SHALLOTLUG_SCHEDULER_SRC_CRASH_COUNTS_H_
#define SHALLOTLUG_SCHEDULER_SRC_CRASH_COUNTS_H_

#include "state.h"

/// Counts of the workers that have crashed under each task.
namespace shallotlug::scheduler {

/// @brief Counts a crash that an agent reports, and acknowledges the report
/// once the count is durable.
void ApplyCrash(State& state,
                AgentRow& agent,
                const protocol::CrashReport& crash);

/// @brief Counts the end of a worker's life that its agent cannot explain,
/// because the agent has started again meanwhile. Only a task under which a
/// worker has crashed before is taken to be the cause.
void CountUnreportedCrash(State& state,
                          const AgentRow& agent,
                          const workload::RunRef& run);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_CRASH_COUNTS_H_
