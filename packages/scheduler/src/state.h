#ifndef SHALLOTLUG_SCHEDULER_SRC_STATE_H_
#define SHALLOTLUG_SCHEDULER_SRC_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "run_table.h"
#include "shallotlug/scheduler/scheduler.h"
#include "speeds.h"

/// State tables of the scheduler, and the planning passes that update them.
namespace shallotlug::scheduler {

struct OccurrenceKey {
  JobId job;
  int number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const OccurrenceKey&) const = default;
};

/// @brief Tasks of a ready step that wait for placement.
struct WaitingStep {
  int step = 0;
  std::vector<int> tasks;  ///< Indices; of a gang all or none.
};

/// @brief One occurrence of a job, with its planned progress. The durable
/// progress may be one batch behind.
struct OccurrenceRow {
  std::shared_ptr<const workload::Job> job;
  workload::Progress progress;
  workload::WallTime due{};
  bool cancelled = false;
  TimePoint final_at{};  ///< When its outcome was decided or replayed.
  TimePoint known_at{};  ///< When this scheduler heard of it.
  /// From its due time to `known_at`, by the clocks of two processes.
  Millis known_after{0};
  TimePoint wait_logged_at{};  ///< When the reason of its wait was last logged.
  /// Hashes of the parts that were planned last, by their key.
  std::map<std::string, std::size_t> planned_parts;
  bool checkpoints_left_out = false;  ///< Of a part that they make too large.
  /// Its record was refused by the store, and is not sent before this time.
  TimePoint refused_until{};
  bool begun = false;  ///< All tasks of one of its steps have run at once.
  // Derived when the occurrence or the policy changes.
  workload::Terms terms;  ///< In force.
  /// Time from `due` to the end of the time that earns full credit.
  Millis objective_span{0};
  std::vector<WaitingStep> waiting;
};

/// @brief The occurrences of a repeated job that have no rows yet.
struct Upcoming {
  std::shared_ptr<const workload::Job> job;
  std::int64_t tasks = 0;  ///< Of one occurrence.
  int next = 0;            ///< All before it have rows.
  std::int64_t open = 0;   ///< Rows without a final outcome.
};

struct Batch;

/// @brief Failures of a worker, and how long it gets no new runs for them.
struct Avoidance {
  int failures_in_a_row = 0;  ///< Of different jobs, without a success.
  JobId last_failed_job;
  Millis length{0};   ///< 0: the worker is not avoided.
  TimePoint since{};  ///< When the last fault was reported.
  TimePoint until{};  ///< A trial is due then.
};

/// @brief One agent and its worker.
struct AgentRow {
  workload::AgentAddress address;
  TimePoint added_at{};  ///< When it was added to this scheduler.
  protocol::WorkerState worker_state = protocol::WorkerState::kUnknown;
  workload::WorkerFacts worker;
  int rack = 0;  ///< Number of the worker's rack.
  TimePoint draining_since{};
  bool heard = false;
  TimePoint heard_at{};
  ClockReading clock;  ///< In the reply at `heard_at`.
  std::uint64_t version = 0;
  /// No run is left on the worker after this, unless its lease is extended.
  TimePoint lease_expiry{};
  /// Its worker has not listed all ends yet: runs that it does not report may
  /// have ended.
  bool more_ends = false;
  std::uint64_t processed_ends = 0;  ///< Applied to the plan.
  std::uint64_t noted_ends = 0;      ///< Durable.
  std::uint64_t noted_sent = 0;
  TimePoint noted_at{};  ///< When `noted_ends` last passed `noted_sent`.
  std::vector<workload::RunRef> settled;  ///< Recorded, to be acknowledged.
  /// Runs with reported crashes, refusals or ends in former lives, that no
  /// batch contains yet.
  std::set<workload::RunRef> unsettled;
  /// Occurrences whose records must be durable before its ends, crashes and
  /// refusals are acknowledged.
  std::set<OccurrenceKey> awaited;
  /// Reported runs whose task is unknown, or whose run number or agent is not
  /// the one in `runs`.
  std::vector<workload::RunRef> orphans;
  Avoidance avoidance;
};

/// @brief Resources held for a blocked unit until the preempted runs have
/// ended.
struct Reservation {
  std::vector<AgentName> workers;  ///< One for each task of the unit.
  workload::Resources need;        ///< Resources per task.
  TimePoint made_at{};
};

/// @brief Identifies tasks that start together: a gang, or one task.
struct UnitKey {
  OccurrenceKey occurrence;
  int step = 0;
  int index = -1;  ///< -1: all tasks of the step.

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const UnitKey&) const = default;
};

/// @brief A worker on which one job is tried without others.
struct Isolation {
  JobId job;
  TimePoint until{};
  bool occupied =
      false;  ///< The job is there; else it waits for others to end.
};

/// @brief Wait of a gang for a rack, from when it could first be spread.
struct RackWait {
  TimePoint since{};
  TimePoint until{};  ///< When it is weighed again.
  /// When a rack was expected, at the first look at a pool that was not busy.
  std::optional<TimePoint> expected_by;
  bool spread = false;  ///< It may be spread over racks.
};

/// @brief Demand of urgent work, running or waiting, in accelerators.
struct UrgentDemand {
  std::int64_t running = 0;
  std::int64_t peak =
      0;  ///< Maximum of running plus waiting, in the last 10 min.
  TimePoint peak_at{};
  TimePoint known_since{};  ///< When the first plan was made.
};

struct State {
  SchedulerOptions options;
  std::map<OccurrenceKey, OccurrenceRow> occurrences;
  std::map<JobId, Upcoming> upcoming;
  std::set<OccurrenceKey> open;  ///< Those without a final outcome.
  RunTable runs;
  std::map<AgentName, AgentRow> agents;
  std::uint64_t agents_version = 1;  ///< Raised when an address changes.
  std::map<std::string, int> racks;  ///< Numbers of the racks seen so far.
  /// Changed since their outcomes and waiting tasks were last derived.
  std::set<OccurrenceKey> changed;
  /// Progress has changed, and no batch contains it yet.
  std::set<OccurrenceKey> unrecorded;
  /// Those of them for which a start or an acknowledgement waits.
  std::set<OccurrenceKey> awaited;
  /// The records that did not fit into the last batch go first.
  std::optional<OccurrenceKey> record_first;
  TimePoint backlog_logged_at{};
  /// Those with waiting tasks.
  std::set<OccurrenceKey> waiting;
  /// Urgent ones within their customers' guarantees.
  std::set<OccurrenceKey> guaranteed;
  bool guarantees_outdated = true;
  std::int64_t policy_version = -1;  ///< Of the derived terms.
  int lowest_priority = 0;           ///< The highest number of all queues.
  bool placement_held = false;
  /// A unit may fit since the last placement.
  bool placement_outdated = true;
  TimePoint placed_at{};
  TimePoint cleaned_at{};  ///< When old rows were last removed.
  /// Agents for which orders or acknowledgements may be due.
  std::set<AgentName> news;
  /// Agents with ends that no batch acknowledges yet.
  std::set<AgentName> unnoted;
  std::set<AgentName> unsettled;  ///< Agents with unsettled runs.
  std::map<UnitKey, Reservation> reservations;
  /// Batch units kept off the reserved workers of a pool that is not busy, and
  /// since when.
  std::map<UnitKey, TimePoint> reserve_wait_since;
  std::map<AgentName, Isolation> isolations;
  /// Suspects that wait for a worker without other jobs, and since when.
  std::map<UnitKey, TimePoint> isolation_wait_since;
  /// When no runs were found that make room for an urgent unit.
  std::map<UnitKey, TimePoint> preemption_failed_at;
  /// Urgent units that wait for workers fast enough for their objectives, and
  /// since when.
  std::map<UnitKey, TimePoint> speed_wait_since;
  std::map<UnitKey, RackWait> rack_waits;
  /// Units that wait for workers that are not avoided and on which none of
  /// their tasks has failed, and since when.
  std::map<UnitKey, TimePoint> other_worker_wait_since;
  UrgentDemand urgent;
  /// Workers on which a task has failed or that it may have crashed, and when
  /// it failed there last; its next run goes elsewhere.
  std::map<workload::TaskRef, std::map<AgentName, TimePoint>> failed_on;
  SpeedTable speeds;
  double fastest_factor = 1;  ///< Time factor of the fastest worker.
  TimePoint authority_confirmed{};
  std::vector<LogLine> log;
};

inline OccurrenceKey KeyOf(const workload::TaskRef& task) {
  return {task.job, task.occurrence};
}

/// @brief Returns the row of a task's occurrence, or null if the task does not
/// exist.
OccurrenceRow* FindOccurrence(State& state, const workload::TaskRef& task);

/// @brief Notes that the occurrence or one of its runs has changed, so that the
/// next plan looks at it again.
void MarkChanged(State& state, const OccurrenceKey& key);

/// @brief As MarkChanged(), for a change that the next batch records.
void MarkUnrecorded(State& state, const OccurrenceKey& key);

/// @brief What the agent has reported of the occurrence is acknowledged only
/// when the occurrence's record is durable.
void AwaitRecord(State& state, AgentRow& agent, const OccurrenceKey& key);

/// @brief Removes a run, so that its task and its worker are looked at again.
void EraseRun(State& state, const workload::TaskRef& task);

/// @brief The progress of a task; its occurrence must be `row`.
workload::TaskProgress& ProgressOf(OccurrenceRow& row,
                                   const workload::TaskRef& task);

const workload::Step& StepOf(const OccurrenceRow& row, int step);

/// @brief The tasks affected by the end of a task's run: its gang, or itself.
std::vector<workload::TaskRef> GangOf(const OccurrenceRow& row,
                                      const workload::TaskRef& task);

void Log(State& state, std::string event, std::vector<Label> fields);

/// @brief Latest end of a lease granted at `from`, including clock drift and
/// the time to stop the runs.
TimePoint LeaseExpiry(const SchedulerOptions& options,
                      TimePoint from,
                      Millis lease);

/// @brief Label with the age of `at`, in ms.
Label Age(std::string name, TimePoint at, TimePoint now);

// Planning passes.

/// @brief Abandons the runs of workers whose lease has certainly expired.
void ExpireLeases(State& state, TimePoint now);

/// @brief Applies an agent's report.
/// @param known The incarnation that its request was made for.
void ApplyReply(State& state,
                const AgentName& agent,
                Incarnation known,
                const protocol::SyncReply& reply,
                TimePoint now);

/// @brief Derives the terms in force of all open occurrences if the policy has
/// changed.
void ApplyPolicy(State& state, const workload::Policy& policy);

/// @brief Decides the outcomes and derives the waiting tasks of the changed
/// occurrences, and requests the stop of runs that are no longer needed.
void DecideOutcomes(State& state,
                    const workload::Policy& policy,
                    TimePoint now);

/// @brief Stops runs on draining workers that leave before the runs would
/// finish, so that they continue elsewhere: checkpointed runs, and those that
/// would need the worker for much longer than it stays.
void EvictFromDrainingWorkers(State& state, TimePoint now);

/// @brief Whether old rows should be removed now; at most once a second.
bool CleanupIsDue(State& state, TimePoint now);

/// @brief Removes jobs whose state retention has passed, and adds the records
/// that remove them from the log; as many jobs as the batch has room for.
void DropOldJobs(State& state, Batch& batch, TimePoint now);

/// @brief Removes agents without contact for `agent_retention`, as many as the
/// batch has room for; one that is alive publishes its address again.
void DropLostAgents(State& state, Batch& batch, TimePoint now);

/// @brief Avoids workers whose runs make no progress although their agents
/// report, and stops those runs that lose little.
void EvictFromStalledWorkers(State& state, TimePoint now);

/// @brief Requests the stop of a run; no effect if it was requested before.
void RequestStop(State& state,
                 const workload::TaskRef& task,
                 RunRow& run,
                 const char* why,
                 TimePoint now);

/// @brief Places waiting units in priority order, and preempts runs for urgent
/// units that do not fit.
void PlaceUnits(State& state, const workload::Policy& policy, Now now);

/// @brief Removes a run for which no end was reported; its task waits again.
void AbandonRun(State& state,
                const workload::TaskRef& task,
                const std::string& reason,
                TimePoint now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_STATE_H_
