#ifndef SHALLOTLUG_SCHEDULER_SRC_PLACEMENT_H_
#define SHALLOTLUG_SCHEDULER_SRC_PLACEMENT_H_

#include <map>
#include <string>
#include <vector>

#include "state.h"

/// Selection of workers for the tasks of a unit.
namespace shallotlug::scheduler {

/// @brief A worker that may take tasks of a unit.
struct Candidate {
  AgentName agent;
  std::string rack;
  workload::Resources capacity;
  workload::Resources free;
  int limit = 0;  ///< Maximum number of tasks of this unit.
};

/// @brief Resources and locality that a unit requires.
struct Demand {
  int count = 1;
  workload::Resources need;  ///< Of each task.
  bool same_rack = false;
  std::string data_rack;
};

/// @brief Number of tasks of size `need` that fit into `room`, at most `limit`.
int Slots(const workload::Resources& room,
          const workload::Resources& need,
          int limit);

/// @brief Returns one worker per task, or an empty list unless all tasks fit.
/// Best fit: fills the fullest workers first, to limit fragmentation.
std::vector<AgentName> FitInto(const std::vector<Candidate>& candidates,
                               const Demand& demand);

/// @brief As FitInto(), within one rack: the one with the fewest free
/// accelerators, after the rack of the data.
std::vector<AgentName> FitIntoRack(const std::vector<Candidate>& candidates,
                                   const Demand& demand);

/// @brief Whether an empty rack would have room for all tasks.
bool AnyRackCanHold(const std::vector<Candidate>& candidates,
                    const Demand& demand);

/// @brief Groups the candidates by rack.
std::map<std::string, std::vector<Candidate>> ByRack(
    const std::vector<Candidate>& candidates);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_PLACEMENT_H_
