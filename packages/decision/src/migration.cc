#include "migration.h"

#include <algorithm>
#include <bit>

#include "block_choice.h"
#include "victims.h"

namespace shallotlug::decision {
namespace {

/// A job that was migrated or started less than this ago is not migrated, so
/// that two waiting shapes do not move it back and forth.
constexpr Millis kMinResidencyTime{30'000};

/// Work that cannot be checkpointed starts again, so it is stopped only while
/// little is lost. With 2 min, gangs at the Authority waited up to 1.9 times as
/// long as in the baseline, because such jobs occupied most racks.
constexpr Millis kMaxLostWork = std::chrono::minutes(10);

bool IsMigratable(const MigrationContext& context, const RunningJob& job) {
  const Millis age = context.now - job.started;
  return (job.checkpointable || age < kMaxLostWork) && IsPreemptible(job) &&
         !job.stopping && job.tasks.size() == 1 && age >= kMinResidencyTime &&
         !context.stopped.contains(job.attempt.job) &&
         (context.guarantees == nullptr || !context.guarantees->IsHeld(job));
}

std::optional<double> MoveCost(const MigrationContext& context,
                               std::uint32_t worker,
                               AcceleratorMask mask) {
  const WorkerRow& row = context.tables.workers[worker];
  const AcceleratorMask usable = AllOf(row) & ~row.other;
  if ((mask & ~usable) != 0 ||
      (context.reservations.Blocked(worker, TimePoint::max()) & mask) != 0) {
    return std::nullopt;
  }
  AcceleratorMask movable = 0;
  double cost = 0;
  for (const RunningJob* it : JobsOn(row, mask)) {
    if (!IsMigratable(context, *it)) {
      return std::nullopt;
    }
    movable |= it->tasks.front().mask;
    cost += std::popcount(it->tasks.front().mask);
  }
  // The index also reflects accelerators that this plan has allocated.
  const AcceleratorMask free = context.transaction.Index().Row(worker).free;
  if ((mask & ~(free | movable)) != 0) {
    return std::nullopt;
  }
  return cost;
}

std::vector<const RunningJob*> JobsToMove(const MigrationContext& context,
                                          const BlockChoice& choice) {
  std::vector<const RunningJob*> jobs;
  for (const Allocation& task : choice.tasks) {
    const WorkerRow& row = context.tables.workers[RowOf(task.worker)];
    for (const RunningJob* it : JobsOn(row, task.mask)) {
      if (std::find(jobs.begin(), jobs.end(), it) == jobs.end()) {
        jobs.push_back(it);
      }
    }
  }
  return jobs;
}

bool HasSlackToWait(const MigrationContext& context,
                    const RunningJob& job,
                    Millis slack) {
  const Millis remaining =
      ExpectedEnd(job, context.run_times, context.now) - context.now;
  return SlackOfRunning(job, context.targets, remaining, context.now) >
         slack + kMinResidencyTime;
}

/// Allocates the shape and a new placement for every job without slack to wait,
/// or nothing.
bool TryChoice(const MigrationContext& context,
               Millis slack,
               const BlockChoice& choice,
               const std::vector<const RunningJob*>& jobs) {
  const std::size_t savepoint = context.transaction.Savepoint();
  for (const Allocation& it : choice.tasks) {
    context.transaction.Take(RowOf(it.worker), it.mask);
  }
  const AllowedMask allowed = [&](std::uint32_t worker) {
    return ~context.reservations.Blocked(worker, TimePoint::max());
  };
  for (const RunningJob* it : jobs) {
    if (context.packer.Place(it->shape, allowed).empty() &&
        !HasSlackToWait(context, *it, slack)) {
      context.transaction.RollBackTo(savepoint);
      return false;
    }
  }
  return true;
}

}  // namespace

std::optional<Placement> FreeShapeByMigration(const MigrationContext& context,
                                              const RankedJob& ranked) {
  const WaitingJob& job = *ranked.job;
  std::vector<BlockChoice> choices =
      CheapestBlocks(context.tables, job.shape,
                     [&](std::uint32_t worker, AcceleratorMask mask) {
                       return MoveCost(context, worker, mask);
                     });
  std::stable_sort(
      choices.begin(), choices.end(),
      [](const BlockChoice& a, const BlockChoice& b) { return a.sum < b.sum; });
  for (const BlockChoice& choice : choices) {
    const auto jobs = JobsToMove(context, choice);
    if (jobs.empty() || jobs.size() > context.budget ||
        !TryChoice(context, ranked.slack, choice, jobs)) {
      continue;
    }
    Placement placement{job.id, choice.tasks, {}};
    for (const RunningJob* it : jobs) {
      placement.victims.push_back(it->attempt.job);
    }
    return placement;
  }
  return std::nullopt;
}

}  // namespace shallotlug::decision
