#ifndef SHALLOTLUG_DECISION_MIGRATION_H_
#define SHALLOTLUG_DECISION_MIGRATION_H_

#include <optional>
#include <set>
#include <vector>

#include "guarantee_state.h"
#include "packer.h"
#include "reservation.h"
#include "shallotlug/decision/plan.h"

namespace shallotlug::decision {

/// @brief State of the current plan that a migration reads and changes.
struct MigrationContext {
  const Cluster::Tables& tables;
  const GuaranteeState* guarantees = nullptr;
  FreeIndexTransaction& transaction;
  Packer& packer;
  const Reservations& reservations;
  const Targets& targets;
  const RunTimes& run_times;
  const std::set<JobId>& stopped;  ///< Jobs that the plan stops already.
  std::size_t budget = 0;          ///< Jobs that may still be migrated.
  TimePoint now{};
};

/// @brief Frees a shape by stopping single-worker jobs that fit elsewhere now
/// or have more slack than the waiting job. Only checkpointable jobs and those
/// that have run for less than kMaxLostWork (10 min) are stopped. Takes the
/// shape's free accelerators and the new places of the migrated jobs in the
/// transaction, so that nothing else is planned there.
std::optional<Placement> FreeShapeByMigration(const MigrationContext& context,
                                              const RankedJob& ranked);

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_MIGRATION_H_
