#ifndef SHALLOTLUG_SCHEDULER_SRC_CANDIDATES_H_
#define SHALLOTLUG_SCHEDULER_SRC_CANDIDATES_H_

#include <vector>

#include "fleet.h"
#include "placement.h"
#include "units.h"

/// Which workers may take a unit, and into which of them it fits. Each
/// preference among them ends: it delays a unit for a time, and no longer.
namespace shallotlug::scheduler {

/// @brief State of one placement.
struct Placement {
  State& state;
  Fleet fleet;
  Now now;
};

/// @brief What one placement of the unit requires: all tasks of a gang, or one.
Demand DemandOf(const State& state, const Unit& unit);

/// @brief Time since the unit's job was due.
Millis Waited(const Unit& unit, Now now);

/// @brief Whether all tasks of the demand fit into the eligible workers, with
/// no regard to racks, limits and the reserve.
bool MayFit(const Fleet& fleet, const Unit& unit, const Demand& demand);

/// @brief The workers that may take the unit. Those on which one of its tasks
/// has failed only if the others could not hold it, or do not for some time.
std::vector<Candidate> CandidatesOf(const Placement& placement,
                                    const Unit& unit,
                                    const Demand& demand);

/// @brief Workers for the demand among these candidates, by racks and speeds;
/// empty if it does not fit, or waits for a rack.
std::vector<int> Fit(const Placement& placement,
                     const Unit& unit,
                     const std::vector<Candidate>& all,
                     const Demand& demand);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_CANDIDATES_H_
