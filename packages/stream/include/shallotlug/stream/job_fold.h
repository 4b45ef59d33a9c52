#ifndef SHALLOTLUG_STREAM_JOB_FOLD_H_
#define SHALLOTLUG_STREAM_JOB_FOLD_H_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "shallotlug/stream/job_record.h"
#include "shallotlug/stream/log_io.h"

namespace shallotlug::stream {

struct JobFoldOptions {
  std::size_t final_limit = 50'000;  ///< Final jobs kept for look-ups.
  /// Records kept for jobs whose submission has been dropped.
  std::size_t orphan_limit = 100'000;
};

/// @brief The jobs as the stream `jobs` defines them.
struct JobFold {
  JobFoldOptions options;
  std::unordered_map<JobId, JobRow> rows;
  std::uint64_t next_offset = 0;
  std::uint64_t first_offset = 0;  ///< Where this fold began to read.
  bool started = false;
  std::unordered_map<JobId, std::vector<LogRecord>> orphans;
  std::size_t orphan_count = 0;
  std::deque<JobId> final_order;
  std::vector<JobId> changed;  ///< Touched since the caller cleared it.
  std::vector<JobId> dropped;  ///< Forgotten since the caller cleared it.
  std::int64_t unknown_kinds = 0;
  std::int64_t malformed = 0;
  std::int64_t ignored = 0;  ///< Lost races and records of final jobs.
};

/// @brief Applies what a read returned, in offset order.
void Apply(JobFold& fold, const LogReadResult& read);

const JobRow* FindJob(const JobFold& fold, const JobId& job);

/// @brief Applies one record to a row by the rules of the stream; returns
/// whether it had an effect.
bool ApplyTo(JobRow& row, const JobClaimed& record, const std::string& id);
bool ApplyTo(JobRow& row, const JobAttemptEnded& record);
bool ApplyTo(JobRow& row, const JobCancelled& record);

/// @brief The id of the job that a customer names with a key.
JobId MakeJobId(const CustomerName& customer, const std::string& key);

}  // namespace shallotlug::stream

#endif  // SHALLOTLUG_STREAM_JOB_FOLD_H_
