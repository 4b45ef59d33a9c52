#ifndef SHALLOTLUG_ENTRY_SRC_CLUSTER_SYNC_H_
#define SHALLOTLUG_ENTRY_SRC_CLUSTER_SYNC_H_

#include "state.h"

/// Synchronizes decision::Cluster with the agents' reports and the jobs.
namespace shallotlug::entry {

/// @brief Updates a worker from its agent's hello and report.
void SyncWorker(State& state, Agent& agent);

/// @brief Updates a job's accelerators from its row.
void SyncJob(State& state, const JobId& job);

/// @brief Gives running jobs their tasks on workers that were added since the
/// last call.
void SyncJobsOfNewWorkers(State& state);

/// @brief Removes workers whose agent is unlinked and was last heard more than
/// `abandon_after` ago.
void RemoveDeadWorkers(State& state);

/// @brief The accelerators of an attempt, by worker row, without those of
/// workers that are not known here.
std::vector<decision::Allocation> AllocationsOf(
    const State& state,
    const std::vector<GangMember>& members);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_CLUSTER_SYNC_H_
