#ifndef SHALLOTLUG_AGENT_SRC_ACCELERATORS_H_
#define SHALLOTLUG_AGENT_SRC_ACCELERATORS_H_

#include <vector>

#include "state.h"

/// Allocation of the accelerators and slots of the worker.
namespace shallotlug::agent {

AcceleratorMask AllAccelerators(const State& state);

/// @brief Accelerators of live requests.
AcceleratorMask LiveMask(const State& state);

/// @brief Accelerators that no task or reservation uses.
AcceleratorMask FreeMask(const State& state);

/// @brief Accelerators of reservations that have not started to run.
AcceleratorMask ClaimedMask(const State& state);

/// @brief Accelerators that live requests use, or may use when their turn
/// comes.
AcceleratorMask LiveCapacityMask(const State& state);

/// @brief Accelerators of throttled tasks that no live request uses.
AcceleratorMask UnusedThrottledMask(const State& state);

/// @brief Slots that tasks and reservations use.
int UsedSlots(const State& state);

/// @brief Slots that no task or reservation uses. A throttled task gives its
/// slot to the live request it yields to.
int FreeSlots(const State& state);

/// @brief Use of each accelerator, as reports show it.
std::vector<AcceleratorUse> AcceleratorUses(const State& state);

/// @brief The lowest `count` accelerators of a mask; all when it has fewer.
AcceleratorMask LowestBits(AcceleratorMask mask, int count);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_ACCELERATORS_H_
