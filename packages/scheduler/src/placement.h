#ifndef SHALLOTLUG_SCHEDULER_SRC_PLACEMENT_H_
#define SHALLOTLUG_SCHEDULER_SRC_PLACEMENT_H_

#include <vector>

#include "shallotlug/workload/resources.h"

/// Selection of workers for the tasks of a unit. Workers and racks are numbers
/// that the caller has given them, so that a plan copies no names.
namespace shallotlug::scheduler {

/// @brief No rack.
inline constexpr int kNoRack = -1;

/// @brief A worker that may take tasks of a unit.
struct Candidate {
  int worker = 0;
  int rack = kNoRack;
  workload::Resources capacity;
  workload::Resources free;
  int limit = 0;  ///< Maximum number of tasks of this unit.
  /// Time that a task takes, relative to a usual worker.
  double time_factor = 1;
  int speed_class = 0;
};

/// @brief Resources and locality that a unit requires.
struct Demand {
  int count = 1;
  workload::Resources need;  ///< Of each task.
  bool same_rack = false;
  int data_rack = kNoRack;
};

/// @brief Number of tasks of size `need` that fit into `room`, at most `limit`.
int Slots(const workload::Resources& room,
          const workload::Resources& need,
          int limit);

/// @brief Returns one worker per task, or an empty list unless all tasks fit.
/// Best fit: fills the fullest workers first, to limit fragmentation.
std::vector<int> FitInto(const std::vector<Candidate>& candidates,
                         const Demand& demand);

/// @brief As FitInto(), within one rack: the one with the fewest free
/// accelerators, after the rack of the data.
std::vector<int> FitIntoRack(const std::vector<Candidate>& candidates,
                             const Demand& demand);

/// @brief Whether the workers together have room for all tasks when they are
/// empty.
bool CouldHold(const std::vector<Candidate>& candidates, const Demand& demand);

/// @brief Whether an empty rack would have room for all tasks.
bool AnyRackCanHold(const std::vector<Candidate>& candidates,
                    const Demand& demand);

/// @brief Groups the candidates by rack.
std::vector<std::vector<Candidate>> ByRack(
    const std::vector<Candidate>& candidates);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_PLACEMENT_H_
