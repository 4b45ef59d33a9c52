#ifndef SHALLOTLUG_WORKLOAD_JOB_H_
#define SHALLOTLUG_WORKLOAD_JOB_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/workload/resources.h"

namespace shallotlug::workload {

/// @brief Wall-clock time, as used by callers and in durable records.
using WallTime = std::chrono::sys_time<Millis>;

/// @brief Limits of what a job may state. A record that exceeds them is odd,
/// and would use up the memory of each process that reads it.
inline constexpr std::int64_t kMaxTasksPerJob = 100'000;
inline constexpr std::int64_t kMaxOccurrences = 10'000;
/// @brief Of resources, times in ms and numbers without a limit of their own;
/// sums and multiples of it fit into 64 bits.
inline constexpr std::int64_t kMaxAmount = std::int64_t{1} << 50;

/// @brief A set of identical tasks of a job.
struct Step {
  int count = 1;
  Resources need;  ///< Of each task.
  Millis estimate{0};
  /// Indices of earlier steps whose tasks must all be done first.
  std::vector<int> depends_on;
  bool saves_checkpoints = false;
  bool gang = false;
  /// The tasks run slower if they are spread over several racks.
  bool same_rack = false;
  std::string required_label;
  std::string data_rack;     ///< On other racks the tasks run slower.
  int per_worker_limit = 0;  ///< 0: none.
  bool speculative = false;
  /// The tasks run until the job is cancelled.
  bool lasting = false;
  std::string image;
  Millis tail_latency_target{0};  ///< 0: none.
  bool uses_spare_cpu = false;
  int absence_limit = 0;  ///< Tasks that the product may interrupt at once.

  bool operator==(const Step&) const = default;
};

/// @brief When the occurrences of a repeated job are due.
struct Recurrence {
  int count = 0;  ///< 0: the job runs once, immediately.
  WallTime first{};
  Millis interval{0};

  bool operator==(const Recurrence&) const = default;
};

/// @brief Service terms of a queue. A job keeps the terms that it was accepted
/// with, in case the queue is removed from the configuration.
struct Terms {
  std::string pool;  ///< Pool of workers that run the queue's tasks.
  int priority = 0;  ///< 0 is the highest and may preempt others.
  int max_attempts = 1;
  double slack_factor = 1.0;  ///< Relative to the critical path.
  Millis target{0};           ///< Added to the slack.

  bool operator==(const Terms&) const = default;
};

/// @brief A job as it was accepted.
struct Job {
  JobId id;
  std::string queue;
  Terms terms;
  CustomerName customer;
  std::string payload;  ///< Passed to each task uninterpreted.
  std::vector<Step> steps;
  Recurrence recurrence;
  WallTime accepted_at{};

  bool operator==(const Job&) const = default;
};

/// @brief Number of occurrences of a job, at least one.
inline int Occurrences(const Job& job) {
  return job.recurrence.count > 0 ? job.recurrence.count : 1;
}

/// @brief Identifies one task of one occurrence of a job.
struct TaskRef {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const TaskRef&) const = default;
};

/// @brief One start of a task; `run` counts from 1 and never decreases.
struct RunRef {
  TaskRef task;
  int run = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const RunRef&) const = default;
};

/// @brief Text for logs: `JOB/OCCURRENCE/STEP/INDEX`.
std::string ToString(const TaskRef& task);

}  // namespace shallotlug::workload

#endif  // SHALLOTLUG_WORKLOAD_JOB_H_
