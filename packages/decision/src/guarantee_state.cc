#include "guarantee_state.h"

#include <algorithm>

namespace shallotlug::decision {
namespace {

/// Bounds of the search for an assignment of pinned work to guarantees. They
/// are reached only when workers have failed.
constexpr int kMaxDifferences = 4;
constexpr std::size_t kBindingWork = 100'000;

/// Each try costs as much as there are groups.
int BindingTries(std::size_t groups) {
  return static_cast<int>(std::min(
      std::size_t{2000}, kBindingWork / std::max(groups, std::size_t{1})));
}

int CeilDivide(int a, int b) {
  return (a + b - 1) / b;
}

AcceleratorMask BaseOf(const WorkerRow& row) {
  return row.alive && row.schedulable ? AllOf(row) & ~row.other : 0;
}

/// The aligned block of this level that contains the mask, or an empty one.
AcceleratorMask BlockAround(AcceleratorMask mask, int level) {
  for (int n = 0; n < kLargestBlock / BlockSize(level); ++n) {
    const AcceleratorMask block = BlockAt(level, n);
    if ((mask & ~block) == 0) {
      return block;
    }
  }
  return 0;
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
      open_(*tables.free) {
  for (GuaranteeLine& it : lines) {
    by_class_[it.name] = lines_.size();
    lines_.push_back({std::move(it), {}, {}, true});
  }
  for (std::uint32_t n = 0; n < tables.workers.size(); ++n) {
    base_[n] = BaseOf(tables.workers[n]);
    SetOpen(n);
  }
}

void GuaranteeState::Derive() {
  BindPinned();
  GiveUpShortGroups();
  const GuaranteeState before = *this;
  if (HoldAll(false)) {
    return;
  }
  *this = before;
  HoldAll(true);
}

/// When workers have failed, takes groups from the customer that has the most
/// unused accelerators, until the rest fits again.
void GuaranteeState::GiveUpShortGroups() {
  const auto unused = [](const LineState& it) {
    return (it.line.groups - it.GroupsUsed()) * it.line.units *
           BlockSize(it.line.level);
  };
  while (!Feasible()) {
    const auto most =
        std::max_element(lines_.begin(), lines_.end(),
                         [&](const LineState& a, const LineState& b) {
                           return unused(a) < unused(b);
                         });
    if (most == lines_.end()) {
      return;
    }
    if (unused(*most) <= 0) {
      for (LineState& it : lines_) {
        it.keeps_group_whole = false;
      }
      return;
    }
    --most->line.groups;
  }
}

void GuaranteeState::BindPinned() {
  std::vector<PinnedGroup> groups = PinnedGroups();
  for (const PinnedGroup& group : groups) {
    for (const RunningJob* it : group.jobs) {
      Protect(it->tasks);
    }
  }
  if (BindGroups(groups)) {
    return;
  }
  // Some assignment of this work to lines was feasible when the last of it was
  // placed. It differs from the preferred one in few places, so those with the
  // fewest differences are tried first.
  int tries = 0;
  for (int differences = 1; differences <= kMaxDifferences; ++differences) {
    if (SearchBinding(groups, 0, differences, tries)) {
      return;
    }
  }
  BindGroups(groups);
}

/// Jobs of one class on one worker are bound together.
std::vector<GuaranteeState::PinnedGroup> GuaranteeState::PinnedGroups() const {
  std::vector<const RunningJob*> jobs;
  for (const JobId& id : tables_->pinned) {
    jobs.push_back(&tables_->jobs.at(id));
  }
  std::stable_sort(jobs.begin(), jobs.end(),
                   [](const RunningJob* a, const RunningJob* b) {
                     return a->started < b->started;
                   });
  std::vector<PinnedGroup> groups;
  std::map<std::pair<ClassName, std::uint32_t>, std::size_t> rows;
  for (const RunningJob* it : jobs) {
    const std::uint32_t worker =
        it->tasks.empty() ? 0 : RowOf(it->tasks.front().worker);
    const auto [row, is_new] =
        rows.try_emplace({it->job_class, worker}, groups.size());
    if (is_new) {
      groups.emplace_back();
    }
    groups[row->second].jobs.push_back(it);
  }
  return groups;
}

bool GuaranteeState::SearchBinding(std::vector<PinnedGroup>& groups,
                                   std::size_t first,
                                   int differences,
                                   int& tries) {
  if (differences == 0) {
    return ++tries <= BindingTries(groups.size()) && BindGroups(groups);
  }
  for (std::size_t n = first;
       n < groups.size() && tries <= BindingTries(groups.size()); ++n) {
    groups[n].is_bound = false;
    if (SearchBinding(groups, n + 1, differences - 1, tries)) {
      return true;
    }
    groups[n].is_bound = true;
  }
  return false;
}

bool GuaranteeState::BindGroups(const std::vector<PinnedGroup>& groups) {
  for (LineState& it : lines_) {
    const std::vector<BlockRef> bound(it.bound.begin(), it.bound.end());
    RemoveBlocks(it, bound);
    it.bound_by_domain.clear();
  }
  held_.clear();
  for (const PinnedGroup& group : groups) {
    if (group.is_bound) {
      for (const RunningJob* it : group.jobs) {
        TryHold(*it, false);
      }
    }
  }
  return Feasible();
}

std::vector<const RunningJob*> GuaranteeState::HoldCandidates() const {
  std::vector<const RunningJob*> jobs;
  std::set<CustomerName> customers;
  for (const LineState& it : lines_) {
    customers.insert(it.line.customer);
  }
  for (const CustomerName& customer : customers) {
    const auto it = tables_->by_customer.find(customer);
    if (it == tables_->by_customer.end()) {
      continue;
    }
    for (const JobOrder& order : it->second) {
      const RunningJob& job = tables_->jobs.at(order.id);
      if (order.repeatable && !job.stopping && LineOfClass(job.job_class)) {
        jobs.push_back(&job);
      }
    }
  }
  return jobs;
}

bool GuaranteeState::HoldAll(bool safely) {
  for (const RunningJob* job : HoldCandidates()) {
    TryHold(*job, safely);
  }
  return Feasible();
}

bool GuaranteeState::TryHold(const RunningJob& job, bool safely) {
  const std::optional<std::size_t> line = LineOfClass(job.job_class);
  if (!line ||
      !(safely ? TryBindSafely(*line, job.tasks) : TryBind(*line, job.tasks))) {
    return false;
  }
  held_.insert(&job);
  return true;
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
    const bool is_protected = !MayStop(*it.job) || IsHeld(*it.job);
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
                         BlockAround(it.mask, state.line.level)};
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
  }
}

void GuaranteeState::RemoveBlocks(LineState& state,
                                  const std::vector<BlockRef>& blocks) {
  for (const BlockRef& it : blocks) {
    state.bound.erase(it);
    --state.bound_by_domain[DomainOf(state.line, it.worker)];
    bound_[it.worker] &= ~it.mask;
    SetOpen(it.worker);
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
  // A task in a block that is bound already takes nothing from the others.
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
    protected_[RowOf(it.worker)] |= it.mask;
    SetOpen(RowOf(it.worker));
  }
}

void GuaranteeState::Unprotect(const std::vector<Allocation>& tasks) {
  for (const Allocation& it : tasks) {
    protected_[RowOf(it.worker)] &= ~it.mask;
    SetOpen(RowOf(it.worker));
  }
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
