#ifndef SHALLOTLUG_WORKLOAD_PROGRESS_H_
#define SHALLOTLUG_WORKLOAD_PROGRESS_H_

#include <string>
#include <vector>

#include "shallotlug/workload/job.h"
#include "shallotlug/workload/worker.h"

namespace shallotlug::workload {

enum class TaskPhase {
  kWaiting,
  kAssigned,  ///< Set before the order is sent, so its run may be on the
              ///< worker.
  kDone,
};

/// @brief Where a run was sent.
struct Placement {
  AgentName agent;
  WorkerLife worker;

  bool operator==(const Placement&) const = default;
};

/// @brief A worker that ended without notice under a run of the task.
struct WorkerCrash {
  int run = 0;
  bool early = false;  ///< Shortly after the start of the run.
  bool alone = false;  ///< No run of another job was on the worker.

  bool operator==(const WorkerCrash&) const = default;
};

/// @brief Durable state of one task.
struct TaskProgress {
  TaskPhase phase = TaskPhase::kWaiting;
  int run = 0;       ///< Highest run so far.
  int failures = 0;  ///< Runs that failed; counts against the attempts.
  /// Newest run that `failures` counts. Its end may be reported again, to
  /// another scheduler or by another member of the gang.
  int failed_run = 0;
  Placement on;  ///< While assigned.
  std::string checkpoint;
  std::vector<WorkerCrash> crashes;  ///< One for each run at most.

  bool operator==(const TaskProgress&) const = default;
};

enum class Outcome { kOpen, kCompleted, kFailed, kCancelled };

/// @brief Progress of one occurrence of a job: tasks by step and index.
struct Progress {
  Outcome outcome = Outcome::kOpen;
  std::vector<std::vector<TaskProgress>> steps;
  bool in_parts = false;  ///< One record cannot hold it.

  bool operator==(const Progress&) const = default;
};

/// @brief Progress of an occurrence before any task has started.
Progress MakeProgress(const Job& job);

/// @brief Whether any task was ever assigned to a worker.
bool HasStarted(const Progress& progress);

/// @brief Whether all tasks of the step are done.
bool StepDone(const Progress& progress, int step);

/// @brief Whether all steps that `step` depends on are done.
bool StepReady(const Job& job, const Progress& progress, int step);

}  // namespace shallotlug::workload

#endif  // SHALLOTLUG_WORKLOAD_PROGRESS_H_
