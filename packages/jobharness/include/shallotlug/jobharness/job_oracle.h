#ifndef SHALLOTLUG_JOBHARNESS_JOB_ORACLE_H_
#define SHALLOTLUG_JOBHARNESS_JOB_ORACLE_H_

#include <map>
#include <string>
#include <vector>

#include "shallotlug/workload/worker.h"

namespace shallotlug::jobharness {

/// @brief Checks the events that the stand-ins have observed against the
/// promises made to callers, without access to the state of the system.
class JobOracle {
 public:
  /// @brief Members of a gang may time out waiting for the others, as with
  /// faults.
  void AllowIncompleteGangs() { incomplete_gangs_allowed_ = true; }

  /// @brief A caller's submission was answered with success.
  void OnAccepted(const workload::Job& job);
  /// @brief A caller was told that its job was not accepted.
  void OnRefused(const JobId& job);
  /// @brief A cancel was answered with success.
  void OnCancelled(const JobId& job, TimePoint now);
  /// @brief A caller has sent the job, whatever the answer.
  void OnSent(const workload::Job& job);

  void OnStarted(const std::string& worker,
                 const workload::RunRef& run,
                 const std::string& payload,
                 TimePoint now);
  void OnEnded(const std::string& worker,
               const workload::RunRef& run,
               workload::EndReason reason);
  /// @brief The worker has crashed; nothing of it runs.
  void OnWorkerCrashed(const std::string& worker);
  /// @brief The worker was told that this end is durable.
  void OnNoted(const workload::RunRef& run, workload::EndReason reason);
  void OnCapacity(const std::string& worker, const workload::Resources& free);
  /// @brief A caller was told a state.
  void OnShown(const JobId& job, const std::string& state, TimePoint now);

  /// @brief Checks that no task of a cancelled job is still there.
  /// @param calm_since When the last fault had been over for long enough that
  /// all parts of the system were in contact.
  void CheckCancelled(TimePoint calm_since, TimePoint now);

  /// @brief Checks that every accepted job has a final state.
  void Finish();

  const std::vector<std::string>& Violations() const { return violations_; }
  /// @brief Starts that were seen.
  int Starts() const { return starts_; }

 private:
  struct Task {
    std::map<std::string, int> running;  ///< Run by worker.
    bool done_noted = false;
    bool done = false;  ///< Some run has ended so, noted or not.
    int failures = 0;
    int failed_ends = 0;  ///< Noted or not.
    int crashes = 0;      ///< Of workers under it.
    int starts_after_crashes = 0;
    TimePoint started_at{};
    bool runs_on = false;  ///< Reported as such.
  };
  struct JobState {
    workload::Job job;
    bool accepted = false;
    bool refused = false;
    bool started = false;
    bool cancelled = false;
    TimePoint cancelled_at{};
    std::string shown;
  };

  void AddViolation(const std::string& rule, const workload::TaskRef& task);
  bool MayFail(const JobState& job) const;
  void CheckOrder(const JobState& job, const workload::TaskRef& task);
  bool StepDone(const JobState& job, int occurrence, int step) const;

  std::map<JobId, JobState> jobs_;
  std::map<workload::TaskRef, Task> tasks_;
  std::vector<std::string> violations_;
  bool incomplete_gangs_allowed_ = false;
  int starts_ = 0;
};

}  // namespace shallotlug::jobharness

#endif  // SHALLOTLUG_JOBHARNESS_JOB_ORACLE_H_
