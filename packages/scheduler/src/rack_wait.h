#ifndef SHALLOTLUG_SCHEDULER_SRC_RACK_WAIT_H_
#define SHALLOTLUG_SCHEDULER_SRC_RACK_WAIT_H_

#include <optional>
#include <vector>

#include "fleet.h"
#include "placement.h"
#include "units.h"

/// How long a gang waits for room in one rack. One that is spread over several
/// racks takes longer, so a rack is a preference, not a condition. In a pool
/// that is not busy the wait is worth at most the time that the spread gang
/// would lose; in a busy one the gang is spread when its caller gains by it.
namespace shallotlug::scheduler {

/// @brief Time until the ends of runs leave room for all tasks of the demand in
/// one rack. Nothing if the runs with a known end do not leave enough.
std::optional<Millis> TimeUntilRackFits(
    const State& state,
    const Fleet& fleet,
    const std::vector<Candidate>& candidates,
    const Demand& demand,
    TimePoint now);

/// @brief Whether a gang that fits into no rack now may be spread over several.
/// The first call for a unit begins its wait for a rack.
bool MaySpreadOverRacks(State& state,
                        const Fleet& fleet,
                        const Unit& unit,
                        const std::vector<Candidate>& candidates,
                        const Demand& demand,
                        Now now);

/// @brief Whether the unit waits for a rack although it could be spread.
bool WaitsForRack(const State& state, const Unit& unit);

/// @brief When such a wait is weighed again; TimePoint{} if the unit does not
/// wait for a rack.
TimePoint WaitsForRackUntil(const State& state, const Unit& unit);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_RACK_WAIT_H_
