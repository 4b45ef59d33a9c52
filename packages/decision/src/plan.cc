#include "shallotlug/decision/plan.h"

#include <algorithm>

#include "tables.h"

namespace shallotlug::decision {
namespace {

AcceleratorMask FirstFit(AcceleratorMask free, int accelerators) {
  const int level = LevelFor(accelerators);
  for (int n = 0; n < kLargestBlock / BlockSize(level); ++n) {
    const AcceleratorMask block = BlockAt(level, n);
    if ((free & block) == block) {
      return LowMask(accelerators) << (n * BlockSize(level));
    }
  }
  return 0;
}

bool SameDomain(const FreeRow& a, const FreeRow& b, Adjacency adjacency) {
  return adjacency == Adjacency::kAny ||
         (adjacency == Adjacency::kDataCentre ? a.data_centre == b.data_centre
                                              : a.rack == b.rack);
}

std::vector<Allocation> FirstFitFrom(Trial& trial,
                                     const JobShape& shape,
                                     std::uint32_t start) {
  std::vector<Allocation> tasks;
  const FreeIndex& index = trial.index();
  for (std::uint32_t n = start; n < index.rows().size(); ++n) {
    if (!SameDomain(index.row(start), index.row(n), shape.adjacency) ||
        (shape.adjacency == Adjacency::kWorker && n != start)) {
      continue;
    }
    while (index.row(n).listed) {
      const AcceleratorMask mask =
          FirstFit(index.row(n).free, shape.accelerators_per_task);
      if (mask == 0 && shape.accelerators_per_task > 0) {
        break;
      }
      trial.Take(n, mask);
      tasks.push_back({WorkerIndex{n}, mask});
      if (static_cast<int>(tasks.size()) == shape.tasks) {
        return tasks;
      }
    }
  }
  return {};
}

std::vector<Allocation> FirstFit(Trial& trial, const JobShape& shape) {
  const std::size_t mark = trial.Mark();
  for (std::uint32_t n = 0; n < trial.index().rows().size(); ++n) {
    std::vector<Allocation> tasks = FirstFitFrom(trial, shape, n);
    if (!tasks.empty()) {
      return tasks;
    }
    trial.RollBackTo(mark);
  }
  return {};
}

}  // namespace

Plan MakePlan(const Cluster& cluster,
              const std::vector<WaitingJob>& waiting,
              const Targets& /*targets*/,
              const RunTimes& /*run_times*/,
              const PlanOptions& options,
              TimePoint now) {
  Plan plan;
  Trial trial(*cluster.tables().free);
  const std::size_t count = std::min(waiting.size(), options.scan_limit);
  for (std::size_t n = 0; n < count; ++n) {
    const WaitingJob& job = waiting[n];
    if (job.not_before > now) {
      continue;
    }
    std::vector<Allocation> tasks = FirstFit(trial, job.shape);
    if (!tasks.empty()) {
      plan.placements.push_back({job.id, std::move(tasks), {}});
    }
  }
  return plan;
}

}  // namespace shallotlug::decision
