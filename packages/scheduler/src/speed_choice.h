#ifndef SHALLOTLUG_SCHEDULER_SRC_SPEED_CHOICE_H_
#define SHALLOTLUG_SCHEDULER_SRC_SPEED_CHOICE_H_

#include <functional>
#include <vector>

#include "placement.h"
#include "units.h"

/// Which workers a unit takes where these differ in speed. Answers the load of
/// urgent gangs, which end with their slowest member, beside batch work that
/// has time for slow workers.
namespace shallotlug::scheduler {

/// @brief Workers for a demand among these candidates; none if it does not fit.
using FitFunction =
    std::function<std::vector<int>(const std::vector<Candidate>&)>;

/// @brief Tries choices of the candidates, the best one first, until one fits.
/// An urgent unit takes the fastest workers; another one the slowest on which
/// it meets its objective, so that the faster ones stay free, or the fastest if
/// it meets it nowhere.
std::vector<int> FirstFit(const Unit& unit,
                          const std::vector<Candidate>& candidates,
                          Now now,
                          const FitFunction& fit);

/// @brief The candidates on which an urgent unit that starts now meets its
/// objective; all of them if those cannot hold it even when they are empty, or
/// if the unit is not urgent.
std::vector<Candidate> CandidatesInTime(
    const Unit& unit,
    const std::vector<Candidate>& candidates,
    const Demand& demand,
    Now now);

/// @brief Whether the unit may wait for a faster worker than those that are
/// free; notes since when it waits.
bool MayWaitForSpeed(State& state, const Unit& unit, TimePoint now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_SPEED_CHOICE_H_
