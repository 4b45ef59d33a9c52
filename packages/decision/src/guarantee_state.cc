#include "guarantee_state.h"

#include <algorithm>
#include <iterator>

namespace shallotlug::decision {
namespace {

/// Bounds of the search for an assignment of pinned work to guarantees. They
/// are reached only when workers have failed.
constexpr int kMaxDifferences = 4;
constexpr std::size_t kMaxBindingSearchWork = 100'000;

/// The cost of each attempt is proportional to the number of groups.
int BindingSearchLimit(std::size_t groups) {
  return static_cast<int>(
      std::min(std::size_t{2000},
               kMaxBindingSearchWork / std::max(groups, std::size_t{1})));
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

void GuaranteeState::Derive() {
  const bool preferred = BindPinned();
  DropInfeasibleGroups();
  for (const LineState& it : lines_) {
    pinned_blocks_.push_back(it.bound);
  }
  pinned_open_ = open_;
  pinned_unused_ = Unused();
  const GuaranteeState before = *this;
  if (HoldAll(false)) {
    // A job that uses the guarantee of another customer is bound in the order
    // of its own customer, which Update does not support.
    is_incremental_ =
        preferred && Feasible() &&
        std::all_of(held_.begin(), held_.end(), [&](const RunningJob* it) {
          return lines_[*LineOfClass(it->job_class)].line.customer ==
                 it->customer;
        });
    return;
  }
  *this = before;
  HoldAll(true);
}

/// When workers have failed, takes groups from the customer that has the most
/// unused accelerators, until the rest fits again.
void GuaranteeState::DropInfeasibleGroups() {
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

/// Returns whether all of it could be bound as preferred.
bool GuaranteeState::BindPinned() {
  std::vector<PinnedGroup> groups = PinnedGroups();
  for (const PinnedGroup& group : groups) {
    for (const RunningJob* it : group.jobs) {
      Protect(it->tasks);
    }
  }
  if (BindGroups(groups)) {
    return true;
  }
  // Some assignment of this work to lines was feasible when the last of it was
  // placed. It differs from the preferred one in few places, so those with the
  // fewest differences are tried first.
  int tries = 0;
  for (int differences = 1; differences <= kMaxDifferences; ++differences) {
    if (SearchBinding(groups, 0, differences, tries)) {
      return false;
    }
  }
  BindGroups(groups);
  return false;
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
    return ++tries <= BindingSearchLimit(groups.size()) && BindGroups(groups);
  }
  for (std::size_t n = first;
       n < groups.size() && tries <= BindingSearchLimit(groups.size()); ++n) {
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
      if (IsCandidate(job)) {
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
  if (IsPreemptible(job)) {
    held_by_customer_[job.customer].insert(&job);
  }
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

/// Customers are bound one after the other, so a change concerns only customers
/// that come later and have work on the same workers.
void GuaranteeState::Update(CustomerChanges& changes, std::uint64_t& examined) {
  is_recording_ = false;
  // A block whose work has ended must not constrain earlier customers.
  for (auto& [customer, change] : changes) {
    if (change.rebind) {
      Unbind(customer, change);
    }
  }
  while (!changes.empty()) {
    const CustomerName customer = changes.begin()->first;
    std::set<std::uint32_t> touched;
    if (changes.begin()->second.rebind) {
      Rebind(customer, changes, touched, examined);
    } else {
      for (const JobId& id : changes.begin()->second.appended) {
        ++examined;
        const auto job = tables_->jobs.find(id);
        if (job != tables_->jobs.end() && IsCandidate(job->second) &&
            !IsHeld(job->second)) {
          Append(job->second, changes, touched);
        }
      }
    }
    changes.erase(customer);
    for (const std::uint32_t worker : touched) {
      ++examined;
      for (const Occupant& it : tables_->workers[worker].occupants) {
        if (customer < it.job->customer && IsCandidate(*it.job)) {
          changes[it.job->customer].rebind = true;
        }
      }
    }
  }
}

void GuaranteeState::Append(const RunningJob& job,
                            CustomerChanges& changes,
                            std::set<std::uint32_t>& touched) {
  UnbindLaterCustomers(job, changes);
  if (TryHold(job, false)) {
    for (const Allocation& it : job.tasks) {
      touched.insert(RowOf(it.worker));
    }
  }
}

void GuaranteeState::BindCustomer(const CustomerName& customer,
                                  CustomerChanges& changes,
                                  std::uint64_t& examined) {
  const auto jobs = tables_->by_customer.find(customer);
  if (jobs == tables_->by_customer.end()) {
    return;
  }
  const auto bind = [&](const JobOrder& order) {
    ++examined;
    const RunningJob& job = tables_->jobs.at(order.id);
    if (IsCandidate(job)) {
      UnbindLaterCustomers(job, changes);
      TryHold(job, false);
    }
  };
  auto it = jobs->second.begin();
  for (; it != jobs->second.end() && !IsFull(customer); ++it) {
    bind(*it);
  }
  if (it == jobs->second.end()) {
    return;
  }
  // The rest is held only in blocks that are bound already.
  for (const JobOrder& order : JobsInBoundBlocks(customer, examined)) {
    if (!(order < *it)) {
      bind(order);
    }
  }
}

const std::vector<std::size_t>& GuaranteeState::LinesOfCustomer(
    const CustomerName& customer) const {
  static const std::vector<std::size_t> none;
  const auto it = by_owner_.find(customer);
  return it == by_owner_.end() ? none : it->second;
}

/// Whether no line of the customer binds another block.
bool GuaranteeState::IsFull(const CustomerName& customer) const {
  const std::vector<std::size_t>& lines = LinesOfCustomer(customer);
  return std::all_of(lines.begin(), lines.end(), [&](std::size_t n) {
    const LineState& it = lines_[n];
    return it.line.units == 1 &&
           static_cast<int>(it.bound.size()) >= it.line.groups;
  });
}

std::set<JobOrder> GuaranteeState::JobsInBoundBlocks(
    const CustomerName& customer,
    std::uint64_t& examined) const {
  std::set<JobOrder> orders;
  for (const std::size_t n : LinesOfCustomer(customer)) {
    for (const BlockRef& block : lines_[n].bound) {
      ++examined;
      for (const Occupant& it : tables_->workers[block.worker].occupants) {
        if (it.job->customer == customer) {
          orders.insert(
              {IsPreemptible(*it.job), it.job->started, it.job->attempt.job});
        }
      }
    }
  }
  return orders;
}

void GuaranteeState::Rebind(const CustomerName& customer,
                            CustomerChanges& changes,
                            std::set<std::uint32_t>& touched,
                            std::uint64_t& examined) {
  CustomerChange& change = changes[customer];
  Unbind(customer, change);
  BindCustomer(customer, changes, examined);
  touched = change.workers;
  const CustomerBinding after = BindingOf(customer);
  std::vector<std::pair<std::size_t, BlockRef>> blocks;
  std::set_symmetric_difference(
      change.before->blocks.begin(), change.before->blocks.end(),
      after.blocks.begin(), after.blocks.end(), std::back_inserter(blocks));
  for (const auto& [line, block] : blocks) {
    touched.insert(block.worker);
  }
  std::vector<const RunningJob*> held;
  std::set_symmetric_difference(change.before->held.begin(),
                                change.before->held.end(), after.held.begin(),
                                after.held.end(), std::back_inserter(held));
  for (const RunningJob* job : held) {
    for (const Allocation& it : job->tasks) {
      touched.insert(RowOf(it.worker));
    }
  }
}

CustomerBinding GuaranteeState::BindingOf(const CustomerName& customer) const {
  CustomerBinding binding;
  for (const std::size_t n : LinesOfCustomer(customer)) {
    for (const BlockRef& it : lines_[n].bound) {
      if (!pinned_blocks_[n].contains(it)) {
        binding.blocks.insert({n, it});
      }
    }
  }
  const auto held = held_by_customer_.find(customer);
  if (held != held_by_customer_.end()) {
    binding.held = held->second;
  }
  return binding;
}

void GuaranteeState::Unbind(const CustomerName& customer,
                            CustomerChange& change) {
  change.rebind = true;
  if (change.before) {
    return;
  }
  change.before = BindingOf(customer);
  for (const auto& [line, block] : change.before->blocks) {
    RemoveBlocks(lines_[line], {block});
  }
  std::set<std::uint32_t> workers = change.workers;
  for (const RunningJob* job : change.before->held) {
    held_.erase(job);
    for (const Allocation& it : job->tasks) {
      workers.insert(RowOf(it.worker));
    }
  }
  held_by_customer_.erase(customer);
  for (const std::uint32_t worker : workers) {
    RefreshProtected(worker);
  }
}

/// Unbinds later customers whose blocks conflict with a job.
void GuaranteeState::UnbindLaterCustomers(const RunningJob& job,
                                          CustomerChanges& changes) {
  const LineState& state = lines_[*LineOfClass(job.job_class)];
  const bool is_full =
      state.line.units == 1 &&
      static_cast<int>(state.bound.size()) >= state.line.groups;
  for (const Allocation& task : job.tasks) {
    const BlockRef block{RowOf(task.worker),
                         BlockAround(task.mask, state.line.level)};
    if (is_full || block.mask == 0 || state.bound.contains(block)) {
      continue;
    }
    for (const Occupant& it : tables_->workers[block.worker].occupants) {
      if (!(job.customer < it.job->customer) || !IsPreemptible(*it.job) ||
          !IsHeld(*it.job)) {
        continue;
      }
      const int level = lines_[*LineOfClass(it.job->job_class)].line.level;
      if ((BlockAround(it.mask, level) & block.mask) != 0) {
        Unbind(it.job->customer, changes[it.job->customer]);
      }
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
