#include "guarantee_state.h"

#include <algorithm>

namespace shallotlug::decision {
namespace {

int CeilDivide(int a, int b) {
  return (a + b - 1) / b;
}

AcceleratorMask BaseOf(const WorkerRow& row) {
  return row.alive && row.schedulable ? AllOf(row) & ~row.other : 0;
}

void AddNeeds(const LineState& state, Needs& needs) {
  const GuaranteeLine& line = state.line;
  const int unused = std::max(0, line.groups - state.GroupsUsed());
  if (line.units == 1) {
    needs.singles[static_cast<std::size_t>(line.level)] += unused;
    return;
  }
  if (line.within == Adjacency::kWorker) {
    needs.impossible = needs.impossible || unused > 0;
    return;
  }
  const bool anywhere = line.within == Adjacency::kAny;
  const auto add = [&](int units, int domain) {
    if (anywhere) {
      needs.singles[kLevels - 1] += units;
    } else if (units > 0) {
      needs.domains.push_back({line.within, units, domain});
    }
  };
  for (int n = 0; n < unused; ++n) {
    add(line.units, -1);
  }
  for (const auto& [domain, bound] : state.bound_by_domain) {
    if (!state.keeps_group_whole) {
      continue;
    }
    const int missing = CeilDivide(bound, line.units) * line.units - bound;
    add(missing, static_cast<int>(domain));
  }
}

}  // namespace

namespace detail {

AcceleratorMask BlockAround(AcceleratorMask mask, int level) {
  for (int n = 0; n < kLargestBlock / BlockSize(level); ++n) {
    const AcceleratorMask block = BlockAt(level, n);
    if ((mask & ~block) == 0) {
      return block;
    }
  }
  return 0;
}

}  // namespace detail

int LineState::GroupsUsed() const {
  int groups = 0;
  for (const auto& [domain, blocks] : bound_by_domain) {
    groups += CeilDivide(blocks, line.units);
  }
  return groups;
}

GuaranteeState::GuaranteeState(const Cluster::Tables& tables,
                               std::vector<GuaranteeLine> lines)
    : tables_(&tables),
      base_(tables.workers.size()),
      protected_(tables.workers.size()),
      bound_(tables.workers.size()),
      pinned_open_(*tables.free),
      open_(*tables.free) {
  for (GuaranteeLine& it : lines) {
    by_class_[it.name] = lines_.size();
    by_owner_[it.customer].push_back(lines_.size());
    lines_.push_back({std::move(it), {}, {}, true});
  }
  for (std::uint32_t n = 0; n < tables.workers.size(); ++n) {
    base_[n] = BaseOf(tables.workers[n]);
    SetOpen(n);
  }
}

bool GuaranteeState::BlockIsAvailable(const CustomerName& customer,
                                      const BlockRef& block,
                                      AcceleratorMask task) const {
  if ((block.mask & bound_[block.worker]) != 0) {
    return false;
  }
  const bool whole = (block.mask & ~task) == 0;
  if (!whole && (block.mask & ~base_[block.worker]) != 0) {
    return false;
  }
  const std::vector<Occupant>& tasks = tables_->workers[block.worker].occupants;
  return std::none_of(tasks.begin(), tasks.end(), [&](const Occupant& it) {
    const bool is_protected = !IsPreemptible(*it.job) || IsHeld(*it.job);
    return (it.mask & block.mask) != 0 && is_protected &&
           it.job->customer != customer;
  });
}

bool GuaranteeState::CollectBlocks(std::size_t line,
                                   const std::vector<Allocation>& tasks,
                                   std::vector<BlockRef>& blocks) const {
  const LineState& state = lines_[line];
  for (const Allocation& it : tasks) {
    const BlockRef block{RowOf(it.worker),
                         detail::BlockAround(it.mask, state.line.level)};
    if (block.mask == 0) {
      return false;
    }
    if (state.bound.contains(block) ||
        std::find(blocks.begin(), blocks.end(), block) != blocks.end()) {
      continue;
    }
    // A line without an unused group accepts work only in bound blocks, or in
    // the rest of a group that spans several workers.
    const bool is_full = state.line.units == 1 &&
                         static_cast<int>(state.bound.size() + blocks.size()) >=
                             state.line.groups;
    if (is_full || !BlockIsAvailable(state.line.customer, block, it.mask)) {
      return false;
    }
    blocks.push_back(block);
  }
  return true;
}

void GuaranteeState::AddBlocks(LineState& state,
                               const std::vector<BlockRef>& blocks) {
  for (const BlockRef& it : blocks) {
    state.bound.insert(it);
    ++state.bound_by_domain[DomainOf(state.line, it.worker)];
    bound_[it.worker] |= it.mask;
    SetOpen(it.worker);
    if (is_recording_) {
      undo_log_.push_back({IndexOf(state), true, it});
    }
  }
}

void GuaranteeState::RemoveBlocks(LineState& state,
                                  const std::vector<BlockRef>& blocks) {
  for (const BlockRef& it : blocks) {
    state.bound.erase(it);
    const auto count =
        state.bound_by_domain.find(DomainOf(state.line, it.worker));
    if (--count->second == 0) {
      state.bound_by_domain.erase(count);
    }
    bound_[it.worker] &= ~it.mask;
    SetOpen(it.worker);
    if (is_recording_) {
      undo_log_.push_back({IndexOf(state), false, it});
    }
  }
}

bool GuaranteeState::TryBind(std::size_t line,
                             const std::vector<Allocation>& tasks) {
  std::vector<BlockRef> blocks;
  if (!CollectBlocks(line, tasks, blocks)) {
    return false;
  }
  LineState& state = lines_[line];
  AddBlocks(state, blocks);
  if (state.GroupsUsed() > state.line.groups) {
    RemoveBlocks(state, blocks);
    return false;
  }
  Protect(tasks);
  return true;
}

bool GuaranteeState::TryBindSafely(std::size_t line,
                                   const std::vector<Allocation>& tasks) {
  std::vector<BlockRef> blocks;
  if (!CollectBlocks(line, tasks, blocks)) {
    return false;
  }
  // A task in a block that is already bound takes no capacity from others.
  if (blocks.empty()) {
    Protect(tasks);
    return true;
  }
  if (!TryBind(line, tasks)) {
    return false;
  }
  if (Feasible()) {
    return true;
  }
  Unprotect(tasks);
  RemoveBlocks(lines_[line], blocks);
  return false;
}

void GuaranteeState::Protect(const std::vector<Allocation>& tasks) {
  for (const Allocation& it : tasks) {
    const std::uint32_t worker = RowOf(it.worker);
    SetProtected(worker, protected_[worker] | it.mask);
  }
}

void GuaranteeState::Unprotect(const std::vector<Allocation>& tasks) {
  for (const Allocation& it : tasks) {
    const std::uint32_t worker = RowOf(it.worker);
    SetProtected(worker, protected_[worker] & ~it.mask);
  }
}

void GuaranteeState::SetProtected(std::uint32_t worker, AcceleratorMask mask) {
  if (is_recording_) {
    undo_log_.push_back({std::nullopt, false, {worker, protected_[worker]}});
  }
  protected_[worker] = mask;
  SetOpen(worker);
}

std::size_t GuaranteeState::Savepoint() {
  is_recording_ = true;
  return undo_log_.size();
}

void GuaranteeState::RollBackTo(std::size_t savepoint) {
  is_recording_ = false;
  while (undo_log_.size() > savepoint) {
    const Undo it = undo_log_.back();
    undo_log_.pop_back();
    if (!it.line) {
      SetProtected(it.block.worker, it.block.mask);
    } else if (it.added) {
      RemoveBlocks(lines_[*it.line], {it.block});
    } else {
      AddBlocks(lines_[*it.line], {it.block});
    }
  }
  is_recording_ = true;
}

bool GuaranteeState::IsCandidate(const RunningJob& job) const {
  return IsPreemptible(job) && !job.stopping && LineOfClass(job.job_class);
}

void GuaranteeState::RemoveHeldJob(const RunningJob& job,
                                   CustomerChange& change) {
  held_.erase(&job);
  held_by_customer_[job.customer].erase(&job);
  change.rebind = true;
  for (const Allocation& it : job.tasks) {
    change.workers.insert(RowOf(it.worker));
  }
}

void GuaranteeState::RefreshCapacity(std::uint32_t worker,
                                     CustomerChanges& changes) {
  base_[worker] = BaseOf(tables_->workers[worker]);
  pinned_open_.Set(worker, base_[worker]);
  SetOpen(worker);
  for (const Occupant& it : tables_->workers[worker].occupants) {
    if (IsCandidate(*it.job)) {
      changes[it.job->customer].rebind = true;
    }
  }
}

void GuaranteeState::RefreshProtected(std::uint32_t worker) {
  AcceleratorMask mask = 0;
  for (const Occupant& it : tables_->workers[worker].occupants) {
    if (!IsPreemptible(*it.job) || IsHeld(*it.job)) {
      mask |= it.mask;
    }
  }
  SetProtected(worker, mask);
}

void GuaranteeState::SetOpen(std::uint32_t worker) {
  open_.Set(worker, base_[worker] & ~protected_[worker] & ~bound_[worker]);
}

std::optional<std::size_t> GuaranteeState::LineOfClass(
    const ClassName& name) const {
  const auto it = by_class_.find(name);
  return it == by_class_.end() ? std::nullopt : std::optional(it->second);
}

std::uint32_t GuaranteeState::DomainOf(const GuaranteeLine& line,
                                       std::uint32_t worker) const {
  const FreeRow& row = tables_->free->Row(worker);
  switch (line.within) {
    case Adjacency::kRack:
      return row.rack;
    case Adjacency::kDataCentre:
      return row.data_centre;
    default:
      return 0;
  }
}

Needs GuaranteeState::Unused() const {
  Needs needs;
  for (const LineState& it : lines_) {
    AddNeeds(it, needs);
  }
  return needs;
}

}  // namespace shallotlug::decision
