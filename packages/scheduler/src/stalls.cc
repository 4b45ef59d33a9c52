#include <algorithm>

#include "avoidance.h"
#include "state.h"

namespace shallotlug::scheduler {

using workload::TaskRef;

namespace {

// Progress is reported at least every second, in whole percent. A run that has
// not advanced for this time, and for this share of its estimate, is stalled.
constexpr Millis kMinStallTime{2'500};
constexpr int kStallShareOfEstimate = 4;
// Older reports do not show the current progress.
constexpr Millis kMaxReportAge{1'500};
// A run without checkpoints is stopped only up to this progress, since it loses
// its work.
constexpr int kMaxPercentToRestart = 25;

/// @brief Whether a stall of the run is caused by its own worker. The members
/// of a gang on several workers stall together, whichever worker is the cause.
bool IsIndependent(const State& state,
                   const OccurrenceRow& row,
                   const TaskRef& task,
                   const RunRow& run) {
  if (!StepOf(row, task.step).gang) {
    return true;
  }
  const std::vector<TaskRef> members = GangOf(row, task);
  return run.percent > 0 &&
         std::all_of(members.begin(), members.end(), [&](const TaskRef& it) {
           const RunRow* other = state.runs.Find(it);
           return other != nullptr && other->on.agent == run.on.agent;
         });
}

bool IsStalled(const OccurrenceRow& row,
               const TaskRef& task,
               const RunRow& run,
               TimePoint now) {
  const workload::Step& step = StepOf(row, task.step);
  const Millis limit =
      std::max(kMinStallTime, step.estimate / kStallShareOfEstimate);
  return run.state == RunState::kRunning && !run.stop_requested &&
         !step.lasting && now - run.advanced_at > limit;
}

}  // namespace

void EvictFromStalledWorkers(State& state, TimePoint now) {
  for (auto& [name, agent] : state.agents) {
    if (now - agent.heard_at > kMaxReportAge ||
        agent.worker_state != protocol::WorkerState::kPresent) {
      continue;
    }
    for (const auto& [task, run] : state.runs.On(name).rows) {
      if (now - run->advanced_at <= kMinStallTime) {
        continue;
      }
      const OccurrenceRow* row = FindOccurrence(state, task);
      if (row == nullptr || !IsStalled(*row, task, *run, now) ||
          !IsIndependent(state, *row, task, *run)) {
        continue;
      }
      AvoidWorker(state, agent, "no_progress", run->placed_at, now);
      if (StepOf(*row, task.step).saves_checkpoints ||
          run->percent <= kMaxPercentToRestart) {
        RequestStop(state, task, *run, "no_progress", now);
      }
    }
  }
}

}  // namespace shallotlug::scheduler
