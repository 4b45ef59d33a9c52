#ifndef SHALLOTLUG_SCHEDULER_SRC_OCCURRENCES_H_
#define SHALLOTLUG_SCHEDULER_SRC_OCCURRENCES_H_

#include "state.h"

/// Rows of a job's occurrences. A repeated job has rows of the occurrences that
/// are due or recorded, and of the first one; a job that is due each hour of a
/// year would take the memory of all of them otherwise.
namespace shallotlug::scheduler {

/// @brief Adds the occurrences of a job that is not known yet, and the runs
/// that a predecessor has recorded.
void AddOccurrences(State& state, const workload::JobEntry& entry, Now now);

/// @brief Adds the occurrences that have become due. A job has at most as many
/// open tasks as the largest job; the occurrences beyond wait.
void AddDueOccurrences(State& state, Now now);

/// @brief Cancels a job. Occurrences that were never due need no record.
void CancelOccurrences(State& state, const JobId& job);

/// @brief Notes that the outcome of an occurrence was decided.
void NoteFinal(State& state, const JobId& job);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_OCCURRENCES_H_
