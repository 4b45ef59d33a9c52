#include "rates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace shallotlug::scheduler {

using workload::TaskRef;

namespace {

// A rate is measured over at least this progress, as progress is reported in
// whole percent.
constexpr int kMinPercent = 5;
// A worker is slowed down when a run that has a rate advances by less than this
// share of what its rate promises.
constexpr double kSlowedShare = 0.5;
// Such slowdowns last for seconds; the run tells if it goes on.
constexpr Millis kSlowdownTime{3'000};
// A run that has come to its end waits there for the other members of its gang.
constexpr int kAllPercent = 100;

/// @brief When the work of a run began: all members of a gang must have been
/// started. Zero if that is unknown.
TimePoint BegunAt(const State& state, const TaskRef& task, const RunRow& run) {
  const OccurrenceRow& row = state.occurrences.at(KeyOf(task));
  const workload::Step& step = StepOf(row, task.step);
  if (!step.gang) {
    return run.started_at;
  }
  TimePoint latest{};
  int members = 0;
  for (const auto& [member, it] :
       state.runs.OfStep(task.job, task.occurrence, task.step)) {
    if (it.started_at == TimePoint{} || it.run != run.run) {
      return {};
    }
    latest = std::max(latest, it.started_at);
    ++members;
  }
  return members == step.count ? latest : TimePoint{};
}

ProgressRead FirstRead(const State& state,
                       const TaskRef& task,
                       const RunRow& run,
                       const ProgressRead& read) {
  // Progress that a checkpoint has brought says nothing about the worker.
  const TimePoint begun = run.resumed ? TimePoint{} : BegunAt(state, task, run);
  return begun != TimePoint{} && begun < read.at ? ProgressRead{begun, 0}
                                                 : read;
}

double Rate(const ProgressRead& from, const ProgressRead& to) {
  const Millis over = to.at - from.at;
  return over > Millis{0}
             ? (to.percent - from.percent) / static_cast<double>(over.count())
             : 0;
}

/// @brief Whether the run's latest progress is part of its rate from now on. It
/// waits until enough of it has come together, and is left out while the worker
/// is slowed down.
bool ExtendRate(State& state, RunRow& run, const ProgressRead& read) {
  const int before = run.measured_to.percent - run.measured_from.percent;
  if (before < kMinPercent) {
    return read.percent - run.measured_from.percent >= kMinPercent;
  }
  const Millis passed = read.at - run.measured_to.at;
  const int gained = read.percent - run.measured_to.percent;
  const double expected = Rate(run.measured_from, run.measured_to) *
                          static_cast<double>(passed.count());
  if (expected < kMinPercent) {
    return false;
  }
  if (gained >= kSlowedShare * expected) {
    EndSlowdown(state.speeds, run.on.agent);
    return true;
  }
  run.measured_from.at += passed;
  run.measured_from.percent += gained;
  run.measured_to = read;
  NoteSlowdown(state.speeds, run.on.agent,
               std::log(expected / std::max(gained, 1)),
               read.at + std::max(kSlowdownTime, 2 * passed));
  return false;
}

}  // namespace

void MeasureRate(State& state,
                 const protocol::RunReport& report,
                 RunRow& run,
                 const ReadTimes& times) {
  const TaskRef& task = report.active.run.task;
  const OccurrenceRow* row = FindOccurrence(state, task);
  if (!state.options.learn_speeds || row == nullptr ||
      !state.open.contains(KeyOf(task)) || StepOf(*row, task.step).lasting ||
      report.phase != protocol::RunPhase::kRunning) {
    return;
  }
  if (run.started_at == TimePoint{}) {
    run.started_at = times.StartOf(report);
  }
  const ProgressRead read{times.ReadAt(), report.active.percent};
  if (read.percent <= 0 || read.percent >= kAllPercent) {
    return;
  }
  if (run.measured_from.at == TimePoint{}) {
    run.measured_from = FirstRead(state, task, run, read);
    run.measured_to = run.measured_from;
  }
  if (read.at <= run.measured_to.at || !ExtendRate(state, run, read)) {
    return;
  }
  run.measured_to = read;
  NoteProgress(state.speeds, report.active.run, run.on.agent,
               StepOf(*row, task.step).estimate,
               {static_cast<double>(read.percent - run.measured_from.percent),
                read.at - run.measured_from.at});
}

void LearnSpeeds(State& state, TimePoint now) {
  if (!state.options.learn_speeds || !UpdateSpeeds(state.speeds, now)) {
    return;
  }
  state.fastest_factor = 1;
  for (auto& [agent, worker] : state.speeds.workers) {
    const double log_factor = LogFactor(worker, now);
    state.fastest_factor = std::min(state.fastest_factor, std::exp(log_factor));
    const int speed_class = SpeedClass(log_factor);
    if (std::exchange(worker.logged_class, speed_class) != speed_class) {
      Log(state, "worker_speed",
          {{"agent", agent.value},
           {"worker", worker.life.id},
           {"time_factor", FactorText(std::exp(log_factor))},
           {"evidence", FactorText(worker.weight)},
           {"slowed_down", now < worker.slow_until ? "true" : "false"}});
    }
  }
}

}  // namespace shallotlug::scheduler
