#ifndef SHALLOTLUG_SCHEDULER_SRC_WAITS_H_
#define SHALLOTLUG_SCHEDULER_SRC_WAITS_H_

#include <cstdint>

#include "units.h"

/// Log lines about the time that urgent jobs wait for their start.
namespace shallotlug::scheduler {

/// @brief Why a unit was not placed.
enum class WaitReason {
  kStopsPending,      ///< Runs were preempted for it and have not ended.
  kNothingToPreempt,  ///< No set of runs makes room at a justified cost.
  kNoneInTime,        ///< The free workers are too slow for its objective.
  kNoRack,            ///< A gang waits for one rack, where it runs faster.
  kNotAlone,          ///< A suspect waits for a worker without other jobs.
};

/// @brief An occurrence's part in its customer's guarantee.
struct GuaranteeShare {
  bool within = false;
  std::int64_t need = 0;  ///< Accelerators of its widest step.
  std::int64_t left = 0;  ///< What older occurrences leave of the guarantee.
};

/// @brief Logs that an urgent occurrence is within its customer's guarantee
/// from now on, or no longer.
void LogGuarantee(State& state,
                  const OccurrenceKey& key,
                  const OccurrenceRow& row,
                  const GuaranteeShare& share,
                  Now now);

/// @brief Logs why an urgent unit waits, once a second from half a second on.
void LogUrgentWait(State& state, const Unit& unit, WaitReason reason, Now now);

/// @brief Logs that an urgent occurrence has begun, if all tasks of the task's
/// step run for the first time.
void LogIfBegun(State& state, const workload::TaskRef& task, TimePoint now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_WAITS_H_
