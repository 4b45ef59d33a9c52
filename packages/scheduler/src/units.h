#ifndef SHALLOTLUG_SCHEDULER_SRC_UNITS_H_
#define SHALLOTLUG_SCHEDULER_SRC_UNITS_H_

#include <vector>

#include "state.h"

/// Queue of the units that wait for placement, in priority order.
namespace shallotlug::scheduler {

/// @brief Tasks that start together and wait for placement.
struct Unit {
  UnitKey key;
  OccurrenceRow* row = nullptr;
  const workload::Step* step = nullptr;
  std::vector<workload::TaskRef> tasks;
  workload::Terms terms;
  bool guaranteed = false;         ///< Within its customer's guarantee.
  workload::WallTime objective{};  ///< Latest end that earns full credit.
  workload::WallTime zero_credit_after{};
};

/// @brief Open urgent occurrences that are covered by their customers'
/// guarantees; the oldest are counted first.
std::set<OccurrenceKey> GuaranteedOccurrences(const State& state,
                                              const workload::Policy& policy);

/// @brief Worker capacity that a task occupies.
workload::Resources NeedOf(const workload::Step& step);

/// @brief Collects the units that are due, in order of guarantee, priority,
/// whether they can still earn credit, and earliest objective.
std::vector<Unit> CollectUnits(State& state,
                               const workload::Policy& policy,
                               const std::set<OccurrenceKey>& guaranteed,
                               Now now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_UNITS_H_
