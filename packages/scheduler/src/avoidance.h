#ifndef SHALLOTLUG_SCHEDULER_SRC_AVOIDANCE_H_
#define SHALLOTLUG_SCHEDULER_SRC_AVOIDANCE_H_

#include "state.h"

/// Workers that fail what they start. Such a worker gets no new runs for a
/// time, then one as a trial. Work that no other worker can take goes to it
/// earlier, each time after a pause.
namespace shallotlug::scheduler {

/// @brief Which new runs a worker gets.
enum class Trust {
  kFull,
  kTrial,       ///< One, which tells whether it is sound again.
  kLastResort,  ///< One of each job that no other worker can take.
  kNone,
};

const char* Name(Trust trust);

Trust TrustIn(const State& state, const AgentRow& agent, TimePoint now);

/// @brief Whether a task that has failed on the worker should wait before it is
/// tried there again.
bool IsPaused(const State& state,
              const workload::TaskRef& task,
              const AgentName& agent,
              TimePoint now);

/// @brief Places no new runs on a worker for a back-off time, which doubles
/// with each trial that fails, until a success or a restart of the worker
/// resets it.
/// @param placed_at Of the run that shows the fault. Runs from before the
/// present back-off show nothing new.
void AvoidWorker(State& state,
                 AgentRow& agent,
                 const char* why,
                 TimePoint placed_at,
                 TimePoint now);

/// @brief Counts the failed run of a task. The worker is avoided after failures
/// of several jobs in a row, or after one of a trial.
void CountFailure(State& state,
                  AgentRow& agent,
                  const workload::TaskRef& task,
                  TimePoint placed_at,
                  TimePoint now);

void CountSuccess(State& state, AgentRow& agent);

/// @brief Ends the back-off if the run was placed during it and works on for
/// longer than runs do on a worker that fails them.
void CountProgress(State& state,
                   AgentRow& agent,
                   const RunRow& run,
                   TimePoint now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_AVOIDANCE_H_
