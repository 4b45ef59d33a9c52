#include "guarantee_state.h"

#include <algorithm>

namespace shallotlug::decision {
namespace {

int CeilDivide(int a, int b) {
  return (a + b - 1) / b;
}

AcceleratorMask BaseOf(const WorkerRow& row) {
  return row.alive && row.schedulable ? AllOf(row) & ~row.faulty : 0;
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
    by_customer_[it.customer].push_back(lines_.size());
    lines_.push_back({std::move(it), {}, {}});
  }
  for (std::uint32_t n = 0; n < tables.workers.size(); ++n) {
    base_[n] = BaseOf(tables.workers[n]);
    SetOpen(n);
  }
}

void GuaranteeState::Derive() {
  BindPinned();
  const bool sound = Feasible();
  const GuaranteeState before = *this;
  if (HoldAll() || !sound) {
    return;
  }
  *this = before;
  HoldEach();
}

void GuaranteeState::BindPinned() {
  for (const JobId& id : tables_->pinned) {
    Protect(tables_->jobs.at(id).tasks);
  }
  for (const JobId& id : tables_->pinned) {
    TryHold(tables_->jobs.at(id));
  }
}

std::vector<const RunningJob*> GuaranteeState::HoldCandidates() const {
  std::vector<const RunningJob*> jobs;
  for (const auto& [customer, lines] : by_customer_) {
    const auto it = tables_->by_customer.find(customer);
    if (it == tables_->by_customer.end()) {
      continue;
    }
    for (const JobOrder& order : it->second) {
      const RunningJob& job = tables_->jobs.at(order.id);
      if (order.repeatable && !job.stopping) {
        jobs.push_back(&job);
      }
    }
  }
  return jobs;
}

bool GuaranteeState::HoldAll() {
  for (const RunningJob* job : HoldCandidates()) {
    TryHold(*job);
  }
  return Feasible();
}

void GuaranteeState::HoldEach() {
  for (const RunningJob* job : HoldCandidates()) {
    const GuaranteeState before = *this;
    TryHold(*job);
    if (!Feasible()) {
      *this = before;
    }
  }
}

bool GuaranteeState::TryHold(const RunningJob& job) {
  const std::vector<std::size_t>& lines = LinesOfCustomer(job.customer);
  const auto try_line = [&](std::size_t n) {
    if (!TryBind(n, job.tasks)) {
      return false;
    }
    held_.insert(&job);
    return true;
  };
  for (const std::size_t n : lines) {
    if (lines_[n].line.name == job.job_class && try_line(n)) {
      return true;
    }
  }
  return std::any_of(lines.begin(), lines.end(), try_line);
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

bool GuaranteeState::TryBind(std::size_t line,
                             const std::vector<Allocation>& tasks) {
  LineState& state = lines_[line];
  std::set<BlockRef> blocks;
  for (const Allocation& it : tasks) {
    const BlockRef block{RowOf(it.worker),
                         BlockAround(it.mask, state.line.level)};
    if (block.mask == 0) {
      return false;
    }
    if (!state.bound.contains(block)) {
      if (!BlockIsAvailable(state.line.customer, block, it.mask)) {
        return false;
      }
      blocks.insert(block);
    }
  }
  LineState after = state;
  for (const BlockRef& it : blocks) {
    after.bound.insert(it);
    ++after.bound_by_domain[DomainOf(state.line, it.worker)];
  }
  if (after.GroupsUsed() > state.line.groups) {
    return false;
  }
  state = std::move(after);
  for (const BlockRef& it : blocks) {
    bound_[it.worker] |= it.mask;
  }
  Protect(tasks);
  return true;
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

const std::vector<std::size_t>& GuaranteeState::LinesOfCustomer(
    const CustomerName& customer) const {
  static const std::vector<std::size_t> none;
  const auto it = by_customer_.find(customer);
  return it == by_customer_.end() ? none : it->second;
}

std::uint32_t GuaranteeState::DomainOf(const GuaranteeLine& line,
                                       std::uint32_t worker) const {
  const FreeRow& row = tables_->free->row(worker);
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
