#ifndef SHALLOTLUG_SCHEDULER_SRC_VICTIMS_H_
#define SHALLOTLUG_SCHEDULER_SRC_VICTIMS_H_

#include <optional>
#include <vector>

#include "fleet.h"
#include "placement.h"
#include "units.h"

/// Selection of the runs that are preempted for an urgent unit.
namespace shallotlug::scheduler {

/// @brief Runs to stop, and the workers for the unit once they have ended.
struct PreemptionPlan {
  std::vector<workload::TaskRef> victims;
  std::vector<int> workers;
  double lost_work = 0;  ///< In core-seconds, without checkpointed work.
  /// Part of it in jobs whose callers lose credit.
  double harmful_work = 0;
  double cost = 0;  ///< In core-seconds; includes the restart.
};

/// @brief Time within which a preempted run ends and its end is reported,
/// unless its worker or agent hangs.
Millis StopLimit(const SchedulerOptions& options);

/// @brief Finds runs of lower priority to preempt at a low loss of work.
/// Returns nullopt if no such set makes room, or if a unit that is not
/// guaranteed would cause the loss of too much work for its own.
/// @param spread The unit may be spread over racks.
std::optional<PreemptionPlan> FindPreemption(
    const State& state,
    const Fleet& fleet,
    const Unit& unit,
    const std::vector<Candidate>& candidates,
    const Demand& demand,
    bool spread,
    Now now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_VICTIMS_H_
