#include "victims.h"

#include <bit>

namespace shallotlug::decision {
namespace {

/// Stopping and restarting a job costs about a second of checkpoint and start.
constexpr Millis kRestartTime{2000};

int AcceleratorsOf(const RunningJob& job) {
  int accelerators = 0;
  for (const Allocation& it : job.tasks) {
    accelerators += std::popcount(it.mask);
  }
  return accelerators;
}

}  // namespace

double PreemptionCost(const RunningJob& job, TimePoint now) {
  if (job.stopping) {
    return 0;
  }
  const int accelerators = AcceleratorsOf(job);
  const Millis lost = job.checkpointable ? Millis(0) : now - job.started;
  return static_cast<double>(accelerators) *
         static_cast<double>((lost + kRestartTime).count());
}

/// Agrees with PreemptionCost.
ReclaimCost ReclaimCostOfBlock(const WorkerRow& row, AcceleratorMask mask) {
  ReclaimCost cost;
  cost.constant = kLiveWaitCost * std::popcount(row.live & mask);
  for (const Occupant& it : row.occupants) {
    if ((it.mask & mask) == 0 || it.job->stopping) {
      continue;
    }
    const std::int64_t accelerators = AcceleratorsOf(*it.job);
    cost.constant += accelerators * kRestartTime.count();
    if (!it.job->checkpointable) {
      cost.slope += accelerators;
      cost.constant -=
          accelerators * it.job->started.time_since_epoch().count();
    }
  }
  return cost;
}

std::vector<const RunningJob*> JobsOn(const WorkerRow& row,
                                      AcceleratorMask mask) {
  std::vector<const RunningJob*> jobs;
  for (const Occupant& it : row.occupants) {
    if ((it.mask & mask) != 0) {
      jobs.push_back(it.job);
    }
  }
  return jobs;
}

}  // namespace shallotlug::decision
