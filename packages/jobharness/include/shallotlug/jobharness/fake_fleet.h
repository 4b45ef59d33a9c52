#ifndef SHALLOTLUG_JOBHARNESS_FAKE_FLEET_H_
#define SHALLOTLUG_JOBHARNESS_FAKE_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "shallotlug/executor/worker_calls.h"
#include "shallotlug/jobharness/job_oracle.h"
#include "shallotlug/protocol/sync.h"

namespace shallotlug::jobharness {

/// @brief One worker of a FakeFleet, as it is set up.
struct FakeWorkerSetup {
  std::string rack;
  workload::Resources capacity;
  double clock_rate = 1;        ///< Of its clock to the simulated one.
  Millis longest_lease{5'500};  ///< A longer lease is shortened to this.
  std::size_t ends_per_page = 500;
  double time_factor = 1;  ///< Time that it takes for a task of 1 s, in s.
};

/// @brief Stand-in for a fleet of workers, as a state machine: starts, stops,
/// leases on each worker's own clock, ends that are listed until they are
/// noted, gangs, checkpoints.
///
/// A task's payload says what it does: `MS` works so long, `MS!N` fails in its
/// first N runs, `MS*` crashes its worker just after its start, `MS+`
/// saves checkpoints as it works, and takes up to half a second longer by its
/// index.
class FakeFleet {
 public:
  explicit FakeFleet(JobOracle& oracle);

  void Add(const std::string& machine,
           const FakeWorkerSetup& setup,
           TimePoint now);
  /// @brief The worker crashes; a new life begins at once, under the same id.
  void Restart(const std::string& machine, TimePoint now);

  /// @brief The wall clock of the machine is set; later lives are dated by it.
  void StepWallClock(const std::string& machine, Millis step);

  /// @brief Whether the worker has crashed and has not started again yet.
  bool IsDown(const std::string& machine) const;

  /// @brief The state that the worker of a machine reports in its heartbeats.
  workload::WorkerFacts Facts(const std::string& machine) const;
  std::uint64_t NextSequence(const std::string& machine);

  executor::OrderResult Start(const std::string& machine,
                              const executor::OrderContext& context,
                              const protocol::StartOrder& order,
                              TimePoint now);
  executor::OrderResult Stop(const std::string& machine,
                             const executor::OrderContext& context,
                             const workload::RunRef& run,
                             TimePoint now);
  executor::WorkerView Look(const std::string& machine,
                            const executor::OrderContext& context,
                            std::uint64_t noted_ends,
                            TimePoint now);

  /// @brief Advances the tasks, expires leases and carries out stops.
  void Advance(TimePoint now);

  /// @brief Declares a step of a job as a gang of this size.
  void AddGang(const JobId& job, int step, int size);

 private:
  struct Run {
    int number = 0;
    Millis work{0};
    Millis done{0};
    int failing_runs = 0;
    bool deadly = false;
    bool saves = false;
    bool stopping = false;
    TimePoint stop_at{};
    TimePoint placed_at{};
    workload::Resources need;
    std::string checkpoint;
  };
  using WorkerTime = executor::WorkerTime;
  struct Worker {
    FakeWorkerSetup setup;
    workload::WorkerFacts facts;
    std::uint64_t sequence = 0;
    std::uint64_t epoch = 0;
    TimePoint born{};
    std::optional<TimePoint> down_until;
    WorkerTime lease_until{};
    std::map<workload::TaskRef, Run> runs;
    std::map<workload::TaskRef, int> highest;  ///< Run that ended there.
    std::vector<workload::RunEnd> ends;
    std::uint64_t next_end = 1;
    bool lapsed = false;  ///< Its lease is over now.
    /// Ends up to this number were listed when the lease lapsed.
    std::uint64_t ends_before_lapse = 0;
  };

  WorkerTime Clock(const Worker& worker, TimePoint now) const;
  bool Fenced(Worker& worker, std::uint64_t epoch) const;
  void Extend(Worker& worker,
              const executor::OrderContext& context,
              TimePoint now) const;
  void End(const std::string& machine,
           const workload::TaskRef& task,
           workload::EndReason reason);
  void Crash(const std::string& machine, TimePoint now);
  bool GangPresent(const workload::TaskRef& task, int run) const;
  void Work(const std::string& machine, Millis elapsed, TimePoint now);

  JobOracle& oracle_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, Millis> wall_steps_;
  std::map<std::pair<JobId, int>, int> gangs_;
  TimePoint advanced_to_{};
};

}  // namespace shallotlug::jobharness

#endif  // SHALLOTLUG_JOBHARNESS_FAKE_FLEET_H_
