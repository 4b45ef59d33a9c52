#ifndef SHALLOTLUG_ENTRY_SRC_CLUSTER_SYNC_H_
#define SHALLOTLUG_ENTRY_SRC_CLUSTER_SYNC_H_

#include "state.h"

/// Keeps decision::Cluster in step with the agents' reports and the jobs.
namespace shallotlug::entry {

/// @brief Brings a worker up to date with its agent's hello and report.
void SyncWorker(State& state, Agent& agent);

/// @brief Brings a job's accelerators up to date with its row.
void SyncJob(State& state, const JobId& job);

/// @brief Gives running jobs their tasks on workers that were added since the
/// last call.
void SyncJobsOfNewWorkers(State& state);

/// @brief Removes workers whose agent has been unlinked for long.
void RemoveDeadWorkers(State& state);

/// @brief The accelerators of an attempt, by worker row, without those of
/// workers that are not known here.
std::vector<decision::Allocation> AllocationsOf(
    const State& state,
    const std::vector<GangMember>& members);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_CLUSTER_SYNC_H_
