#include "guaranteed.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <tuple>

#include "guarantee_cache.h"
#include "victims.h"

namespace shallotlug::decision {
namespace {

/// A group of the line lies within one domain of the job's adjacency.
bool IsAtLeastAsNarrow(Adjacency line, Adjacency job) {
  return static_cast<int>(line) <= static_cast<int>(job);
}

/// Prefers blocks that the customer already holds, which take no capacity from
/// other customers.
constexpr double kBoundBonus = 1e-6;
/// Free blocks beyond those needed, in case some must stay for other lines.
constexpr std::size_t kSpareBlocks = 4;
/// Blocks tried before all of them are.
constexpr std::size_t kMaxCheapestBlocksTried = 64;
/// Workers examined for free blocks before all workers are.
constexpr int kMaxFreeWorkersExamined = 64;

}  // namespace

std::optional<GuaranteedPlacer::Request> GuaranteedPlacer::Match(
    const WaitingJob& job,
    std::size_t line) const {
  const LineState& state = state_.Lines()[line];
  const int level = LevelFor(job.shape.accelerators_per_task);
  if (job.shape.accelerators_per_task == 0 || level > state.line.level) {
    return std::nullopt;
  }
  Request request{&job, nullptr, line,
                  BlockSize(state.line.level) / BlockSize(level), 1};
  request.blocks =
      (job.shape.tasks + request.per_block - 1) / request.per_block;
  if (request.blocks == 1 || job.shape.adjacency == Adjacency::kAny) {
    return request;
  }
  const bool one_group =
      request.blocks <= state.line.units && state.line.units > 1 &&
      IsAtLeastAsNarrow(state.line.within, job.shape.adjacency);
  return one_group ? std::optional(request) : std::nullopt;
}

std::optional<Placement> GuaranteedPlacer::Place(
    const WaitingJob& job,
    const std::set<std::uint32_t>& avoid) {
  const std::optional<std::size_t> line = state_.LineOfClass(job.job_class);
  std::optional<Request> request =
      line ? Match(job, *line) : std::optional<Request>();
  if (!request) {
    return std::nullopt;
  }
  request->avoid = &avoid;
  if (!HasRoom(*request)) {
    return std::nullopt;
  }
  if (std::optional<Placement> placement = PlaceOnFree(*request)) {
    return placement;
  }
  return state_.Lines()[*line].line.units == 1 ? PlaceOnCheapest(*request)
                                               : PlaceOn(*request);
}

GuaranteedPlacer::ReclaimOrder& GuaranteedPlacer::ReclaimOrderOf(int level) {
  std::optional<ReclaimOrder>& order =
      reclaim_order_[static_cast<std::size_t>(level)];
  if (order) {
    return *order;
  }
  order.emplace(tables_.guarantees->Reclaim().Order(level, now_, examined_));
  // Work that this plan stops already costs nothing more to stop.
  for (const JobId& id : stopped_) {
    for (const Allocation& it : tables_.jobs.at(id).tasks) {
      order->repriced.insert(RowOf(it.worker));
    }
  }
  for (const std::uint32_t worker : order->repriced) {
    ++examined_;
    for (int n = 0; n < kLargestBlock / BlockSize(level); ++n) {
      const BlockRef ref{worker, BlockAt(level, n)};
      order->repriced_rows.push_back({ref, false, StopCost(worker, ref.mask)});
    }
  }
  std::stable_sort(order->repriced_rows.begin(), order->repriced_rows.end(),
                   IsCheaper);
  return *order;
}

bool GuaranteedPlacer::IsCheaper(const Candidate& a, const Candidate& b) {
  return std::tie(a.cost, a.block) < std::tie(b.cost, b.block);
}

/// The block with the n-th lowest reclaim cost; null if there are fewer.
const GuaranteedPlacer::Candidate* GuaranteedPlacer::NthCheapest(
    ReclaimOrder& order,
    std::size_t n) {
  while (order.rows.size() <= n) {
    while (!order.next) {
      const std::optional<ReclaimIndex::Entry> entry = order.cursor.Next();
      if (!entry) {
        break;
      }
      ++examined_;
      if (!order.repriced.contains(entry->worker)) {
        order.next = Candidate{{entry->worker, entry->mask},
                               false,
                               static_cast<double>(entry->cost)};
      }
    }
    const bool has_repriced = order.repriced_used < order.repriced_rows.size();
    if (has_repriced &&
        (!order.next ||
         IsCheaper(order.repriced_rows[order.repriced_used], *order.next))) {
      order.rows.push_back(order.repriced_rows[order.repriced_used++]);
    } else if (order.next) {
      order.rows.push_back(*order.next);
      order.next.reset();
    } else {
      return nullptr;
    }
  }
  return &order.rows[n];
}

/// Places on single blocks: the customer's own, then those with the lowest
/// reclaim cost. A second round examines all of them.
std::optional<Placement> GuaranteedPlacer::PlaceOnCheapest(
    const Request& request) {
  const LineState& state = state_.Lines()[request.line];
  // A line without an unused group takes work only in its own blocks.
  const bool is_full =
      static_cast<int>(state.bound.size()) >= state.line.groups;
  const std::size_t all = is_full ? 0 : std::numeric_limits<int>::max();
  for (const std::size_t limit :
       {std::min(kMaxCheapestBlocksTried, all), all}) {
    std::vector<Candidate> rows;
    for (const BlockRef& it : state.bound) {
      rows.push_back({it, true, 0});
    }
    const std::size_t wanted = rows.size() + limit;
    for (std::size_t n = 0; rows.size() < wanted; ++n) {
      const Candidate* row = NthCheapest(ReclaimOrderOf(state.line.level), n);
      if (row == nullptr) {
        break;
      }
      ++examined_;
      if (IsOpen(row->block)) {
        rows.push_back(*row);
      }
    }
    std::erase_if(rows, [&](const Candidate& it) {
      return request.avoid->contains(it.block.worker);
    });
    const std::size_t before = state_.Savepoint();
    std::vector<Allocation> tasks;
    if (Fill(request, rows, tasks)) {
      return Finish(request, std::move(tasks));
    }
    state_.RollBackTo(before);
  }
  return std::nullopt;
}

/// Whether the line has an unused group or a block with unused accelerators.
bool GuaranteedPlacer::HasRoom(const Request& request) const {
  const LineState& state = state_.Lines()[request.line];
  if (state.GroupsUsed() < state.line.groups || state.line.units > 1) {
    return true;
  }
  return std::any_of(state.bound.begin(), state.bound.end(),
                     [&](const BlockRef& it) {
                       return (it.mask & ReclaimableMask(it.worker)) != 0;
                     });
}

void GuaranteedPlacer::AddFreeBlock(const Request& request,
                                    std::uint32_t worker,
                                    std::vector<Candidate>& rows) {
  ++examined_;
  const int level = state_.Lines()[request.line].line.level;
  const AcceleratorMask usable = transaction_.Index().Row(worker).free &
                                 state_.Open().Mask(worker) &
                                 LowMask(kLargestBlock);
  const AcceleratorMask block = costs_.Block(usable, BlockSize(level));
  if (block != 0 && !request.avoid->contains(worker)) {
    rows.push_back({{worker, block}, false, 0});
  }
}

/// The customer's own blocks and a few that are free.
std::vector<GuaranteedPlacer::Candidate> GuaranteedPlacer::FreeCandidates(
    const Request& request) {
  std::vector<Candidate> rows;
  const LineState& state = state_.Lines()[request.line];
  for (const BlockRef& it : state.bound) {
    const AcceleratorMask free = transaction_.Index().Row(it.worker).free;
    if ((it.mask & free) != 0 && !request.avoid->contains(it.worker) &&
        StopCost(it.worker, it.mask) == 0) {
      rows.push_back({it, true, 0});
    }
  }
  const std::size_t wanted =
      rows.size() + static_cast<std::size_t>(request.blocks) + kSpareBlocks;
  const MaskBuckets& buckets = transaction_.Index().All();
  int tries = 0;
  for (const AcceleratorMask mask : costs_.Order(BlockSize(state.line.level))) {
    for (const std::uint32_t worker : buckets.workers[mask]) {
      if (rows.size() >= wanted || ++tries > kMaxFreeWorkersExamined) {
        return rows;
      }
      AddFreeBlock(request, worker, rows);
    }
  }
  return rows;
}

/// Avoids examining all workers when free blocks suffice.
std::optional<Placement> GuaranteedPlacer::PlaceOnFree(const Request& request) {
  if (state_.Lines()[request.line].line.units > 1) {
    return std::nullopt;
  }
  const std::vector<Candidate> candidates = FreeCandidates(request);
  if (static_cast<int>(candidates.size()) < request.blocks) {
    return std::nullopt;
  }
  const std::size_t before = state_.Savepoint();
  std::vector<Allocation> tasks;
  if (Fill(request, candidates, tasks)) {
    return Finish(request, std::move(tasks));
  }
  state_.RollBackTo(before);
  return std::nullopt;
}

std::vector<int> GuaranteedPlacer::DomainsFor(const Request& request) const {
  const GuaranteeLine& line = state_.Lines()[request.line].line;
  const bool grouped = request.blocks > 1 && line.units > 1;
  std::size_t count = 0;
  if (grouped && line.within == Adjacency::kRack) {
    count = tables_.free->Racks().size();
  } else if (grouped && line.within == Adjacency::kDataCentre) {
    count = tables_.free->DataCentreCount();
  }
  std::vector<int> domains;
  for (std::size_t n = 0; n < count; ++n) {
    domains.push_back(static_cast<int>(n));
  }
  if (count == 0 || (request.job->shape.adjacency == Adjacency::kAny &&
                     request.blocks > line.units)) {
    domains.push_back(-1);
  }
  return domains;
}

/// Tries every domain and keeps the cheapest in which all tasks fit.
std::optional<Placement> GuaranteedPlacer::PlaceOn(const Request& request) {
  struct Option {
    double cost = 0;
    std::vector<Candidate> candidates;
  };
  std::vector<Option> options;
  for (const int domain : DomainsFor(request)) {
    std::vector<Candidate> rows = Candidates(request, domain);
    if (rows.empty()) {
      continue;
    }
    double cost = 0;
    int tasks = 0;
    for (const Candidate& it : rows) {
      if (tasks >= request.job->shape.tasks) {
        break;
      }
      cost += it.cost;
      tasks += request.per_block;
    }
    options.push_back({cost, std::move(rows)});
  }
  std::stable_sort(
      options.begin(), options.end(),
      [](const Option& a, const Option& b) { return a.cost < b.cost; });
  for (const Option& it : options) {
    const std::size_t before = state_.Savepoint();
    std::vector<Allocation> tasks;
    if (Fill(request, it.candidates, tasks)) {
      return Finish(request, std::move(tasks));
    }
    state_.RollBackTo(before);
  }
  return std::nullopt;
}

bool GuaranteedPlacer::Fill(const Request& request,
                            const std::vector<Candidate>& candidates,
                            std::vector<Allocation>& tasks) {
  const int wanted = request.job->shape.tasks;
  for (const Candidate& it : candidates) {
    ++examined_;
    const int missing = wanted - static_cast<int>(tasks.size());
    const std::vector<Allocation> part =
        TasksIn(request, it.block, std::min(missing, request.per_block));
    const bool all_here =
        request.blocks > 1 || static_cast<int>(part.size()) == wanted;
    if (part.empty() || !all_here ||
        !state_.TryBindSafely(request.line, part)) {
      continue;
    }
    tasks.insert(tasks.end(), part.begin(), part.end());
    if (static_cast<int>(tasks.size()) == wanted) {
      return true;
    }
  }
  return false;
}

std::vector<GuaranteedPlacer::Candidate> GuaranteedPlacer::Candidates(
    const Request& request,
    int domain) {
  std::vector<Candidate> rows;
  const GuaranteeLine& line = state_.Lines()[request.line].line;
  const auto count = static_cast<std::uint32_t>(tables_.workers.size());
  if (domain >= 0 && line.within == Adjacency::kRack) {
    const auto rack = static_cast<std::uint32_t>(domain);
    for (const std::uint32_t n : tables_.free->Rack(rack).workers) {
      AddCandidates(request, n, rows);
    }
  } else {
    for (std::uint32_t n = 0; n < count; ++n) {
      if (domain < 0 ||
          state_.DomainOf(line, n) == static_cast<std::uint32_t>(domain)) {
        AddCandidates(request, n, rows);
      }
    }
  }
  std::stable_sort(
      rows.begin(), rows.end(),
      [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
  return rows;
}

void GuaranteedPlacer::AddCandidates(const Request& request,
                                     std::uint32_t worker,
                                     std::vector<Candidate>& rows) {
  ++examined_;
  const WorkerRow& row = tables_.workers[worker];
  if (!row.alive || !row.schedulable || request.avoid->contains(worker)) {
    return;
  }
  const LineState& state = state_.Lines()[request.line];
  const int level = state.line.level;
  for (int n = 0; n < kLargestBlock / BlockSize(level); ++n) {
    const BlockRef block{worker, BlockAt(level, n)};
    const bool bound = state.bound.contains(block);
    const bool open = (block.mask & ~state_.Open().Mask(worker)) == 0;
    if (bound || open) {
      const double cost = CostOf(request, block);
      rows.push_back({block, bound, bound ? cost - kBoundBonus : cost});
    }
  }
}

AcceleratorMask GuaranteedPlacer::ReclaimableMask(std::uint32_t worker) const {
  const WorkerRow& row = tables_.workers[worker];
  return AllOf(row) & ~row.other & ~row.other & ~state_.ProtectedMask(worker);
}

double GuaranteedPlacer::StopCost(std::uint32_t worker,
                                  AcceleratorMask mask) const {
  // The agent grants accelerators in live use when the requests have ended.
  const AcceleratorMask live = tables_.workers[worker].live & mask;
  auto cost = static_cast<double>(kLiveWaitCost * std::popcount(live));
  for (const RunningJob* job : JobsOn(tables_.workers[worker], mask)) {
    if (!stopped_.contains(job->attempt.job)) {
      cost += PreemptionCost(*job, now_);
    }
  }
  return cost;
}

int GuaranteedPlacer::FreeSlots(std::uint32_t worker,
                                AcceleratorMask mask) const {
  const auto victims = JobsOn(tables_.workers[worker], mask).size();
  return std::max(0, transaction_.Index().Row(worker).free_slots) +
         static_cast<int>(victims);
}

std::vector<Allocation> GuaranteedPlacer::TasksIn(const Request& request,
                                                  const BlockRef& block,
                                                  int wanted) const {
  struct Spot {
    AcceleratorMask mask = 0;
    double cost = 0;
  };
  const int size = request.job->shape.accelerators_per_task;
  const int level = LevelFor(size);
  const AcceleratorMask takeable = ReclaimableMask(block.worker);
  std::vector<Spot> spots;
  for (int n = 0; n < kLargestBlock / BlockSize(level); ++n) {
    const AcceleratorMask mask = LowMask(size) << (n * BlockSize(level));
    if ((mask & ~block.mask) == 0 && (mask & ~takeable) == 0) {
      spots.push_back({mask, StopCost(block.worker, mask)});
    }
  }
  std::stable_sort(
      spots.begin(), spots.end(),
      [](const Spot& a, const Spot& b) { return a.cost < b.cost; });
  std::vector<Allocation> tasks;
  AcceleratorMask taken = 0;
  for (const Spot& it : spots) {
    const int slots = FreeSlots(block.worker, taken | it.mask);
    if (static_cast<int>(tasks.size()) < std::min(wanted, slots)) {
      tasks.push_back({WorkerIndex{block.worker}, it.mask});
      taken |= it.mask;
    }
  }
  return tasks;
}

double GuaranteedPlacer::CostOf(const Request& request,
                                const BlockRef& block) const {
  const std::vector<Allocation> tasks = TasksIn(
      request, block, std::min(request.per_block, request.job->shape.tasks));
  AcceleratorMask mask = 0;
  for (const Allocation& it : tasks) {
    mask |= it.mask;
  }
  const AcceleratorMask free =
      transaction_.Index().Row(block.worker).free & LowMask(kLargestBlock);
  // Among blocks that stop the same work, take the one that fragments least.
  const double fragments =
      costs_.Cost(free, request.job->shape.accelerators_per_task);
  const double tie = fragments < 1e9 ? fragments * 1e-9 : 0;
  return StopCost(block.worker, mask) + tie;
}

Placement GuaranteedPlacer::Finish(const Request& request,
                                   std::vector<Allocation> tasks) {
  Placement placement{request.job->id, {}, {}};
  std::set<JobId> victims;
  for (const Allocation& it : tasks) {
    const std::uint32_t worker = RowOf(it.worker);
    const auto jobs = JobsOn(tables_.workers[worker], it.mask);
    for (const RunningJob* job : jobs) {
      victims.insert(job->attempt.job);
      if (!job->stopping) {
        stopped_.insert(job->attempt.job);
      }
    }
    // A task takes over the slot of the work that it replaces.
    transaction_.Take(worker, it.mask, jobs.empty() ? 1 : 0);
  }
  placement.victims.assign(victims.begin(), victims.end());
  placement.tasks = std::move(tasks);
  return placement;
}

}  // namespace shallotlug::decision
