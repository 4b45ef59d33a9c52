#include "guarantee_state.h"

#include <algorithm>

/// Derives from the running work which blocks each guarantee binds.
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

}  // namespace

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

}  // namespace shallotlug::decision
