#ifndef SHALLOTLUG_ENTRY_SRC_JOB_TRACK_H_
#define SHALLOTLUG_ENTRY_SRC_JOB_TRACK_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "shallotlug/decision/cluster.h"
#include "shallotlug/decision/run_times.h"
#include "shallotlug/entry/entry.h"
#include "shallotlug/stream/job_fold.h"

namespace shallotlug::entry {

/// @brief A record of this entry that has not been read back.
struct OwnRecord {
  std::string id;
  stream::JobRecord record;
};

/// @brief A proposal that waits until its claim has been read back.
struct WaitingProposal {
  std::string claim_id;
  ProposeJob proposal;
};

/// @brief What this entry knows of a live job beyond the stream.
struct JobTrack {
  TimePoint submitted{};  ///< When this entry first saw it.
  std::uint64_t order = 0;
  TimePoint not_before{};
  int refusals = 0;
  /// Records that are queued or open, and the row as it will be with them.
  std::deque<OwnRecord> own;
  std::optional<stream::JobRow> ahead;
  std::optional<WaitingProposal> waiting;
  std::uint32_t noted_attempt = 0;  ///< The one that the times are about.
  std::uint32_t last_number = 0;    ///< Highest attempt that an agent reported.
  TimePoint claimed_at{};
  TimePoint last_news{};  ///< Last report of the attempt by its coordinator.
  std::optional<TimePoint> running_since;
  double progress = 0;
  std::optional<StopReason> stopping;
  TimePoint last_stop{};
  TimePoint snapshot_at{};  ///< When a snapshot was last queued.
};

/// @brief A final update that is not on the log yet.
struct FinalUpdate {
  JobUpdate update;
  AgentRef agent;
  TimePoint first_seen{};
  bool queued = false;
};

/// @brief A submission that waits for its record.
struct PendingSubmit {
  CallId call{};
  std::string record_id;
  JobSpec spec;
  std::optional<TimePoint> appended;  ///< When the append was acknowledged.
};

/// @brief A call that cancels jobs, and its records that are outstanding.
struct PendingCancel {
  CallId call{};
  api::CancelJobsReply reply;
  std::size_t outstanding = 0;
  std::size_t refused = 0;  ///< Proven not to be on the log.
  std::size_t unknown = 0;
};

/// @brief A cancellation's record and the call that it belongs to.
struct CancelRecord {
  std::uint64_t number = 0;
  JobId job;
};

/// @brief Stream position at a time, for the age of records.
struct OffsetSample {
  TimePoint at{};
  std::uint64_t offset = 0;
};

/// @brief Answer about a shape, kept while the workers stay the same.
struct KnownShape {
  JobShape shape;
  std::string why_never;  ///< Empty when it can be placed.
};

/// @brief Long jobs as this entry sees them.
struct Jobs {
  stream::JobFold fold;
  std::map<JobId, JobTrack> tracks;  ///< Jobs that are not final.
  std::uint64_t next_order = 1;
  std::unordered_map<std::string, JobId> own_records;  ///< By record id.
  std::map<JobId, std::vector<PendingSubmit>> submits;
  std::unordered_map<std::string, JobId> submit_of_record;
  std::unordered_map<std::string, CancelRecord> cancel_of_record;
  std::map<std::uint64_t, PendingCancel> cancels;
  std::uint64_t next_cancel = 1;
  std::map<Attempt, FinalUpdate> finals;
  decision::Cluster cluster;
  decision::Cluster ever_seen;  ///< Workers only; for "can never run".
  std::unordered_set<AgentName> ever_seen_agents;
  std::deque<KnownShape> known_shapes;
  decision::RunTimes run_times;
  std::deque<OffsetSample> offsets;
  bool dirty = true;  ///< Something changed since the last plan.
  /// A worker was added; jobs that were read before it lack their tasks there.
  bool workers_added = false;
  TimePoint next_plan{};
  TimePoint next_full_plan{};
  TimePoint next_reconcile{};
  TimePoint plan_not_before{};
};

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_JOB_TRACK_H_
