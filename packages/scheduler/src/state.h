#ifndef SHALLOTLUG_SCHEDULER_SRC_STATE_H_
#define SHALLOTLUG_SCHEDULER_SRC_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "shallotlug/scheduler/scheduler.h"

/// Tables of the scheduler, and the systems that run over them.
namespace shallotlug::scheduler {

struct OccurrenceKey {
  JobId job;
  int number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const OccurrenceKey&) const = default;
};

/// @brief One occurrence of a job, with the progress as planned. What is
/// durable may be one batch behind.
struct OccurrenceRow {
  std::shared_ptr<const workload::Job> job;
  workload::Progress progress;
  workload::WallTime due{};
  bool cancelled = false;
  bool dirty = false;    ///< Progress has changed since the last batch.
  TimePoint final_at{};  ///< When its outcome was decided or taken over.
};

enum class RunState {
  kPlanned,   ///< Its record is not durable yet; nothing was ordered.
  kOrdered,   ///< May be on the worker.
  kStarting,  ///< The agent has the order.
  kRunning,
};

/// @brief A run that may exist on a worker.
struct RunRow {
  int run = 0;
  workload::Placement on;
  workload::Resources need;
  RunState state = RunState::kPlanned;
  bool stop_wanted = false;
  TimePoint order_sent{};
  bool ordered_before = false;
  TimePoint stop_sent{};
  TimePoint placed_at{};
  TimePoint running_since{};
  std::string checkpoint;
  int percent = 0;
  TimePoint advanced_at{};  ///< When its progress was last seen to rise.
};

/// @brief One agent and its worker.
struct AgentRow {
  workload::AgentAddress address;
  TimePoint added_at{};  ///< When this scheduler learnt of it.
  protocol::WorkerState worker_state = protocol::WorkerState::kUnknown;
  workload::WorkerFacts worker;
  Incarnation incarnation{};
  TimePoint draining_since{};
  bool heard = false;
  TimePoint heard_at{};
  PeerTime clock{};  ///< The agent's clock, in the reply at `heard_at`.
  std::uint64_t version = 0;
  /// Nothing runs on the worker after this, unless its lease is extended.
  TimePoint lease_bound{};
  std::uint64_t processed_ends = 0;  ///< Taken into the plan.
  std::uint64_t noted_ends = 0;      ///< Durable.
  std::uint64_t noted_sent = 0;
  std::vector<workload::RunRef> settled;  ///< Refusals to be forgotten.
  std::vector<workload::RunRef> orphans;  ///< Runs that nothing asked for.
  int failures_in_a_row = 0;  ///< Of different jobs, without a success.
  JobId last_failed_job;
  TimePoint avoid_until{};
  Millis last_avoidance{0};
};

/// @brief Space that a blocked unit will take when what is stopped has ended.
struct Claim {
  std::vector<AgentName> workers;  ///< One for each task of the unit.
  workload::Resources need;        ///< Of each task.
  TimePoint made_at{};
};

/// @brief Names tasks that start together: a gang, or one task.
struct UnitKey {
  OccurrenceKey occurrence;
  int step = 0;
  int index = -1;  ///< -1: all tasks of the step.

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const UnitKey&) const = default;
};

/// @brief Accelerators that urgent work asks for, running or waiting.
struct UrgentDemand {
  std::int64_t running = 0;
  std::int64_t peak = 0;  ///< Of both, in the last minutes.
  TimePoint peak_at{};
  TimePoint known_since{};  ///< When the first plan was made.
};

struct State {
  SchedulerOptions options;
  std::map<OccurrenceKey, OccurrenceRow> occurrences;
  std::set<OccurrenceKey> open;  ///< Those without a final outcome.
  std::map<workload::TaskRef, RunRow> runs;
  std::map<AgentName, AgentRow> agents;
  std::map<UnitKey, Claim> claims;
  /// Batch units that leave room to urgent jobs in a pool that is not busy.
  std::map<UnitKey, TimePoint> held_since;
  UrgentDemand urgent;
  /// Workers on which a task has failed; its next run goes elsewhere.
  std::map<workload::TaskRef, std::set<AgentName>> failed_on;
  /// Newest run of each gang that was counted as failed, by its first task.
  std::map<workload::TaskRef, int> counted_gang_failures;
  TimePoint authority_confirmed{};
  std::vector<LogLine> log;
};

inline OccurrenceKey KeyOf(const workload::TaskRef& task) {
  return {task.job, task.occurrence};
}

/// @brief The row of a task's occurrence, or null.
OccurrenceRow* FindOccurrence(State& state, const workload::TaskRef& task);

/// @brief The progress of a task; its occurrence must be `row`.
workload::TaskProgress& ProgressOf(OccurrenceRow& row,
                                   const workload::TaskRef& task);

const workload::Step& StepOf(const OccurrenceRow& row, int step);

/// @brief The tasks that a run's end concerns: its gang, or itself.
std::vector<workload::TaskRef> GangOf(const OccurrenceRow& row,
                                      const workload::TaskRef& task);

void Log(State& state, std::string event, std::vector<Label> fields);

/// @brief When a lease that runs from `from` is over for certain, clock drift
/// and the time to stop included.
TimePoint LeaseBound(const SchedulerOptions& options, TimePoint from);

/// @brief Label with the age of `at`, in ms.
Label Age(std::string name, TimePoint at, TimePoint now);

// Systems, in the order in which they run.

/// @brief Ends the runs of workers whose lease has lapsed for certain.
void ExpireLeases(State& state, TimePoint now);

/// @brief Takes in what an agent reports.
void TakeReply(State& state,
               const AgentName& agent,
               const protocol::SyncReply& reply,
               TimePoint now);

/// @brief Decides outcomes, and asks for the stop of what is not wanted.
void DecideOutcomes(State& state,
                    const workload::Policy& policy,
                    TimePoint now);

/// @brief Moves work that saves its progress off workers that leave before it
/// would be done.
void LeaveDrainingWorkers(State& state, TimePoint now);

/// @brief Forgets jobs whose state need not be told any more.
/// @return Records that drop them from the log.
std::vector<workload::RawRecord> DropOldJobs(State& state, TimePoint now);

/// @brief Forgets agents that cannot be reached any more; one that lives states
/// its address again.
/// @return Records that drop them from the log.
std::vector<workload::RawRecord> DropLostAgents(State& state, TimePoint now);

/// @brief Leaves workers on which work stands still, although they are heard.
void LeaveStalledWorkers(State& state, TimePoint now);

/// @brief Gives a worker no new work for a time, which doubles when it was
/// avoided shortly before.
void Avoid(State& state, AgentRow& agent, const char* why, TimePoint now);

/// @brief Asks for the stop of a run; nothing when that was asked before.
void WantStop(State& state,
              const workload::TaskRef& task,
              RunRow& run,
              const char* why,
              TimePoint now);

/// @brief Places the tasks whose turn has come, and picks what must yield.
void PlaceUnits(State& state, const workload::Policy& policy, Now now);

/// @brief Marks a run as over without an end of its own: the task waits again.
void ForgetRun(State& state,
               const workload::TaskRef& task,
               const std::string& reason,
               TimePoint now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_STATE_H_
