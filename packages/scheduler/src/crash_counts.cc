#include "crash_counts.h"

#include <algorithm>

namespace shallotlug::scheduler {

using workload::RunRef;
using workload::TaskPhase;
using workload::TaskProgress;
using workload::TaskRef;

namespace {

// A crash is counted once for each run, also when it is reported again to
// another scheduler.
void CountCrash(State& state,
                const AgentRow& agent,
                const protocol::CrashReport& crash) {
  const TaskRef& task = crash.run.task;
  OccurrenceRow* row = FindOccurrence(state, task);
  if (row == nullptr || row->progress.outcome != workload::Outcome::kOpen) {
    return;
  }
  TaskProgress& progress = ProgressOf(*row, task);
  auto& crashes = progress.crashes;
  const bool counted =
      std::any_of(crashes.begin(), crashes.end(),
                  [&](const auto& it) { return it.run == crash.run.run; });
  if (counted || progress.phase == TaskPhase::kDone) {
    return;
  }
  crashes.push_back({crash.run.run, crash.early, crash.alone});
  state.failed_on[task].try_emplace(agent.address.agent);
  MarkUnrecorded(state, KeyOf(task));
  Log(state, "crash_counted",
      {{"job", task.job.value},
       {"task", workload::ToString(task)},
       {"run", std::to_string(crash.run.run)},
       {"agent", agent.address.agent.value},
       {"early", crash.early ? "true" : "false"},
       {"alone", crash.alone ? "true" : "false"},
       {"crashes", std::to_string(crashes.size())}});
}

}  // namespace

void ApplyCrash(State& state,
                AgentRow& agent,
                const protocol::CrashReport& crash) {
  agent.unsettled.insert(crash.run);
  state.unsettled.insert(agent.address.agent);
  AwaitRecord(state, agent, KeyOf(crash.run.task));
  CountCrash(state, agent, crash);
}

void CountUnreportedCrash(State& state,
                          const AgentRow& agent,
                          const RunRef& run) {
  OccurrenceRow* row = FindOccurrence(state, run.task);
  if (row != nullptr && !ProgressOf(*row, run.task).crashes.empty()) {
    CountCrash(state, agent, {run, false, false});
  }
}

}  // namespace shallotlug::scheduler
