#ifndef SHALLOTLUG_STREAM_JOB_RECORD_H_
#define SHALLOTLUG_STREAM_JOB_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "shallotlug/base/work.h"
#include "shallotlug/protocol/messages.h"
#include "shallotlug/stream/parse_fault.h"

/// Records of the stream `jobs`.
namespace shallotlug::stream {

inline constexpr const char* kJobStream = "jobs";

enum class JobStanding {
  kQueued,
  kClaimed,
  kFinished,
  kFailed,
  kCancelled,
  kOutcomeUnknown,
};

constexpr bool IsFinal(JobStanding standing) {
  return standing != JobStanding::kQueued && standing != JobStanding::kClaimed;
}

/// @brief Everything that the stream says about a job.
struct JobRow {
  JobSpec spec;
  std::string key;  ///< The caller's idempotency key.
  JobStanding standing = JobStanding::kQueued;
  std::uint32_t attempt = 0;  ///< Last claimed; 0 before the first claim.
  AgentRef coordinator;
  std::vector<GangMember> members;
  std::string claim_id;  ///< Id of the record whose claim won.
  int failures = 0;
  std::vector<AgentName> failed_at;
  double progress = 0;
  std::string checkpoint;
  std::string result;
  std::string reason;
  /// First offset that a reader needs to rebuild this row.
  std::uint64_t oldest_offset = 0;

  bool operator==(const JobRow&) const = default;
};

struct JobSubmitted {
  JobSpec spec;
  std::string key;

  bool operator==(const JobSubmitted&) const = default;
};

struct JobClaimed {
  Attempt attempt;
  AgentRef coordinator;
  std::vector<GangMember> members;

  bool operator==(const JobClaimed&) const = default;
};

enum class AttemptEnd {
  kReleased,   ///< Proof that no task of it was or will be started.
  kAbandoned,  ///< Its coordinator or a member is lost.
  kCheckpointed,
  kFinished,
  kFailed,
};

struct JobAttemptEnded {
  Attempt attempt;
  AttemptEnd end = AttemptEnd::kReleased;
  double progress = 0;
  std::string text;  ///< Checkpoint, result or reason.
  std::vector<AgentName> failed_at;
  bool last = false;  ///< With kFailed: the job is not tried again.

  bool operator==(const JobAttemptEnded&) const = default;
};

struct JobCancelled {
  JobId job;

  bool operator==(const JobCancelled&) const = default;
};

/// @brief A live job, by a writer that had applied every record before
/// `folded_to`.
struct JobSnapshot {
  JobRow row;
  std::uint64_t folded_to = 0;

  bool operator==(const JobSnapshot&) const = default;
};

using JobRecord = std::variant<JobSubmitted,
                               JobClaimed,
                               JobAttemptEnded,
                               JobCancelled,
                               JobSnapshot,
                               ParseFault>;

std::string Format(const JobSubmitted& record);
std::string Format(const JobClaimed& record);
std::string Format(const JobAttemptEnded& record);
std::string Format(const JobCancelled& record);
std::string Format(const JobSnapshot& record);
JobRecord ParseJobRecord(std::string_view data);

}  // namespace shallotlug::stream

#endif  // SHALLOTLUG_STREAM_JOB_RECORD_H_
