#ifndef SHALLOTLUG_DECISION_PLAN_H_
#define SHALLOTLUG_DECISION_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/base/work.h"
#include "shallotlug/decision/cluster.h"
#include "shallotlug/decision/run_times.h"

/// Planning of long jobs.
namespace shallotlug::decision {

/// @brief A job that waits for accelerators.
struct WaitingJob {
  JobId id;
  CustomerName customer;
  ClassName job_class;
  JobShape shape;
  bool repeatable = true;
  bool checkpointable = false;
  TimePoint submitted{};
  Millis declared_run_time{};
  double progress = 0;     ///< Kept by the last checkpoint.
  int failures = 0;        ///< Attempts that failed.
  TimePoint not_before{};  ///< Back-off after a refused or failed attempt.
  std::vector<AgentName> failed_at;  ///< Not tried again while others exist.
};

/// @brief Start a job on these accelerators.
struct Placement {
  JobId job;
  std::vector<Allocation> tasks;  ///< One for each task.
  std::vector<JobId> victims;     ///< Jobs that must stop first.
};

/// @brief Stop a running job as a whole.
struct Preemption {
  JobId job;
  /// To free a shape by migration rather than to reclaim one.
  bool for_migration = false;
};

struct PlanOptions {
  /// Maximum number of waiting jobs considered in one plan.
  std::size_t scan_limit = 1000;
  /// Maximum concurrent migrations, as a fraction of running jobs.
  double migration_budget = 0.02;
  /// Lower bound of that limit, so that a small cluster can free a rack.
  std::size_t least_migrations = 32;
  /// Accelerators for each worker, on average over the cluster, that gangs
  /// leave free or to work that can be throttled, if there is a live class.
  int live_headroom = 1;
  /// Added to that, as a multiple of what live requests use now.
  double live_reserve = 1.2;
  bool keep_guarantees = true;  ///< Tests disable it to show that it matters.
  /// Waiting jobs for which blocks are kept free in one plan.
  std::size_t reservation_limit = 4;
  /// Waiting jobs for which one plan tries to free a shape by migration.
  std::size_t opening_limit = 8;
};

struct Plan {
  std::vector<Placement> placements;
  std::vector<Preemption> preemptions;
  std::uint64_t rows_examined = 0;  ///< Table rows read for the plan.
};

/// @brief Selects the jobs to start and to stop now. Does not change `cluster`;
/// the caller adds the placements that it applies.
Plan MakePlan(const Cluster& cluster,
              const std::vector<WaitingJob>& waiting,
              const Targets& targets,
              const RunTimes& run_times,
              const PlanOptions& options,
              TimePoint now);

/// @brief The empty string when some worker, rack or data centre of the cluster
/// could hold the shape if it were empty; otherwise why none can.
std::string WhyNeverPlaceable(const Cluster& cluster, const JobShape& shape);

/// @brief Checks that all guarantees can be held at once on the empty cluster.
/// Returns findings with the arithmetic; empty means they can.
std::vector<std::string> CheckGuarantees(const Cluster& cluster,
                                         const Targets& targets);

enum class GuaranteeStanding { kNone, kHeld, kLent, kReclaiming, kShort };

struct GuaranteeStatus {
  ClassName name;
  CustomerName customer;
  GuaranteeStanding standing = GuaranteeStanding::kNone;
  int groups_guaranteed = 0;
  int groups_short = 0;  ///< Groups that no longer fit on live workers.
};

/// @brief State of each class's guarantee, for the burn report.
std::vector<GuaranteeStatus> GuaranteeStates(const Cluster& cluster,
                                             const Targets& targets);

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_PLAN_H_
