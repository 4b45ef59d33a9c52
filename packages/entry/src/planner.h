#ifndef SHALLOTLUG_ENTRY_SRC_PLANNER_H_
#define SHALLOTLUG_ENTRY_SRC_PLANNER_H_

#include "state.h"

namespace shallotlug::entry {

/// @brief Starts and stops long jobs when a plan is due and this entry plans.
void PlanJobs(State& state);

/// @brief Whether this entry has heard enough to plan; never during shutdown.
/// With the `warm_up` guard, the warm-up and `plan_not_before` must have
/// passed, and every stream must have been read to its end or be failing.
bool MayPlan(const State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_PLANNER_H_
