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

/// @brief A record queued by this entry and not read back from the log yet.
struct PendingRecord {
  std::string id;
  stream::JobRecord record;
};

/// @brief A proposal that is sent once its claim has been read back.
struct WaitingProposal {
  std::string claim_id;
  ProposeJob proposal;
};

/// @brief State of a job that is not final, beyond what the stream holds.
struct JobTrack {
  TimePoint submitted{};  ///< When this entry first saw it.
  std::uint64_t order = 0;
  TimePoint not_before{};
  int refusals = 0;
  /// Records that are queued or being appended, and the row with them applied.
  std::deque<PendingRecord> pending_records;
  std::optional<stream::JobRow> projected_row;
  std::optional<WaitingProposal> waiting_proposal;
  std::uint32_t tracked_attempt =
      0;  ///< The attempt that the times below belong to.
  std::uint32_t highest_attempt =
      0;  ///< Highest attempt number reported by an agent.
  TimePoint claimed_at{};
  TimePoint
      last_reported{};  ///< When its coordinator last reported the attempt.
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

/// @brief A submission whose record has not been read back yet.
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

/// @brief Cached placeability of a shape; valid until a new worker appears.
struct CachedShape {
  JobShape shape;
  std::string unplaceable_reason;  ///< Empty when it can be placed.
};

/// @brief State of the long jobs at this entry.
struct Jobs {
  stream::JobFold fold;
  std::map<JobId, JobTrack> tracks;  ///< Jobs that are not final.
  std::uint64_t next_order = 1;
  std::unordered_map<std::string, JobId> job_of_record;  ///< By record id.
  std::map<JobId, std::vector<PendingSubmit>> submits;
  std::unordered_map<std::string, JobId> submit_of_record;
  std::unordered_map<std::string, CancelRecord> cancel_of_record;
  std::map<std::uint64_t, PendingCancel> cancels;
  std::uint64_t next_cancel = 1;
  std::map<Attempt, FinalUpdate> finals;
  decision::Cluster cluster;
  decision::Cluster all_known_workers;  ///< All workers seen since the start,
                                        ///< without jobs; for "can never run".
  std::unordered_set<AgentName> all_known_agents;
  std::deque<CachedShape> shape_cache;
  decision::RunTimes run_times;
  std::deque<OffsetSample> offsets;
  bool dirty = true;  ///< Something changed since the last plan.
  /// A worker was added; jobs read earlier have no tasks in `cluster` for it.
  bool workers_added = false;
  TimePoint next_plan{};
  TimePoint next_full_plan{};
  TimePoint next_reconcile{};
  TimePoint plan_not_before{};
};

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_JOB_TRACK_H_
