#include "state.h"

namespace shallotlug::scheduler {

OccurrenceRow* FindOccurrence(State& state, const workload::TaskRef& task) {
  const auto it = state.occurrences.find(KeyOf(task));
  if (it == state.occurrences.end()) {
    return nullptr;
  }
  const auto& steps = it->second.progress.steps;
  const auto step = static_cast<std::size_t>(task.step);
  const bool exists = task.step >= 0 && step < steps.size() &&
                      task.index >= 0 &&
                      static_cast<std::size_t>(task.index) < steps[step].size();
  return exists ? &it->second : nullptr;
}

void MarkChanged(State& state, const OccurrenceKey& key) {
  state.changed.insert(key);
  state.placement_outdated = true;
}

void MarkUnrecorded(State& state, const OccurrenceKey& key) {
  state.unrecorded.insert(key);
  MarkChanged(state, key);
}

void AwaitRecord(State& state, AgentRow& agent, const OccurrenceKey& key) {
  agent.awaited.insert(key);
  state.awaited.insert(key);
}

void EraseRun(State& state, const workload::TaskRef& task) {
  // `task` may be a key of the table.
  const OccurrenceKey key = KeyOf(task);
  state.runs.Erase(task);
  MarkChanged(state, key);
}

workload::TaskProgress& ProgressOf(OccurrenceRow& row,
                                   const workload::TaskRef& task) {
  return row.progress.steps[static_cast<std::size_t>(task.step)]
                           [static_cast<std::size_t>(task.index)];
}

const workload::Step& StepOf(const OccurrenceRow& row, int step) {
  return row.job->steps[static_cast<std::size_t>(step)];
}

std::vector<workload::TaskRef> GangOf(const OccurrenceRow& row,
                                      const workload::TaskRef& task) {
  const workload::Step& step = StepOf(row, task.step);
  if (!step.gang) {
    return {task};
  }
  std::vector<workload::TaskRef> tasks(static_cast<std::size_t>(step.count),
                                       task);
  for (int n = 0; n < step.count; ++n) {
    tasks[static_cast<std::size_t>(n)].index = n;
  }
  return tasks;
}

void Log(State& state, std::string event, std::vector<Label> fields) {
  state.log.push_back({LogLevel::kInfo, std::move(event), std::move(fields)});
}

TimePoint LeaseExpiry(const SchedulerOptions& options,
                      TimePoint from,
                      Millis lease) {
  return from + lease + LeaseMargin(lease) + options.stop_timeout;
}

Label Age(std::string name, TimePoint at, TimePoint now) {
  return {std::move(name), std::to_string((now - at).count())};
}

}  // namespace shallotlug::scheduler
