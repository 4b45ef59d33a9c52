#ifndef SHALLOTLUG_ENTRY_SRC_PLANNER_H_
#define SHALLOTLUG_ENTRY_SRC_PLANNER_H_

#include "state.h"

namespace shallotlug::entry {

/// @brief Starts and stops long jobs when a plan is due and this entry plans.
void PlanJobs(State& state);

/// @brief Whether the warm-up is over and every stream has been read or has
/// failed.
bool MayPlan(const State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_PLANNER_H_
