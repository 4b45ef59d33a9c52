#include "submissions.h"

#include <algorithm>
#include <utility>

#include "shallotlug/decision/plan.h"

#include "job_table.h"
#include "log.h"
#include "replies.h"

namespace shallotlug::entry {
namespace {

constexpr std::size_t kMaxKeyLength = 256;
constexpr std::size_t kMaxCachedShapes = 64;

void AddIssue(Findings& findings, const char* path, const char* message) {
  Finding finding;
  finding.path = path;
  finding.message = message;
  findings.push_back(std::move(finding));
}

Findings Validate(const api::SubmitJobCall& submit) {
  Findings findings;
  const JobSpec& spec = submit.spec;
  if (submit.key.empty() || submit.key.size() > kMaxKeyLength) {
    AddIssue(findings, "/key", "must have 1 to 256 characters");
  }
  if (spec.customer.empty()) {
    AddIssue(findings, "/customer", "must not be empty");
  }
  if (spec.shape.tasks < 1) {
    AddIssue(findings, "/shape/tasks", "must be at least 1");
  }
  if (spec.shape.accelerators_per_task < 0) {
    AddIssue(findings, "/shape/accelerators_per_task", "must not be negative");
  }
  if (spec.declared_run_time < Millis(0)) {
    AddIssue(findings, "/run_time_ms", "must not be negative");
  }
  return findings;
}

api::JobState StateOf(stream::JobStanding standing) {
  switch (standing) {
    case stream::JobStanding::kQueued:
      return api::JobState::kQueued;
    case stream::JobStanding::kClaimed:
      return api::JobState::kRunning;
    case stream::JobStanding::kFinished:
      return api::JobState::kFinished;
    case stream::JobStanding::kFailed:
      return api::JobState::kFailed;
    case stream::JobStanding::kCancelled:
      return api::JobState::kCancelled;
    case stream::JobStanding::kOutcomeUnknown:
      break;
  }
  return api::JobState::kOutcomeUnknown;
}

api::JobReply MakeJobReply(const State& state, const stream::JobRow& row) {
  api::JobReply reply;
  reply.spec = row.spec;
  reply.state = StateOf(row.standing);
  reply.attempts = row.attempt;
  reply.progress = row.progress;
  reply.result = row.result;
  reply.reason = row.reason;
  const auto track = state.jobs.tracks.find(row.spec.id);
  if (track != state.jobs.tracks.end()) {
    reply.progress = std::max(reply.progress, track->second.progress);
  }
  return reply;
}

void ReplyInvalid(State& state, CallId call, Findings findings) {
  Count(state, "shallotlug_entry_error_replies_total", "invalid_job");
  api::ErrorReply reply;
  reply.reason = "invalid_job";
  reply.message = "the job is not valid";
  reply.findings = std::move(findings);
  Reply(state, call, std::move(reply));
}

// Checks the job against the targets; answers and returns false when it does
// not fit them.
bool CheckClass(State& state, CallId call, const JobSpec& spec) {
  const VersionedTarget* target =
      stream::FindTarget(stream::Current(state.config), spec.job_class);
  if (target == nullptr || target->target.customer != spec.customer) {
    ReplyError(state, call, api::ErrorCode::kNotFound, "unknown_class",
               "customer " + spec.customer.value + " has no class " +
                   spec.job_class.value);
    return false;
  }
  if (target->target.kind != WorkKind::kBatch) {
    ReplyError(state, call, api::ErrorCode::kInvalid, "live_class",
               "class " + spec.job_class.value + " takes live requests only");
    return false;
  }
  return true;
}

// Caches the result per shape, so that a burst of jobs does not scan all
// workers for each job.
std::string UnplaceableReason(State& state, const JobShape& shape) {
  for (const CachedShape& it : state.jobs.shape_cache) {
    if (it.shape == shape) {
      return it.unplaceable_reason;
    }
  }
  std::string why =
      decision::WhyNeverPlaceable(state.jobs.all_known_workers, shape);
  state.jobs.shape_cache.push_front({shape, why});
  if (state.jobs.shape_cache.size() > kMaxCachedShapes) {
    state.jobs.shape_cache.pop_back();
  }
  return why;
}

// Accepts any shape during warm-up: before the agents have reported, no shape
// is known to be too large.
bool CheckShape(State& state, CallId call, const JobSpec& spec) {
  const bool heard = state.now - state.started >= state.options.warm_up &&
                     state.jobs.all_known_workers.worker_count() > 0;
  if (!heard) {
    return true;
  }
  const std::string why = UnplaceableReason(state, spec.shape);
  if (!why.empty()) {
    ReplyError(state, call, api::ErrorCode::kCanNeverRun, "can_never_run", why);
  }
  return why.empty();
}

// Answers a submission of a job that the stream holds.
void ReplyKnown(State& state,
                CallId call,
                const stream::JobRow& row,
                const JobSpec& spec,
                bool created) {
  if (row.spec != spec) {
    ReplyError(state, call, api::ErrorCode::kConflict, "key_reused",
               "this key names another job of the customer");
    return;
  }
  api::JobReply reply = MakeJobReply(state, row);
  reply.created = created;
  Reply(state, call, std::move(reply));
}

void RefuseSubmission(State& state, CallId call, std::string_view reason) {
  ReplyError(state, call, api::ErrorCode::kNotAccepted, reason,
             "the job was not recorded; it is safe to send it again");
}

void ForgetSubmit(State& state, JobId job, std::string record_id) {
  state.jobs.submit_of_record.erase(record_id);
  const auto it = state.jobs.submits.find(job);
  std::erase_if(it->second, [&](const PendingSubmit& other) {
    return other.record_id == record_id;
  });
  if (it->second.empty()) {
    state.jobs.submits.erase(it);
  }
}

void QueueSubmission(State& state,
                     CallId call,
                     const JobSpec& spec,
                     const std::string& key) {
  const std::string id = MakeRecordId(state);
  const bool added =
      stream::Add(state.job_io.appends,
                  {{id, stream::Format(stream::JobSubmitted{spec, key})},
                   state.now + state.options.log_timeout});
  if (!added) {
    RefuseSubmission(state, call, "append_queue_full");
    return;
  }
  state.jobs.submits[spec.id].push_back({call, id, spec, std::nullopt});
  state.jobs.submit_of_record[id] = spec.id;
}

// The jobs selected by a call, and the number of its ids that are unknown.
std::vector<JobId> SelectJobs(const State& state,
                              const api::CancelJobsCall& cancel,
                              api::CancelJobsReply& reply) {
  std::vector<JobId> selected;
  const auto take = [&](const stream::JobRow& row) {
    if (stream::IsFinal(row.standing)) {
      ++reply.already_final;
    } else {
      selected.push_back(row.spec.id);
    }
  };
  for (const JobId& id : cancel.ids) {
    const stream::JobRow* row = stream::FindJob(state.jobs.fold, id);
    if (row == nullptr || row->spec.customer != cancel.customer) {
      ++reply.unknown;
    } else {
      take(*row);
    }
  }
  if (!cancel.ids.empty()) {
    return selected;
  }
  for (const auto& [id, track] : state.jobs.tracks) {
    const stream::JobRow* row = stream::FindJob(state.jobs.fold, id);
    if (row != nullptr && row->spec.customer == cancel.customer &&
        (cancel.job_class.empty() || row->spec.job_class == cancel.job_class)) {
      take(*row);
    }
  }
  return selected;
}

void FinishCancel(State& state, const PendingCancel& pending) {
  if (pending.unknown > 0) {
    ReplyError(state, pending.call, api::ErrorCode::kOutcomeUnknown,
               "log_unavailable",
               std::to_string(pending.unknown) +
                   " cancellations may or may not be recorded; send the call "
                   "again");
  } else if (pending.refused > 0) {
    ReplyError(state, pending.call, api::ErrorCode::kNotAccepted,
               "log_unavailable",
               std::to_string(pending.refused) +
                   " cancellations were not "
                   "recorded, " +
                   std::to_string(pending.reply.cancelled) +
                   " were; send the call again");
  } else {
    Reply(state, pending.call, pending.reply);
  }
}

}  // namespace

void OnSubmitJob(State& state, CallId call, const api::SubmitJobCall& submit) {
  const Findings findings = Validate(submit);
  if (!findings.empty()) {
    ReplyInvalid(state, call, findings);
    return;
  }
  JobSpec spec = submit.spec;
  spec.id = stream::MakeJobId(spec.customer, submit.key);
  if (const auto* row = stream::FindJob(state.jobs.fold, spec.id)) {
    ReplyKnown(state, call, *row, spec, false);
    return;
  }
  if (!CheckClass(state, call, spec) || !CheckShape(state, call, spec)) {
    return;
  }
  if (state.shutting_down) {
    RefuseSubmission(state, call, "shutting_down");
  } else if (!JobsKnown(state) || state.job_io.reader.failing) {
    RefuseSubmission(state, call, "log_unavailable");
  } else if (state.jobs.tracks.size() + state.jobs.submits.size() >=
             state.options.queued_job_limit) {
    RefuseSubmission(state, call, "queue_full");
  } else {
    QueueSubmission(state, call, spec, submit.key);
  }
}

void OnGetJob(State& state, CallId call, const api::GetJobCall& get) {
  if (const auto* row = stream::FindJob(state.jobs.fold, get.id)) {
    Reply(state, call, MakeJobReply(state, *row));
  } else if (!JobsKnown(state)) {
    ReplyError(state, call, api::ErrorCode::kOutcomeUnknown, "log_unavailable",
               "this entry has not read the jobs yet");
  } else {
    ReplyError(state, call, api::ErrorCode::kNotFound, "unknown_job",
               "no job " + get.id.value);
  }
}

void OnCancelJobs(State& state,
                  CallId call,
                  const api::CancelJobsCall& cancel) {
  if (state.shutting_down || !JobsKnown(state) || state.job_io.reader.failing) {
    ReplyError(state, call, api::ErrorCode::kNotAccepted,
               state.shutting_down ? "shutting_down" : "log_unavailable",
               "no cancellation was recorded");
    return;
  }
  PendingCancel pending;
  pending.call = call;
  const std::uint64_t number = state.jobs.next_cancel++;
  for (const JobId& job : SelectJobs(state, cancel, pending.reply)) {
    const std::string id = MakeRecordId(state);
    if (stream::Add(state.job_io.appends,
                    {{id, stream::Format(stream::JobCancelled{job})},
                     state.now + state.options.log_timeout})) {
      state.jobs.cancel_of_record[id] = {number, job};
      ++pending.outstanding;
    } else {
      ++pending.refused;
    }
  }
  if (pending.outstanding == 0) {
    FinishCancel(state, pending);
    return;
  }
  state.jobs.cancels[number] = pending;
}

void AnswerReadBackSubmits(State& state, const stream::JobRow& row) {
  const auto node = state.jobs.submits.extract(row.spec.id);
  if (node.empty()) {
    return;
  }
  bool created = true;
  for (const PendingSubmit& it : node.mapped()) {
    state.jobs.submit_of_record.erase(it.record_id);
    ReplyKnown(state, it.call, row, it.spec, created);
    created = false;
  }
  Count(state, "shallotlug_entry_jobs_accepted_total");
}

void OnSubmitNotice(State& state, const stream::AppendNotice& notice) {
  const auto job = state.jobs.submit_of_record.find(notice.record_id);
  if (job == state.jobs.submit_of_record.end()) {
    return;
  }
  std::vector<PendingSubmit>& waiting = state.jobs.submits[job->second];
  const auto it = std::find_if(waiting.begin(), waiting.end(),
                               [&](const PendingSubmit& other) {
                                 return other.record_id == notice.record_id;
                               });
  if (notice.kind == stream::AppendNoticeKind::kAppended) {
    it->appended = state.now;
    return;
  }
  if (notice.kind == stream::AppendNoticeKind::kNotAppended) {
    RefuseSubmission(state, it->call, "log_unavailable");
  } else {
    ReplyError(state, it->call, api::ErrorCode::kOutcomeUnknown,
               "log_unavailable",
               "the job may have been recorded; send it again with the same "
               "key");
  }
  ForgetSubmit(state, job->second, it->record_id);
}

void AnswerAcknowledgedSubmits(State& state) {
  std::vector<PendingSubmit> due;
  for (const auto& [job, waiting] : state.jobs.submits) {
    for (const PendingSubmit& it : waiting) {
      if (it.appended &&
          state.now - *it.appended >= state.options.log_timeout) {
        due.push_back(it);
      }
    }
  }
  for (const PendingSubmit& it : due) {
    api::JobReply reply;
    reply.spec = it.spec;
    reply.created = true;
    Reply(state, it.call, std::move(reply));
    ForgetSubmit(state, it.spec.id, it.record_id);
  }
}

void OnCancelRecord(State& state,
                    const std::string& record_id,
                    stream::AppendNoticeKind kind) {
  const auto it = state.jobs.cancel_of_record.find(record_id);
  if (it == state.jobs.cancel_of_record.end()) {
    return;
  }
  const std::uint64_t number = it->second.number;
  const stream::JobRow* row = stream::FindJob(state.jobs.fold, it->second.job);
  const bool effective =
      row != nullptr && row->standing == stream::JobStanding::kCancelled;
  state.jobs.cancel_of_record.erase(it);
  PendingCancel& pending = state.jobs.cancels.at(number);
  --pending.outstanding;
  switch (kind) {
    case stream::AppendNoticeKind::kAppended:
      ++(effective ? pending.reply.cancelled : pending.reply.already_final);
      break;
    case stream::AppendNoticeKind::kNotAppended:
      ++pending.refused;
      break;
    case stream::AppendNoticeKind::kUnknown:
      ++pending.unknown;
      break;
  }
  if (pending.outstanding == 0) {
    FinishCancel(state, pending);
    state.jobs.cancels.erase(number);
  }
}

}  // namespace shallotlug::entry
