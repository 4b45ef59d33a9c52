#include "shallotlug/workload/progress.h"

#include <algorithm>

namespace shallotlug::workload {

Progress MakeProgress(const Job& job) {
  Progress progress;
  for (const Step& it : job.steps) {
    progress.steps.emplace_back(static_cast<std::size_t>(it.count));
  }
  return progress;
}

bool HasStarted(const Progress& progress) {
  return std::any_of(progress.steps.begin(), progress.steps.end(),
                     [](const std::vector<TaskProgress>& step) {
                       return std::any_of(
                           step.begin(), step.end(),
                           [](const TaskProgress& it) { return it.run > 0; });
                     });
}

bool StepDone(const Progress& progress, int step) {
  const auto& tasks = progress.steps.at(static_cast<std::size_t>(step));
  return std::all_of(tasks.begin(), tasks.end(), [](const TaskProgress& it) {
    return it.phase == TaskPhase::kDone;
  });
}

bool StepReady(const Job& job, const Progress& progress, int step) {
  const auto& needed = job.steps.at(static_cast<std::size_t>(step)).depends_on;
  return std::all_of(needed.begin(), needed.end(),
                     [&](int it) { return StepDone(progress, it); });
}

}  // namespace shallotlug::workload
