#include "guarantee_state.h"

#include <algorithm>
#include <iterator>

/// Updates a derived state when the work of some customers has changed.
namespace shallotlug::decision {

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
                         detail::BlockAround(task.mask, state.line.level)};
    if (is_full || block.mask == 0 || state.bound.contains(block)) {
      continue;
    }
    for (const Occupant& it : tables_->workers[block.worker].occupants) {
      if (!(job.customer < it.job->customer) || !IsPreemptible(*it.job) ||
          !IsHeld(*it.job)) {
        continue;
      }
      const int level = lines_[*LineOfClass(it.job->job_class)].line.level;
      if ((detail::BlockAround(it.mask, level) & block.mask) != 0) {
        Unbind(it.job->customer, changes[it.job->customer]);
      }
    }
  }
}

}  // namespace shallotlug::decision
