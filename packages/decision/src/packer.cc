#include "packer.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace shallotlug::decision {
namespace {

constexpr AcceleratorMask kAllMask = LowMask(kLargestBlock);
/// Every placement has a non-zero cost, so that ties go to the worker with the
/// fewest free accelerators.
constexpr double kBaseDemand = 1;
/// Racks tried for a gang; each holds the whole shape by count.
constexpr int kMaxRacksTried = 8;

using BlockCounts = std::array<int, kLevels>;

/// Aligned blocks of each level in every mask.
const std::vector<BlockCounts>& BlockTable() {
  static const std::vector<BlockCounts> table = [] {
    std::vector<BlockCounts> rows(kMasks);
    for (AcceleratorMask mask = 0; mask < kMasks; ++mask) {
      for (int level = 0; level < kLevels; ++level) {
        rows[mask][static_cast<std::size_t>(level)] = CountBlocks(mask, level);
      }
    }
    return rows;
  }();
  return table;
}

double LossOf(const Demand& demand,
              AcceleratorMask free,
              AcceleratorMask taken) {
  const BlockCounts& before = BlockTable()[free];
  const BlockCounts& after = BlockTable()[free & ~taken];
  double loss = 0;
  for (std::size_t level = 0; level < kLevels; ++level) {
    loss += (kBaseDemand + demand[level]) * (before[level] - after[level]) *
            BlockSize(static_cast<int>(level));
  }
  return loss;
}

}  // namespace

const MaskCosts::SizeRow& MaskCosts::RowFor(int accelerators) const {
  SizeRow& row = rows_[static_cast<std::size_t>(accelerators)];
  if (row.order.empty()) {
    Fill(row, accelerators);
  }
  return row;
}

void MaskCosts::Fill(SizeRow& row, int accelerators) const {
  const int level = LevelFor(accelerators);
  for (AcceleratorMask free = 0; free < kMasks; ++free) {
    double best = std::numeric_limits<double>::infinity();
    for (int n = 0; n < kLargestBlock / BlockSize(level); ++n) {
      const AcceleratorMask block = BlockAt(level, n);
      const AcceleratorMask taken =
          block & (LowMask(accelerators) << (n * BlockSize(level)));
      const bool fits = accelerators == 0 || (free & block) == block;
      const double cost = LossOf(demand_, free, taken);
      if (fits && cost < best) {
        best = cost;
        row.block[free] = taken;
      }
    }
    row.cost[free] = best;
    if (best < std::numeric_limits<double>::infinity()) {
      row.order.push_back(free);
    }
  }
  std::stable_sort(row.order.begin(), row.order.end(),
                   [&](AcceleratorMask a, AcceleratorMask b) {
                     if (row.cost[a] != row.cost[b]) {
                       return row.cost[a] < row.cost[b];
                     }
                     return std::popcount(a) < std::popcount(b);
                   });
}

std::vector<Allocation> Packer::Place(const JobShape& shape,
                                      const AllowedMask& allowed) {
  const std::size_t savepoint = transaction_.Savepoint();
  Tasks tasks;
  switch (shape.tasks == 1 ? Adjacency::kAny : shape.adjacency) {
    case Adjacency::kWorker:
      tasks = PlaceOnOneWorker(shape, allowed);
      break;
    case Adjacency::kRack:
      tasks = PlaceInRack(shape, allowed);
      break;
    case Adjacency::kDataCentre:
      tasks = PlaceInDataCentre(shape, allowed);
      break;
    case Adjacency::kAny:
      tasks = PlaceIn(transaction_.Index().All(), shape, allowed);
      break;
  }
  if (tasks.empty()) {
    transaction_.RollBackTo(savepoint);
  }
  return tasks;
}

AcceleratorMask Packer::Usable(std::uint32_t worker,
                               const AllowedMask& allowed) const {
  const FreeRow& row = transaction_.Index().Row(worker);
  return allowed ? row.free & allowed(worker) : row.free;
}

bool Packer::TryWorker(std::uint32_t worker,
                       int accelerators,
                       const AllowedMask& allowed,
                       Tasks& tasks) {
  ++examined_;
  if (allowed && accelerators == 0 && allowed(worker) == 0) {
    return false;
  }
  const AcceleratorMask free = Usable(worker, allowed) & kAllMask;
  const AcceleratorMask block = costs_.Block(free, accelerators);
  if (block == 0 && accelerators > 0) {
    return false;
  }
  transaction_.Take(worker, block);
  tasks.push_back({WorkerIndex{worker}, block});
  return true;
}

bool Packer::PlaceTask(const MaskBuckets& buckets,
                       int accelerators,
                       const AllowedMask& allowed,
                       Tasks& tasks) {
  int rejected = 0;
  for (const AcceleratorMask mask : costs_.Order(accelerators)) {
    if (!buckets.used[mask]) {
      continue;
    }
    for (const std::uint32_t worker : buckets.workers[mask]) {
      if (TryWorker(worker, accelerators, allowed, tasks)) {
        return true;
      }
      if (++rejected > reject_limit_) {
        return false;
      }
    }
  }
  return false;
}

std::vector<Allocation> Packer::PlaceIn(const MaskBuckets& buckets,
                                        const JobShape& shape,
                                        const AllowedMask& allowed) {
  const auto level =
      static_cast<std::size_t>(LevelFor(shape.accelerators_per_task));
  ++examined_;
  if (shape.accelerators_per_task > 0 && buckets.blocks[level] < shape.tasks) {
    return {};
  }
  Tasks tasks;
  while (static_cast<int>(tasks.size()) < shape.tasks) {
    if (!PlaceTask(buckets, shape.accelerators_per_task, allowed, tasks)) {
      return {};
    }
  }
  return tasks;
}

std::vector<Allocation> Packer::PlaceInDataCentre(const JobShape& shape,
                                                  const AllowedMask& allowed) {
  const std::size_t savepoint = transaction_.Savepoint();
  const auto level =
      static_cast<std::size_t>(LevelFor(shape.accelerators_per_task));
  std::vector<std::uint32_t> centres;
  const auto& order =
      transaction_.Index().DataCentresByBlocks(static_cast<int>(level));
  const int needed = shape.accelerators_per_task == 0 ? 0 : shape.tasks;
  for (auto it = order.lower_bound({needed, 0}); it != order.end(); ++it) {
    centres.push_back(it->second);
  }
  for (const std::uint32_t n : centres) {
    Tasks tasks = PlaceIn(transaction_.Index().DataCentre(n), shape, allowed);
    if (!tasks.empty()) {
      return tasks;
    }
    transaction_.RollBackTo(savepoint);
  }
  return {};
}

bool Packer::PlaceTaskInRack(const RackRow& rack,
                             int accelerators,
                             const AllowedMask& allowed,
                             Tasks& tasks) {
  double best = std::numeric_limits<double>::infinity();
  std::uint32_t chosen = 0;
  for (const std::uint32_t worker : rack.workers) {
    ++examined_;
    const FreeRow& row = transaction_.Index().Row(worker);
    const AcceleratorMask free = Usable(worker, allowed) & kAllMask;
    const double cost = costs_.Cost(free, accelerators);
    if (row.listed && cost < best) {
      best = cost;
      chosen = worker;
    }
  }
  return best < std::numeric_limits<double>::infinity() &&
         TryWorker(chosen, accelerators, allowed, tasks);
}

std::vector<Allocation> Packer::PlaceInRack(const JobShape& shape,
                                            const AllowedMask& allowed) {
  const std::size_t savepoint = transaction_.Savepoint();
  const int level = LevelFor(shape.accelerators_per_task);
  const auto& order = transaction_.Index().RacksByBlocks(level);
  const int needed = shape.accelerators_per_task == 0 ? 0 : shape.tasks;
  std::vector<std::uint32_t> racks;
  for (auto it = order.lower_bound({needed, 0}); it != order.end(); ++it) {
    racks.push_back(it->second);
    if (!allowed && racks.size() == kMaxRacksTried) {
      break;
    }
  }
  for (const std::uint32_t n : racks) {
    Tasks tasks;
    bool fits = true;
    while (fits && static_cast<int>(tasks.size()) < shape.tasks) {
      fits = PlaceTaskInRack(transaction_.Index().Rack(n),
                             shape.accelerators_per_task, allowed, tasks);
    }
    if (fits) {
      return tasks;
    }
    transaction_.RollBackTo(savepoint);
  }
  return {};
}

std::vector<Allocation> Packer::PlaceOnOneWorker(const JobShape& shape,
                                                 const AllowedMask& allowed) {
  const std::size_t savepoint = transaction_.Savepoint();
  const int level = LevelFor(shape.accelerators_per_task);
  const MaskBuckets& buckets = transaction_.Index().All();
  for (const AcceleratorMask mask : costs_.Order(shape.accelerators_per_task)) {
    if (!buckets.used[mask] || (shape.accelerators_per_task > 0 &&
                                CountBlocks(mask, level) < shape.tasks)) {
      continue;
    }
    const std::vector<std::uint32_t> workers(buckets.workers[mask].begin(),
                                             buckets.workers[mask].end());
    for (const std::uint32_t worker : workers) {
      Tasks tasks;
      while (static_cast<int>(tasks.size()) < shape.tasks &&
             transaction_.Index().Row(worker).listed &&
             TryWorker(worker, shape.accelerators_per_task, allowed, tasks)) {
      }
      if (static_cast<int>(tasks.size()) == shape.tasks) {
        return tasks;
      }
      transaction_.RollBackTo(savepoint);
    }
  }
  return {};
}

}  // namespace shallotlug::decision
