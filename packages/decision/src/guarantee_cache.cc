#include "guarantee_cache.h"

#include <algorithm>

namespace shallotlug::decision {

void GuaranteeCache::JobAdded(const RunningJob& job) {
  if (!state_) {
    return;
  }
  const std::optional<std::size_t> line = state_->LineOfClass(job.job_class);
  if (!IsPreemptible(job) || !state_->IsIncremental() ||
      (line && state_->Lines()[*line].line.customer != job.customer)) {
    Invalidate();
    return;
  }
  if (!line || job.stopping) {
    return;
  }
  CustomerChange& change = changes_[job.customer];
  const std::set<JobOrder>& jobs = tables_->by_customer.at(job.customer);
  if (jobs.rbegin()->id == job.attempt.job) {
    change.appended.push_back(job.attempt.job);
  } else {
    change.rebind = true;
  }
}

void GuaranteeCache::JobRemoved(const RunningJob& job) {
  if (!state_) {
    return;
  }
  if (!IsPreemptible(job) || !state_->IsIncremental()) {
    Invalidate();
    return;
  }
  // Work that is not held has no effect on the state.
  if (state_->IsHeld(job)) {
    state_->RemoveHeldJob(job, changes_[job.customer]);
  }
}

void GuaranteeCache::WorkerChanged(std::uint32_t worker) {
  if (!state_) {
    return;
  }
  const std::vector<Occupant>& tasks = tables_->workers[worker].occupants;
  if (!state_->IsIncremental() ||
      std::any_of(tasks.begin(), tasks.end(),
                  [](const Occupant& it) { return !IsPreemptible(*it.job); })) {
    Invalidate();
    return;
  }
  state_->RefreshCapacity(worker, changes_);
}

GuaranteeState& GuaranteeCache::Current(const std::vector<GuaranteeLine>& lines,
                                        std::uint64_t& examined) {
  if (state_ && lines_ == lines) {
    state_->Update(changes_, examined);
    if (!state_->IsIncremental() ||
        (state_->PinnedFeasible() && state_->Feasible())) {
      return *state_;
    }
  }
  changes_.clear();
  lines_ = lines;
  state_.emplace(*tables_, lines);
  state_->Derive();
  examined += tables_->workers.size();
  return *state_;
}

}  // namespace shallotlug::decision
