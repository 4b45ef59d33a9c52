#ifndef SHALLOTLUG_SCHEDULER_SRC_FLEET_H_
#define SHALLOTLUG_SCHEDULER_SRC_FLEET_H_

#include <vector>

#include "avoidance.h"
#include "placement.h"
#include "state.h"

/// Workers as a placement sees them, numbered in order of their agents' names.
namespace shallotlug::scheduler {

/// @brief A worker during one placement.
struct FleetWorker {
  const AgentName* name = nullptr;
  const AgentRow* agent = nullptr;
  workload::Resources free;  ///< Without what is reserved for blocked units.
  bool schedulable = false;  ///< May take new runs.
  Trust trust = Trust::kFull;
  /// Time that a task takes here, relative to a usual worker.
  double time_factor = 1;
  int speed_class = 0;
};

using Fleet = std::vector<FleetWorker>;

/// @brief The workers of all agents, with the resources that no run occupies.
Fleet MakeFleet(const State& state,
                const workload::Policy& policy,
                TimePoint now);

/// @brief The number of an agent's worker, or -1.
int FindWorker(const Fleet& fleet, const AgentName& agent);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_FLEET_H_
