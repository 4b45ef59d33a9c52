#include "accelerators.h"

#include <algorithm>
#include <bit>

namespace shallotlug::agent {
namespace {

AcceleratorMask TaskMask(const State& state) {
  AcceleratorMask mask = 0;
  for (const auto& [id, task] : state.backend.tasks) {
    mask |= task.accelerators;
  }
  for (const auto& [id, accelerators] : state.backend.orphaned_tasks) {
    mask |= accelerators;
  }
  return mask;
}

AcceleratorMask MemberMask(const State& state) {
  AcceleratorMask mask = 0;
  for (const auto& [attempt, member] : state.gangs.members) {
    mask |= member.accelerators;
  }
  return mask;
}

// Accelerators of tasks that can be throttled now, without tasks that are
// stopping and accelerators that another member has reserved.
AcceleratorMask ThrottleableMask(const State& state) {
  AcceleratorMask mask = 0;
  for (const auto& [id, task] : state.backend.tasks) {
    mask |= task.throttleable && !task.stopping ? task.accelerators : 0;
  }
  return mask & ~ClaimedMask(state);
}

// Accelerators of gangs whose tasks run.
AcceleratorMask GangMask(const State& state) {
  AcceleratorMask mask = 0;
  for (const auto& [id, task] : state.backend.tasks) {
    mask |= task.live || task.throttleable ? 0 : task.accelerators;
  }
  return mask;
}

bool IsMemberTask(const Task& task) {
  return std::holds_alternative<MemberTask>(task.owner);
}

}  // namespace

AcceleratorMask AllAccelerators(const State& state) {
  const int n = std::clamp(state.options.inventory.accelerators, 0, 31);
  return (AcceleratorMask{1} << n) - 1;
}

AcceleratorMask LiveMask(const State& state) {
  AcceleratorMask mask = 0;
  for (const auto& [id, task] : state.backend.tasks) {
    mask |= task.live ? task.accelerators : 0;
  }
  return mask;
}

AcceleratorMask FreeMask(const State& state) {
  return AllAccelerators(state) & ~TaskMask(state) & ~MemberMask(state);
}

AcceleratorMask ClaimedMask(const State& state) {
  AcceleratorMask mask = 0;
  for (const auto& [attempt, member] : state.gangs.members) {
    mask |= member.phase == MemberPhase::kGranted ||
                    member.phase == MemberPhase::kReady
                ? member.accelerators
                : 0;
  }
  return mask;
}

AcceleratorMask LiveCapacityMask(const State& state) {
  AcceleratorMask ending = LiveMask(state);
  for (const auto& [id, accelerators] : state.backend.orphaned_tasks) {
    ending |= accelerators;
  }
  return FreeMask(state) | ThrottleableMask(state) |
         (ending & ~ClaimedMask(state));
}

AcceleratorMask UnusedThrottledMask(const State& state) {
  AcceleratorMask mask = 0;
  for (const auto& [id, task] : state.backend.tasks) {
    mask |= task.throttled ? task.accelerators : 0;
  }
  return mask & ~LiveMask(state);
}

// A member occupies one slot per task from its reservation on.
int UsedSlots(const State& state) {
  std::size_t slots = state.backend.orphaned_tasks.size();
  for (const auto& [attempt, member] : state.gangs.members) {
    slots += member.tasks.size();
  }
  for (const auto& [id, task] : state.backend.tasks) {
    slots += IsMemberTask(task) ? 0 : 1;
    slots -= IsMemberTask(task) && task.throttled ? 1 : 0;
  }
  return static_cast<int>(slots);
}

int FreeSlots(const State& state) {
  return std::max(0, state.options.inventory.slots - UsedSlots(state));
}

std::vector<AcceleratorUse> AcceleratorUses(const State& state) {
  const AcceleratorMask live = LiveMask(state);
  const AcceleratorMask gang = GangMask(state);
  const AcceleratorMask throttleable = ThrottleableMask(state);
  const AcceleratorMask free = FreeMask(state);
  std::vector<AcceleratorUse> uses;
  for (int n = 0; n < state.options.inventory.accelerators; ++n) {
    const AcceleratorMask bit = AcceleratorMask{1} << n;
    AcceleratorUse use = AcceleratorUse::kReserved;
    if ((free & bit) != 0) {
      use = AcceleratorUse::kFree;
    } else if ((live & bit) != 0) {
      use = AcceleratorUse::kLive;
    } else if ((gang & bit) != 0) {
      use = AcceleratorUse::kGang;
    } else if ((throttleable & bit) != 0) {
      use = AcceleratorUse::kThrottleable;
    }
    uses.push_back(use);
  }
  return uses;
}

AcceleratorMask LowestBits(AcceleratorMask mask, int count) {
  AcceleratorMask chosen = 0;
  for (; mask != 0 && count > 0; --count) {
    const AcceleratorMask bit = mask & (~mask + 1);
    chosen |= bit;
    mask &= ~bit;
  }
  return chosen;
}

}  // namespace shallotlug::agent
