#include "job_table.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "attempts.h"
#include "burn.h"
#include "cluster_sync.h"
#include "replies.h"
#include "submissions.h"

namespace shallotlug::entry {
namespace {

std::string FormatRecord(const stream::JobRecord& record) {
  return std::visit(
      [](const auto& it) -> std::string {
        if constexpr (std::is_same_v<std::decay_t<decltype(it)>,
                                     stream::ParseFault>) {
          return "";
        } else {
          return stream::Format(it);
        }
      },
      record);
}

void ApplyPending(stream::JobRow& row, const PendingRecord& pending) {
  if (const auto* claim = std::get_if<stream::JobClaimed>(&pending.record)) {
    stream::ApplyTo(row, *claim, pending.id);
  } else if (const auto* end =
                 std::get_if<stream::JobAttemptEnded>(&pending.record)) {
    stream::ApplyTo(row, *end);
  } else if (const auto* cancel =
                 std::get_if<stream::JobCancelled>(&pending.record)) {
    stream::ApplyTo(row, *cancel);
  }
}

// Only records that lead to another attempt take effect before they are read
// back; a cancellation or a result is reported only from the log.
void RebuildProjection(State& state, const JobId& job, JobTrack& track) {
  const stream::JobRow* row = stream::FindJob(state.jobs.fold, job);
  if (track.pending_records.empty() || row == nullptr) {
    track.projected_row.reset();
    return;
  }
  track.projected_row = *row;
  for (const PendingRecord& it : track.pending_records) {
    ApplyPending(*track.projected_row, it);
  }
}

void ResetAttemptTimes(State& state, JobTrack& track) {
  track.claimed_at = state.now;
  track.last_reported = state.now;
  track.running_since.reset();
  track.stopping.reset();
}

void TrackAttempt(State& state, const JobId& job, JobTrack& track) {
  const std::uint32_t attempt = FindProjectedJob(state, job)->attempt;
  if (attempt != track.tracked_attempt) {
    track.tracked_attempt = attempt;
    ResetAttemptTimes(state, track);
  }
}

// Sends the waiting proposal if its claim won. If the claim lost, nothing has
// been started under it.
void ResolveWaitingProposal(State& state,
                            const stream::JobRow& row,
                            JobTrack& track) {
  if (!track.waiting_proposal) {
    return;
  }
  const bool read_back =
      std::none_of(track.pending_records.begin(), track.pending_records.end(),
                   [&](const PendingRecord& it) {
                     return it.id == track.waiting_proposal->claim_id;
                   });
  if (!read_back) {
    return;
  }
  const WaitingProposal waiting = std::move(*track.waiting_proposal);
  track.waiting_proposal.reset();
  if (row.standing == stream::JobStanding::kClaimed &&
      row.claim_id == waiting.claim_id) {
    ResetAttemptTimes(state, track);
    SendProposal(state, waiting.proposal);
  } else {
    Count(state, "shallotlug_entry_claims_lost_total");
  }
}

// Stops an attempt that was proposed before its claim lost to another entry's.
void StopSupersededAttempt(State& state,
                           const JobId& job,
                           const PendingRecord& pending) {
  const auto* claim = std::get_if<stream::JobClaimed>(&pending.record);
  const stream::JobRow* row = stream::FindJob(state.jobs.fold, job);
  if (claim == nullptr || row == nullptr || row->claim_id == pending.id) {
    return;
  }
  if (row->attempt == claim->attempt.number &&
      row->coordinator == claim->coordinator) {
    return;  // Same attempt and coordinator: the job runs only once.
  }
  Count(state, "shallotlug_entry_claims_lost_total");
  SendStop(state, claim->coordinator, claim->attempt, StopReason::kSuperseded);
}

// Removes a pending record from the index and returns its job.
std::optional<JobId> TakePendingRecord(State& state, const std::string& id) {
  const auto it = state.jobs.job_of_record.find(id);
  if (it == state.jobs.job_of_record.end()) {
    return std::nullopt;
  }
  JobId job = std::move(it->second);
  state.jobs.job_of_record.erase(it);
  return job;
}

void OnPendingRecordRead(State& state, const std::string& id) {
  const std::optional<JobId> job = TakePendingRecord(state, id);
  JobTrack* track = job ? FindTrack(state, *job) : nullptr;
  if (track == nullptr) {
    return;
  }
  const auto pending =
      std::find_if(track->pending_records.begin(), track->pending_records.end(),
                   [&](const PendingRecord& other) { return other.id == id; });
  if (pending == track->pending_records.end()) {
    return;
  }
  const PendingRecord record = std::move(*pending);
  track->pending_records.erase(pending);
  StopSupersededAttempt(state, *job, record);
  RecordJobBurn(state, *job, record);
  state.jobs.fold.changed.push_back(*job);
}

void ForgetTrack(State& state, const JobId& job, JobTrack& track) {
  for (const PendingRecord& it : track.pending_records) {
    state.jobs.job_of_record.erase(it.id);
  }
  state.jobs.tracks.erase(job);
}

JobTrack& TrackOf(State& state, const JobId& job) {
  const auto [it, inserted] = state.jobs.tracks.try_emplace(job);
  if (inserted) {
    it->second.submitted = state.now;
    it->second.order = state.jobs.next_order++;
    // An attempt may have been claimed long ago by another entry.
    it->second.claimed_at = state.now;
    it->second.last_reported = state.now;
  }
  return it->second;
}

void OnFinal(State& state, const stream::JobRow& row, JobTrack& track) {
  if (row.standing == stream::JobStanding::kCancelled && row.attempt > 0 &&
      !row.members.empty()) {
    SendStop(state, row.coordinator, {row.spec.id, row.attempt},
             StopReason::kCancelled);
  }
  decision::ForgetJob(state.health, row.spec.id);
  ForgetTrack(state, row.spec.id, track);
}

void OnJobChanged(State& state, const JobId& job) {
  const stream::JobRow* row = stream::FindJob(state.jobs.fold, job);
  if (row == nullptr) {
    return;
  }
  state.jobs.dirty = true;
  AnswerReadBackSubmits(state, *row);
  if (stream::IsFinal(row->standing)) {
    if (JobTrack* track = FindTrack(state, job)) {
      OnFinal(state, *row, *track);
    }
    SyncJob(state, job);
    return;
  }
  JobTrack& track = TrackOf(state, job);
  RebuildProjection(state, job, track);
  ResolveWaitingProposal(state, *row, track);
  TrackAttempt(state, job, track);
  SyncJob(state, job);
}

void OnDropped(State& state, const JobId& job) {
  if (JobTrack* track = FindTrack(state, job)) {
    if (stream::FindJob(state.jobs.fold, job) == nullptr) {
      ForgetTrack(state, job, *track);
    }
  }
  SyncJob(state, job);
}

}  // namespace

const stream::JobRow* FindProjectedJob(const State& state, const JobId& job) {
  const auto it = state.jobs.tracks.find(job);
  if (it != state.jobs.tracks.end() && it->second.projected_row) {
    return &*it->second.projected_row;
  }
  return stream::FindJob(state.jobs.fold, job);
}

JobTrack* FindTrack(State& state, const JobId& job) {
  const auto it = state.jobs.tracks.find(job);
  return it == state.jobs.tracks.end() ? nullptr : &it->second;
}

std::string MakeRecordId(State& state) {
  const EntryRef& self = state.options.self;
  return self.name.value + "-" +
         std::to_string(static_cast<std::uint64_t>(self.incarnation)) + "-" +
         std::to_string(state.next_record++);
}

std::string QueueJobRecord(State& state,
                           const JobId& job,
                           stream::JobRecord record,
                           TimePoint give_up_at) {
  std::string id = MakeRecordId(state);
  if (!stream::Add(state.job_io.appends,
                   {{id, FormatRecord(record)}, give_up_at})) {
    Count(state, "shallotlug_entry_append_queue_full_total");
    return "";
  }
  JobTrack* track = FindTrack(state, job);
  if (track != nullptr) {
    track->pending_records.push_back({id, std::move(record)});
    state.jobs.job_of_record[id] = job;
    RebuildProjection(state, job, *track);
    TrackAttempt(state, job, *track);
    SyncJob(state, job);
    state.jobs.dirty = true;
  }
  return id;
}

void OnJobsRead(State& state, const std::vector<stream::LogRecord>& records) {
  for (const stream::LogRecord& it : records) {
    OnPendingRecordRead(state, it.id);
    OnCancelRecord(state, it.id, stream::AppendNoticeKind::kAppended);
  }
  for (const JobId& it : std::exchange(state.jobs.fold.changed, {})) {
    OnJobChanged(state, it);
  }
  for (const JobId& it : std::exchange(state.jobs.fold.dropped, {})) {
    OnDropped(state, it);
  }
  AcknowledgeFinals(state);
}

void OnJobNotice(State& state, const stream::AppendNotice& notice) {
  OnSubmitNotice(state, notice);
  if (notice.kind == stream::AppendNoticeKind::kAppended) {
    return;  // Takes effect when it is read back.
  }
  OnCancelRecord(state, notice.record_id, notice.kind);
  const std::optional<JobId> job = TakePendingRecord(state, notice.record_id);
  JobTrack* track = job ? FindTrack(state, *job) : nullptr;
  if (track == nullptr) {
    return;
  }
  std::erase_if(track->pending_records, [&](const PendingRecord& pending) {
    return pending.id == notice.record_id;
  });
  if (track->waiting_proposal &&
      track->waiting_proposal->claim_id == notice.record_id) {
    track->waiting_proposal.reset();
    track->not_before = state.now + state.options.log_timeout;
  }
  RebuildProjection(state, *job, *track);
  SyncJob(state, *job);
}

bool JobsKnown(const State& state) {
  return state.job_io.reader.caught_up;
}

}  // namespace shallotlug::entry
