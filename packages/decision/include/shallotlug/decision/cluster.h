#ifndef SHALLOTLUG_DECISION_CLUSTER_H_
#define SHALLOTLUG_DECISION_CLUSTER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "shallotlug/base/ids.h"
#include "shallotlug/base/work.h"

/// Tables of workers and of the work on them, as known to one planner.
namespace shallotlug::decision {

/// @brief Row number in the worker table; stable while the worker exists.
enum class WorkerIndex : std::uint32_t {};

/// @brief A worker as its agent announced it.
struct WorkerInfo {
  AgentName agent;
  DataCentreName data_centre;
  RackName rack;
  int accelerators = 8;
  int slots = 8;
};

/// @brief Accelerators of one worker.
struct Allocation {
  WorkerIndex worker{};
  AcceleratorMask mask = 0;

  bool operator==(const Allocation&) const = default;
};

/// @brief A job that occupies accelerators.
struct RunningJob {
  Attempt attempt;
  CustomerName customer;
  ClassName job_class;
  JobShape shape;
  bool repeatable = true;
  bool checkpointable = false;
  bool stopping = false;  ///< Asked to stop; its accelerators come free soon.
  TimePoint started{};
  Millis declared_run_time{};
  double progress = 0;
  std::vector<Allocation> tasks;  ///< One for each task.
  /// When the job was accepted; `started` is assumed when it is not set.
  TimePoint submitted{};
};

/// @brief Workers, the work on them, and the indexes that make placement
/// sublinear in the number of workers.
class Cluster {
 public:
  Cluster();
  Cluster(Cluster&&) noexcept;
  Cluster& operator=(Cluster&&) noexcept;
  ~Cluster();

  WorkerIndex AddWorker(const WorkerInfo& info);
  /// @brief Removes a worker; its jobs keep their other tasks until they are
  /// removed.
  void RemoveWorker(WorkerIndex worker);
  /// @brief A worker that is not schedulable gets no new work (leaving, silent
  /// or quarantined) but keeps its running work.
  void SetSchedulable(WorkerIndex worker, bool schedulable);
  /// @brief A worker under probe gets only jobs that may be repeated.
  void SetRepeatableOnly(WorkerIndex worker, bool repeatable_only);
  /// @brief Accelerators that are not available and not capacity, such as
  /// faulty ones or those of work that the planner does not know.
  void SetOtherUse(WorkerIndex worker, AcceleratorMask mask);
  /// @brief Accelerators in use by live requests now. They count as available
  /// to a plan: a request ends sooner than a report of it is acted on, and the
  /// agent grants the accelerators when it has ended.
  void SetLiveUse(WorkerIndex worker, AcceleratorMask mask);

  /// @brief Adds or replaces the job of the same id.
  void AddJob(const RunningJob& job);
  void RemoveJob(const JobId& job);

  const RunningJob* FindJob(const JobId& job) const;
  const WorkerInfo& Info(WorkerIndex worker) const;
  AcceleratorMask Free(WorkerIndex worker) const;
  // NOLINTBEGIN(readability-identifier-naming): accessors.
  std::size_t worker_count() const;
  std::size_t job_count() const;
  // NOLINTEND(readability-identifier-naming)

  struct Tables;
  // NOLINTBEGIN(readability-identifier-naming): accessors.
  const Tables& tables() const { return *tables_; }
  Tables& tables() { return *tables_; }
  // NOLINTEND(readability-identifier-naming)

 private:
  std::unique_ptr<Tables> tables_;
};

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_CLUSTER_H_
