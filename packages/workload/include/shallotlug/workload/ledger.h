#ifndef SHALLOTLUG_WORKLOAD_LEDGER_H_
#define SHALLOTLUG_WORKLOAD_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "shallotlug/workload/record.h"

namespace shallotlug::workload {

/// @brief What the log says about one job. Records of a job may be read in any
/// order, so that it can be cancelled or have progress before it is known.
struct JobEntry {
  std::optional<Job> job;
  bool cancelled = false;
  std::map<int, Progress> occurrences;  ///< Those with any progress.
};

/// @brief The state that the log adds up to.
struct Ledger {
  std::map<JobId, JobEntry> jobs;
  std::map<AgentName, AgentAddress> agents;
  std::map<EntryName, EntryAddress> entries;
  SchedulerClaim claim;
  /// Offset of the newest record applied of each key: reading the newest
  /// records and the log's tail yields a record twice, and in other orders.
  std::map<std::string, std::uint64_t> offsets;
  std::uint64_t skipped = 0;  ///< Records that could not be decoded.
};

enum class Applied {
  kYes,
  kOlder,      ///< A newer record of the key was applied before.
  kMalformed,  ///< Skipped and counted.
};

/// @brief Applies the record at `offset`.
Applied Apply(Ledger& ledger,
              const std::string& key,
              std::string_view value,
              std::uint64_t offset);

/// @brief What a caller is told about a job.
enum class JobState { kQueued, kInProgress, kCompleted, kFailed, kCancelled };

const char* Name(JobState state);

/// @brief The state of a job; nothing when it is not known.
std::optional<JobState> StateOf(const Ledger& ledger, const JobId& job);

/// @brief Number of open jobs of the queue of which no task has started.
std::int64_t PendingJobs(const Ledger& ledger, std::string_view queue);

}  // namespace shallotlug::workload

#endif  // SHALLOTLUG_WORKLOAD_LEDGER_H_
