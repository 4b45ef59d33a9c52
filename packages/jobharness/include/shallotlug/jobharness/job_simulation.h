#ifndef SHALLOTLUG_JOBHARNESS_JOB_SIMULATION_H_
#define SHALLOTLUG_JOBHARNESS_JOB_SIMULATION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "shallotlug/jobharness/fake_fleet.h"
#include "shallotlug/jobharness/fake_store.h"
#include "shallotlug/jobharness/job_oracle.h"
#include "shallotlug/workload/ledger.h"
#include "shallotlug/workload/policy.h"

namespace shallotlug::jobharness {

struct JobSimulationOptions {
  std::uint64_t seed = 1;
  int entries = 3;
  int agents = 4;
  workload::Resources worker{64'000, 64'000, 4};
  joblog::StoreLimits store{};  ///< Known to the schedulers.
  /// Ends that a worker lists at once.
  std::size_t ends_per_page = 500;
  /// Share of the orders to workers without an answer; they are carried out
  /// up to `late_by` later.
  double lost_orders = 0;
  Millis late_by{3'000};
  /// Share of the store's answers that are lost; half of these appends are
  /// carried out.
  double lost_appends = 0;
  /// Share of the workers' answers that take up to the call's timeout, so that
  /// they overtake each other.
  double slow_answers = 0;
  /// Whether a call without an answer may be carried out by a later life of the
  /// worker, which has the same id.
  bool late_calls_reach_new_lives = false;
  /// Agents' clocks run at 0.98 to 1.02, workers' clocks at 0.98 to 1 of the
  /// simulated time.
  bool clocks_drift = false;
  bool trace = false;  ///< Prints the processes' log to standard error.
};

/// @brief Discrete-event simulation of entries and agents against FakeStore and
/// FakeFleet. The real state machines run in one thread on a simulated clock;
/// calls between them take a few milliseconds, drawn from the seed.
class JobSimulation {
 public:
  explicit JobSimulation(const JobSimulationOptions& options);
  ~JobSimulation();
  JobSimulation(const JobSimulation&) = delete;
  JobSimulation& operator=(const JobSimulation&) = delete;

  /// @brief Advances the simulated clock.
  void Run(Millis time);

  /// @brief Submits a job, and retries until it is accepted.
  void Submit(const workload::Job& job);
  void Cancel(const JobId& job);

  void KillEntry(int entry);
  void StartEntry(int entry);
  /// @brief A frozen entry does nothing; messages to it are queued.
  void FreezeEntry(int entry, bool frozen);
  void KillAgent(int agent);
  void StartAgent(int agent);
  /// @brief A frozen agent does nothing; requests and answers to it are queued.
  /// Calls that have timed out meanwhile may be taken for unanswered.
  void FreezeAgent(int agent, bool frozen);
  /// @brief The agent's machine loses power and starts again. Its clock, which
  /// has begun anew, differs by `clock_step` from what it would have shown.
  void RebootAgent(int agent, Millis clock_step);
  /// @brief Partitions the agent from the entries, or ends that.
  void PartitionAgent(int agent, bool partitioned);
  /// @brief Partitions the agent from its worker, or ends that.
  void PartitionWorker(int agent, bool partitioned);
  void RestartWorker(int agent);
  /// @brief The worker reports that it is draining.
  void DrainWorker(int agent);
  /// @brief The entry resigns from the scheduler role, as at a shutdown.
  void RetireEntry(int entry);

  /// @brief The entry that is the scheduler; -1 when there is none.
  int Scheduler() const;
  /// @brief Sets the shares of lost answers from workers and from the store.
  void SetLosses(double orders, double appends);

  FakeStore& Store();
  FakeFleet& Fleet();
  JobOracle& Oracle();
  workload::Policy& Policy();
  /// @brief The state of a job as the entry shows it that has read the log
  /// last.
  std::string Shown(const JobId& job) const;
  TimePoint Now() const;

  /// @brief Ends all faults, runs for `settle`, and checks the promises.
  /// @return The violations, one a line; empty if there are none.
  std::string Finish(Millis settle);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// @brief A job of one step for tests; `payload` is that of FakeFleet.
workload::Job MakeJob(const std::string& id,
                      int tasks,
                      const std::string& payload);

}  // namespace shallotlug::jobharness

#endif  // SHALLOTLUG_JOBHARNESS_JOB_SIMULATION_H_
