#ifndef SHALLOTLUG_DECISION_TABLES_H_
#define SHALLOTLUG_DECISION_TABLES_H_

#include <map>
#include <memory>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "free_index.h"
#include "shallotlug/decision/cluster.h"

namespace shallotlug::decision {

class GuaranteeCache;

/// @brief A task on a worker. The job lives in Tables::jobs.
struct Occupant {
  const RunningJob* job = nullptr;
  AcceleratorMask mask = 0;
};

struct WorkerRow {
  WorkerInfo info;
  bool alive = true;
  bool schedulable = true;
  AcceleratorMask other = 0;  ///< Not available.
  AcceleratorMask live = 0;   ///< In use by live requests now.
  std::vector<Occupant> occupants;
  int immovable = 0;  ///< Single tasks that cannot be checkpointed.
};

/// @brief Orders the jobs of one customer: non-preemptible jobs first, then by
/// start time.
struct JobOrder {
  bool repeatable = false;
  TimePoint started{};
  JobId id;

  bool operator<(const JobOrder& other) const {
    return std::tie(repeatable, started, id.value) <
           std::tie(other.repeatable, other.started, other.id.value);
  }
};

struct Cluster::Tables {
  std::vector<WorkerRow> workers;
  std::set<std::uint32_t> repeatable_only;     ///< Workers under probe.
  std::set<std::uint32_t> partly_unavailable;  ///< Workers with other use.
  std::unordered_map<AgentName, std::uint32_t> by_agent;
  std::unordered_map<DataCentreName, std::uint32_t> centres;
  std::map<std::pair<DataCentreName, RackName>, std::uint32_t> racks;
  std::unordered_map<JobId, RunningJob> jobs;
  std::map<CustomerName, std::set<JobOrder>> by_customer;
  std::set<JobId> pinned;    ///< Non-preemptible jobs.
  std::set<JobId> stopping;  ///< Jobs that were asked to stop.
  std::size_t alive = 0;
  int live_accelerators = 0;  ///< In use by live requests now.
  int throttleable = 0;       ///< Used by single-worker jobs.
  /// Behind a pointer, so that a plan over a const cluster can try changes and
  /// undo them.
  std::unique_ptr<FreeIndex> free = std::make_unique<FreeIndex>();
  /// Behind a pointer for the same reason.
  std::unique_ptr<GuaranteeCache> guarantees;
};

/// @brief All accelerators of the worker.
AcceleratorMask AllOf(const WorkerRow& row);
/// @brief Accelerators that no job occupies; live requests may use them.
AcceleratorMask FreeOf(const WorkerRow& row);

constexpr std::uint32_t RowOf(WorkerIndex worker) {
  return static_cast<std::uint32_t>(worker);
}

/// @brief Whether a job prevents a shape from being freed for as long as it
/// runs.
inline bool IsImmovable(const RunningJob& job) {
  return job.tasks.size() == 1 && !job.checkpointable;
}

/// @brief Whether a job may be stopped and started again.
inline bool IsPreemptible(const RunningJob& job) {
  return job.repeatable;
}

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_TABLES_H_
