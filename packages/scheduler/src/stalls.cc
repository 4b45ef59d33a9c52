#include <algorithm>

#include "state.h"

namespace shallotlug::scheduler {

using workload::TaskRef;

namespace {

// Progress is reported at least every second, in whole percent. A run that has
// not advanced for this time, and for this share of its estimate, stands still.
constexpr Millis kShortestStall{2'500};
constexpr int kStallShareOfEstimate = 4;
// An older report says nothing of the present.
constexpr Millis kFreshReport{1'500};
// A run that saves nothing is stopped only while it has little to lose.
constexpr int kLittlePercent = 25;

/// @brief Whether the run can be judged by itself: members of a gang on several
/// workers stand still together, wherever the cause is.
bool StandsAlone(const State& state,
                 const OccurrenceRow& row,
                 const TaskRef& task,
                 const RunRow& run) {
  if (!StepOf(row, task.step).gang) {
    return true;
  }
  const std::vector<TaskRef> members = GangOf(row, task);
  return run.percent > 0 &&
         std::all_of(members.begin(), members.end(), [&](const TaskRef& it) {
           const auto other = state.runs.find(it);
           return other != state.runs.end() &&
                  other->second.on.agent == run.on.agent;
         });
}

bool StandsStill(const OccurrenceRow& row,
                 const TaskRef& task,
                 const RunRow& run,
                 TimePoint now) {
  const workload::Step& step = StepOf(row, task.step);
  const Millis limit =
      std::max(kShortestStall, step.estimate / kStallShareOfEstimate);
  return run.state == RunState::kRunning && !run.stop_wanted && !step.lasting &&
         now - run.advanced_at > limit;
}

}  // namespace

void LeaveStalledWorkers(State& state, TimePoint now) {
  for (auto& [task, run] : state.runs) {
    const auto agent = state.agents.find(run.on.agent);
    const OccurrenceRow* row = FindOccurrence(state, task);
    if (row == nullptr || agent == state.agents.end() ||
        now - agent->second.heard_at > kFreshReport ||
        agent->second.worker_state != protocol::WorkerState::kPresent ||
        !StandsStill(*row, task, run, now) ||
        !StandsAlone(state, *row, task, run)) {
      continue;
    }
    if (now >= agent->second.avoid_until) {
      Avoid(state, agent->second, "no_progress", now);
    }
    if (StepOf(*row, task.step).saves_checkpoints ||
        run.percent <= kLittlePercent) {
      WantStop(state, task, run, "no_progress", now);
    }
  }
}

}  // namespace shallotlug::scheduler
