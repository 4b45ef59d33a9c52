#ifndef SHALLOTLUG_DECISION_VICTIMS_H_
#define SHALLOTLUG_DECISION_VICTIMS_H_

#include <cstdint>
#include <vector>

#include "shallotlug/base/clock.h"
#include "tables.h"

namespace shallotlug::decision {

/// @brief Cost in accelerator milliseconds of stopping a job as a whole: the
/// progress that its last checkpoint does not keep, and a restart.
double PreemptionCost(const RunningJob& job, TimePoint now);

/// @brief Cost of stopping all work on some accelerators of a worker, as
/// constant + slope * now.
struct ReclaimCost {
  std::int64_t constant = 0;
  std::int64_t slope = 0;
};

ReclaimCost ReclaimCostOfBlock(const WorkerRow& row, AcceleratorMask mask);

/// @brief Waiting for a live request costs less than stopping a job.
constexpr std::int64_t kLiveWaitCost = 500;

/// @brief Jobs on these accelerators of a worker, in the order of the worker's
/// table.
std::vector<const RunningJob*> JobsOn(const WorkerRow& row,
                                      AcceleratorMask mask);

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_VICTIMS_H_
