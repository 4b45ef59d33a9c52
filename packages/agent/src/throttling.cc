#include "throttling.h"

#include <bit>
#include <vector>

#include "accelerators.h"
#include "backend_tasks.h"

namespace shallotlug::agent {
namespace {

/// @brief Where the accelerators of a live request come from.
struct Choice {
  AcceleratorMask mask = 0;
  std::vector<TaskId> victims;
};

bool CanThrottle(const State& state, const Task& task) {
  return task.throttleable && !task.throttled && !task.stopping &&
         (task.accelerators & ClaimedMask(state)) == 0;
}

int Missing(const Choice& choice, int count) {
  return count - std::popcount(choice.mask);
}

std::optional<Choice> Choose(const State& state, int count) {
  Choice choice;
  choice.mask = LowestBits(FreeMask(state), count);
  choice.mask |= LowestBits(UnusedThrottledMask(state) & ~ClaimedMask(state),
                            Missing(choice, count));
  bool slot = FreeSlots(state) > 0;
  for (const auto& [id, task] : state.backend.tasks) {
    if (slot && Missing(choice, count) <= 0) {
      break;
    }
    if (CanThrottle(state, task) && (!slot || task.accelerators != 0)) {
      choice.mask |= LowestBits(task.accelerators, Missing(choice, count));
      choice.victims.push_back(id);
      slot = true;
    }
  }
  if (!slot || Missing(choice, count) > 0) {
    return std::nullopt;
  }
  return choice;
}

}  // namespace

std::optional<AcceleratorMask> TakeForLive(State& state,
                                           int count,
                                           Outbox& out) {
  const std::optional<Choice> choice = Choose(state, count);
  if (!choice) {
    return std::nullopt;
  }
  for (const TaskId& id : choice->victims) {
    ControlTaskById(state, id, TaskAction::kThrottle, out);
  }
  return choice->mask;
}

bool CanTakeForLive(const State& state, int count) {
  return Choose(state, count).has_value();
}

void ResumeThrottledTasks(State& state, Outbox& out) {
  std::vector<TaskId> throttled;
  for (const auto& [id, task] : state.backend.tasks) {
    // A resume may have been lost on its way to the backend server.
    if ((task.throttled || task.reported_throttled) && !task.stopping) {
      throttled.push_back(id);
    }
  }
  for (const TaskId& id : throttled) {
    const Task& task = state.backend.tasks[id];
    const bool has_slot = !task.throttled || FreeSlots(state) > 0;
    if ((task.accelerators & LiveMask(state)) == 0 && has_slot) {
      ControlTaskById(state, id, TaskAction::kResume, out);
    }
  }
}

}  // namespace shallotlug::agent
