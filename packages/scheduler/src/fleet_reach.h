#ifndef SHALLOTLUG_SCHEDULER_SRC_FLEET_REACH_H_
#define SHALLOTLUG_SCHEDULER_SRC_FLEET_REACH_H_

#include <cstddef>
#include <set>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/workload/record.h"

/// Whether a scheduler hears enough agents to go on. What counts as the fleet
/// are the agents that schedulers have heard of late, as their claims say:
/// most of the registered ones may have been replaced.
namespace shallotlug::scheduler {

struct FleetReach {
  int peak = 0;  ///< Most agents that a scheduler has heard of late.
  TimePoint peak_at{};
  /// Other entries that have resigned of late because they heard too few
  /// agents, and the most that one of them heard.
  std::set<EntryName> resigned;
  int heard_by_resigned = 0;
  TimePoint resigned_at{};
};

/// @brief What a scheduler knows of its agents.
struct AgentCounts {
  int heard = 0;
  int known = 0;                  ///< Registered; counts where no claim tells.
  std::size_t other_entries = 0;  ///< That could schedule as well.
};

enum class ReachVerdict {
  kEnough,
  /// Too few, but so many others have resigned that heard no more that the
  /// agents are gone.
  kNoneHearMore,
  kTooFew,  ///< Another entry is likely to hear more.
};

/// @brief Notes the number of agents that a scheduler hears, which are enough.
void NoteHeard(FleetReach& reach, int heard, TimePoint now);

/// @brief Notes a new claim of another entry.
void NoteClaim(FleetReach& reach,
               const workload::SchedulerClaim& claim,
               TimePoint now);

ReachVerdict JudgeReach(const FleetReach& reach,
                        const AgentCounts& agents,
                        TimePoint now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_FLEET_REACH_H_
