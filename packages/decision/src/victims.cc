#include "victims.h"

#include <bit>

namespace shallotlug::decision {
namespace {

/// Stopping and starting again costs about a second of checkpoint and start.
constexpr Millis kRestart{2000};

}  // namespace

double LossOfStopping(const RunningJob& job, TimePoint now) {
  if (job.stopping) {
    return 0;
  }
  int accelerators = 0;
  for (const Allocation& it : job.tasks) {
    accelerators += std::popcount(it.mask);
  }
  const Millis lost = job.checkpointable ? Millis(0) : now - job.started;
  return static_cast<double>(accelerators) *
         static_cast<double>((lost + kRestart).count());
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
