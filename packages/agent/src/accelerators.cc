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
  for (const auto& [id, accelerators] : state.backend.foreign) {
    mask |= accelerators;
  }
  return mask;
}

int TaskSlots(const State& state) {
  int slots = static_cast<int>(state.backend.foreign.size());
  for (const auto& [id, task] : state.backend.tasks) {
    slots += task.throttled ? 0 : 1;
  }
  return slots;
}

AcceleratorUse UseOf(const State& state, AcceleratorMask bit) {
  if ((LiveMask(state) & bit) != 0) {
    return AcceleratorUse::kLive;
  }
  return (TaskMask(state) & bit) != 0 ? AcceleratorUse::kReserved
                                      : AcceleratorUse::kFree;
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
  return AllAccelerators(state) & ~TaskMask(state);
}

int FreeSlots(const State& state) {
  return std::max(0, state.options.inventory.slots - TaskSlots(state));
}

std::vector<AcceleratorUse> AcceleratorUses(const State& state) {
  std::vector<AcceleratorUse> uses;
  for (int n = 0; n < state.options.inventory.accelerators; ++n) {
    uses.push_back(UseOf(state, AcceleratorMask{1} << n));
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
