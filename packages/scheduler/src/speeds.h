#ifndef SHALLOTLUG_SCHEDULER_SRC_SPEEDS_H_
#define SHALLOTLUG_SCHEDULER_SRC_SPEEDS_H_

#include <compare>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/protocol/sync.h"
#include "shallotlug/workload/job.h"
#include "shallotlug/workload/worker.h"

/// Learns how fast each worker is from the progress of its runs.
///
/// The factor of a worker is the time that it takes for a task, relative to a
/// worker of factor 1. Factors are kept as natural logarithms. An estimate is
/// wrong by the same factor for all tasks of a step, so that tasks of one step
/// on several workers tell these workers apart however wrong it is.
namespace shallotlug::scheduler {

/// @brief A normally distributed belief; without weight nothing is known.
struct Belief {
  double mean = 0;
  double weight = 0;  ///< Inverse variance.
};

/// @brief One step of one occurrence of a job.
struct StepKey {
  JobId job;
  int occurrence = 0;
  int step = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const StepKey&) const = default;
};

inline StepKey StepKeyOf(const workload::TaskRef& task) {
  return {task.job, task.occurrence, task.step};
}

/// @brief What is known of the worker of one agent.
struct WorkerSpeed {
  workload::WorkerLife life;
  Belief former;                    ///< From steps that are over.
  std::map<StepKey, Belief> steps;  ///< From steps in progress.
  /// Sums over `former` and `steps`.
  double weighted_sum = 0;
  double weight = 0;
  /// Until then the worker counts as slower by `slowdown`, a logarithm.
  TimePoint slow_until{};
  double slowdown = 0;
  int logged_class = 0;  ///< Speed class in the last log line.
};

/// @brief Rate of one run: the logarithm of its progress, relative to its
/// estimate.
struct RunRate {
  AgentName agent;
  double log_rate = 0;
  double weight = 0;
};

/// @brief Rates of the runs of one step, by index and run number.
struct StepRates {
  std::map<std::pair<int, int>, RunRate> runs;
  TimePoint solved_at{};
};

struct SpeedTable {
  std::map<AgentName, WorkerSpeed> workers;
  std::map<StepKey, StepRates> steps;
  std::set<StepKey> changed;  ///< Steps with rates that are not solved yet.
};

/// @brief Progress of a run between two reads of its worker.
struct MeasuredProgress {
  double percent = 0;
  Millis over{0};
};

/// @brief Notes which life of its worker an agent reports, and adopts what an
/// earlier scheduler has learnt about it. Another life may be another machine,
/// of which nothing is known.
void NoteLife(SpeedTable& table,
              const AgentName& agent,
              const workload::WorkerLife& life,
              const protocol::SpeedNote& note);

/// @brief Notes the progress of a run since its start; replaces what was noted
/// of it before.
void NoteProgress(SpeedTable& table,
                  const workload::RunRef& run,
                  const AgentName& agent,
                  Millis estimate,
                  const MeasuredProgress& progress);

/// @brief Notes that a worker is slower than before by the factor whose
/// logarithm is `slowdown`. Forgotten after `until` unless it is noted again.
void NoteSlowdown(SpeedTable& table,
                  const AgentName& agent,
                  double slowdown,
                  TimePoint until);

/// @brief Notes that the worker is as fast as before.
void EndSlowdown(SpeedTable& table, const AgentName& agent);

/// @brief Keeps what the runs of an occurrence have told, and drops their
/// rates.
void DropOccurrence(SpeedTable& table, const JobId& job, int occurrence);

/// @brief Drops what is known of an agent's worker.
void DropWorker(SpeedTable& table, const AgentName& agent);

/// @brief Derives the beliefs from the rates noted since the last call.
/// @return Whether any belief may have changed.
bool UpdateSpeeds(SpeedTable& table, TimePoint now);

/// @brief What a successor should know of a worker: the belief from steps that
/// are over, without the prior. Steps in progress are measured again.
Belief NoteOf(const SpeedTable& table, const AgentName& agent);

/// @brief Logarithm of the time factor to plan with, including a present
/// slowdown.
double LogFactor(const WorkerSpeed& worker, TimePoint now);
/// @brief The same; 0 for an unknown worker.
double LogFactor(const SpeedTable& table,
                 const AgentName& agent,
                 TimePoint now);

/// @brief Workers of the same class differ too little to be told apart.
/// @return 0 for a worker within 15 % of a usual one, less for a faster one.
int SpeedClass(double log_factor);

/// @brief Text for logs, with two decimals.
std::string FactorText(double factor);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_SPEEDS_H_
