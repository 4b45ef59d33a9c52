#ifndef SHALLOTLUG_SCHEDULER_SRC_UNITS_H_
#define SHALLOTLUG_SCHEDULER_SRC_UNITS_H_

#include <vector>

#include "state.h"
#include "triage.h"

/// Queue of the units that wait for placement, in priority order.
namespace shallotlug::scheduler {

/// @brief Waiting tasks of one step. Those of a gang start together; others
/// are placed one by one.
struct Unit {
  UnitKey key;
  OccurrenceRow* row = nullptr;
  const workload::Step* step = nullptr;
  std::vector<int> tasks;          ///< Indices within the step.
  bool guaranteed = false;         ///< Within its customer's guarantee.
  bool suspect = false;            ///< A worker may have crashed because of it.
  workload::WallTime objective{};  ///< Latest end that earns full credit.
  Credit credit = Credit::kFull;   ///< What its job can still earn.
  Millis time_behind{0};  ///< Longest chain of steps that wait for this one.

  int Priority() const { return row->terms.priority; }
};

/// @brief The task of a unit with this index.
workload::TaskRef TaskOf(const Unit& unit, int index);

/// @brief Time from an occurrence's due time to the latest end that earns full
/// credit, by its critical path.
Millis ObjectiveSpan(const workload::Job& job, const workload::Terms& terms);

/// @brief Derives which open urgent occurrences are covered by their customers'
/// guarantees, unless that is up to date; the oldest are counted first.
void UpdateGuaranteed(State& state, const workload::Policy& policy, Now now);

/// @brief Worker capacity that a task occupies.
workload::Resources NeedOf(const workload::Step& step);

/// @brief Collects the units that are due, in order of guarantee, priority,
/// whether they can still earn credit, and earliest objective. A task that has
/// failed before or under which a worker has crashed is a unit of its own.
std::vector<Unit> CollectUnits(State& state, Now now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_UNITS_H_
