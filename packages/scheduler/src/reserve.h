#ifndef SHALLOTLUG_SCHEDULER_SRC_RESERVE_H_
#define SHALLOTLUG_SCHEDULER_SRC_RESERVE_H_

#include <vector>

#include "placement.h"
#include "units.h"

/// Workers that batch jobs keep free for urgent jobs.
namespace shallotlug::scheduler {

/// @brief Updates the measured demand of urgent work; called once per plan.
/// @param waiting Units that wait for room.
void MeasureUrgentDemand(State& state,
                         const std::vector<Unit>& waiting,
                         TimePoint now);

/// @brief Whether at least half of the candidates' resources is in use.
bool IsBusy(const std::vector<Candidate>& candidates);

/// @brief Removes the workers reserved for urgent jobs, which are the emptiest
/// ones, from the candidates. Has no effect if the unit is urgent or long
/// running, is about to miss its objective, or has waited long enough in a pool
/// that is not busy.
void ExcludeReservedWorkers(State& state,
                            const Unit& unit,
                            std::vector<Candidate>& candidates,
                            Now now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_RESERVE_H_
