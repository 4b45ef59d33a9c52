#ifndef SHALLOTLUG_DECISION_GUARANTEE_CACHE_H_
#define SHALLOTLUG_DECISION_GUARANTEE_CACHE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "guarantee_state.h"
#include "reclaim_index.h"

namespace shallotlug::decision {

/// @brief The guarantee state of a cluster, cached between plans.
///
/// Changes of preemptible work, and of workers without other work, are applied
/// incrementally. New workers, changes of non-preemptible work, and states in
/// which not all work inside guarantees can be held, lead to a derivation from
/// scratch.
class GuaranteeCache {
 public:
  explicit GuaranteeCache(const Cluster::Tables& tables)
      : tables_(&tables), reclaim_(tables) {}

  /// @brief Called after a job entered the tables.
  void JobAdded(const RunningJob& job);
  /// @brief Called before a job leaves the tables.
  void JobRemoved(const RunningJob& job);
  /// @brief Called when a worker's capacity changed.
  void WorkerChanged(std::uint32_t worker);
  /// @brief Called when a worker was added.
  void Invalidate() { state_.reset(); }
  /// @brief Called when the work on a worker changed.
  void OccupancyChanged(std::uint32_t worker) { reclaim_.MarkChanged(worker); }

  /// @brief The same state as a new GuaranteeState after Derive. The caller
  /// rolls its changes back. Adds the number of rows that the update read to
  /// `examined`.
  GuaranteeState& Current(const std::vector<GuaranteeLine>& lines,
                          std::uint64_t& examined);
  ReclaimIndex& Reclaim() { return reclaim_; }

 private:
  const Cluster::Tables* tables_;
  std::optional<GuaranteeState> state_;
  std::vector<GuaranteeLine> lines_;
  CustomerChanges changes_;
  ReclaimIndex reclaim_;
};

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_GUARANTEE_CACHE_H_
