#ifndef SHALLOTLUG_WORKLOAD_LEDGER_H_
#define SHALLOTLUG_WORKLOAD_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "shallotlug/workload/record.h"

namespace shallotlug::workload {

/// @brief How long the cancel of an unknown job is kept. Longer than the job's
/// submission can be on its way through entries, their retries and the store.
inline constexpr Millis kEarlyCancelRetention{180'000};
/// @brief Cancels of unknown jobs that are kept at once; more are refused.
inline constexpr std::size_t kMaxEarlyCancels = 10'000;

/// @brief State of one job in the log. The records of a job may be read in any
/// order, so it can be cancelled or have progress before `job` is set.
struct JobEntry {
  std::optional<Job> job;
  bool cancelled = false;
  std::map<int, Progress> occurrences;  ///< Those with any progress.
};

/// @brief The state that results from applying the log.
struct Ledger {
  std::map<JobId, JobEntry> jobs;
  /// Cancels of jobs that are not in the log, and when they were stated. The
  /// job is cancelled if its submission follows.
  std::map<JobId, WallTime> early_cancels;
  std::map<AgentName, AgentAddress> agents;
  std::map<EntryName, EntryAddress> entries;
  SchedulerClaim claim;
  /// Offset of the newest applied record of each key. Reading the newest
  /// records and then the tail of the log yields records twice and out of
  /// order.
  std::map<std::string, std::uint64_t> offsets;
  std::uint64_t skipped = 0;  ///< Records that could not be decoded.
};

enum class Applied {
  kYes,
  kOutdated,   ///< A newer record of the key was applied before.
  kMalformed,  ///< Skipped and counted.
};

/// @brief Applies the record at `offset`.
Applied Apply(Ledger& ledger,
              const std::string& key,
              std::string_view value,
              std::uint64_t offset);

/// @brief State of a job as reported to callers.
enum class JobState { kQueued, kInProgress, kCompleted, kFailed, kCancelled };

const char* Name(JobState state);

/// @brief The state of a job, or nullopt if the job is unknown.
std::optional<JobState> StateOf(const Ledger& ledger, const JobId& job);

/// @brief Whether the job was cancelled and is not in the log.
bool IsCancelledEarly(const Ledger& ledger, const JobId& job);

/// @brief Number of cancels of unknown jobs within kEarlyCancelRetention.
/// Older ones are about to be dropped, or were while this process did not read.
std::size_t CountEarlyCancels(const Ledger& ledger, WallTime now);

/// @brief Number of open jobs of the queue of which no task has started.
std::int64_t PendingJobs(const Ledger& ledger, std::string_view queue);

}  // namespace shallotlug::workload

#endif  // SHALLOTLUG_WORKLOAD_LEDGER_H_
