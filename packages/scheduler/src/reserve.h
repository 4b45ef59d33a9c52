#ifndef SHALLOTLUG_SCHEDULER_SRC_RESERVE_H_
#define SHALLOTLUG_SCHEDULER_SRC_RESERVE_H_

#include <vector>

#include "placement.h"
#include "units.h"

/// Room that batch work leaves to urgent jobs.
namespace shallotlug::scheduler {

/// @brief Takes in how much urgent work there is; called once in each plan.
/// @param waiting Units that wait for room.
void MeasureUrgentDemand(State& state,
                         const workload::Policy& policy,
                         const std::vector<Unit>& waiting,
                         TimePoint now);

/// @brief Takes the workers that the unit has to leave to urgent jobs off the
/// list: the emptiest ones, unless the unit is urgent itself, presses, or has
/// waited long enough in a pool that is not busy.
void LeaveReserve(State& state,
                  const Unit& unit,
                  std::vector<Candidate>& candidates,
                  Now now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_RESERVE_H_
