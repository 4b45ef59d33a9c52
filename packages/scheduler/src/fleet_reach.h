#ifndef SHALLOTLUG_SCHEDULER_SRC_FLEET_REACH_H_
#define SHALLOTLUG_SCHEDULER_SRC_FLEET_REACH_H_

#include "shallotlug/base/clock.h"
#include "shallotlug/workload/record.h"

/// Whether a scheduler hears enough agents to go on. What counts as the fleet
/// are the agents that schedulers have heard of late, as their claims say:
/// most of the registered ones may have been replaced.
namespace shallotlug::scheduler {

struct FleetReach {
  int peak = 0;  ///< Most agents that a scheduler has heard of late.
  TimePoint peak_at{};
  /// Schedulers that have resigned of late because they heard too few agents,
  /// and the most that one of them heard.
  int resigned = 0;
  int heard_by_resigned = 0;
  TimePoint resigned_at{};
};

/// @brief Notes that a scheduler has heard this many agents.
void NoteHeard(FleetReach& reach, int heard, TimePoint now);

/// @brief Notes a claim that was read from the log.
void NoteClaim(FleetReach& reach,
               const workload::SchedulerClaim& claim,
               TimePoint now);

/// @brief Whether another scheduler is likely to hear more agents than this
/// one: it hears less than half of those heard of late, and no two others have
/// resigned of late that heard no more.
/// @param known Number of registered agents; counts where no claim tells.
bool HearsTooFew(const FleetReach& reach, int heard, int known, TimePoint now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_FLEET_REACH_H_
