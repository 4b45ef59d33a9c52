#include "job_api.h"

#include <algorithm>
#include <utility>

#include "clocks.h"
#include "shallotlug/base/logging.h"

namespace shallotlug::service {

using net::ReadClock;

namespace {

// Callers time out after 3 s; an unknown outcome is reported before that.
constexpr Millis kCallDeadline{2'600};
// Leaves the rest of kCallDeadline for forwarding to another entry.
constexpr Millis kAppendDeadline{1'500};
// Responses with these statuses are retried at another entry.
constexpr int kNotRunStatus = 503;
constexpr int kOutcomeUnknownStatus = 504;
constexpr int kUnknownJobStatus = 410;
// Appends are refused without a try when the log was last read this long ago,
// or when reads have failed for this long: the outcome of a failed append is
// unknown, and a caller cannot repeat a request then, but can after a refusal.
constexpr Millis kStoreLostAfter{1'800};
constexpr Millis kStoreFailingFor{400};
// "Unknown job" is reported only if the log was read to its end this recently.
constexpr Millis kMaxStateAge{1'500};
constexpr Millis kRetryAfter{1'000};

void LogJobEvent(const char* event,
                 const JobId& job,
                 std::vector<Label> fields) {
  std::vector<Label> all{{"job", job.value}};
  all.insert(all.end(), std::make_move_iterator(fields.begin()),
             std::make_move_iterator(fields.end()));
  WriteLog({LogLevel::kInfo, event, std::move(all)});
}

bool IsFinal(workload::JobState state) {
  return state != workload::JobState::kQueued &&
         state != workload::JobState::kInProgress;
}

/// @brief Log fields for the properties that scheduling decisions depend on.
std::vector<Label> JobLabels(const workload::Job& job) {
  std::int64_t tasks = 0;
  std::int64_t accelerators = 0;
  Millis estimate{0};
  bool gang = false;
  bool same_rack = false;
  bool saves_checkpoints = false;
  for (const workload::Step& it : job.steps) {
    tasks += it.count;
    accelerators = std::max(accelerators, it.count * it.need.accelerators);
    estimate += it.estimate;
    gang = gang || it.gang;
    same_rack = same_rack || it.same_rack;
    saves_checkpoints = saves_checkpoints || it.saves_checkpoints;
  }
  return {{"queue", job.queue},
          {"priority", std::to_string(job.terms.priority)},
          {"customer", job.customer.value},
          {"steps", std::to_string(job.steps.size())},
          {"tasks", std::to_string(tasks)},
          {"widest_step_accelerators", std::to_string(accelerators)},
          {"estimate_ms", std::to_string(estimate.count())},
          {"gang", gang ? "true" : "false"},
          {"same_rack", same_rack ? "true" : "false"},
          {"saves", saves_checkpoints ? "true" : "false"}};
}

net::HttpResponse ResponseFor(Stored stored) {
  switch (stored) {
    case Stored::kYes:
      return platform::AcceptedReply();
    case Stored::kNo:
      return platform::UnavailableReply("store_refused", kRetryAfter);
    case Stored::kUnknown:
      return platform::OutcomeUnknownReply();
  }
  return platform::OutcomeUnknownReply();
}

/// @brief Whether a peer's response may be returned to the caller. If the
/// outcome of the local append is unknown, only a success may, and "unknown
/// job", which acknowledges a cancel: the job may be stored even though the
/// peer rejects the request.
bool CanReturnPeerResponse(
    const std::optional<net::HttpResponse>& local_response,
    const net::HttpResponse& peer_response) {
  return !local_response || local_response->status != kOutcomeUnknownStatus ||
         peer_response.status == 200 ||
         peer_response.status == kUnknownJobStatus;
}

}  // namespace

JobApi::JobApi(JobApiState state) : state_(std::move(state)) {}

bool JobApi::IsLogCurrent(Millis age) const {
  const auto at = state_.log_caught_up_at();
  return at && ReadClock() - *at <= age;
}

bool JobApi::IsStoreLost() const {
  return !IsLogCurrent(kStoreLostAfter) ||
         state_.store_unavailable_for() >= kStoreFailingFor;
}

void JobApi::Handle(const net::HttpRequest& request, Reply reply) {
  const TimePoint deadline = ReadClock() + kCallDeadline;
  if (!state_.store_available()) {
    Forward(request, deadline, std::nullopt, std::move(reply));
    return;
  }
  ServeLocally(request, [this, request, deadline, reply = std::move(reply)](
                            net::HttpResponse local_response) {
    if (local_response.status == kNotRunStatus ||
        local_response.status == kOutcomeUnknownStatus) {
      Forward(request, deadline, std::move(local_response), reply);
    } else {
      reply(std::move(local_response));
    }
  });
}

void JobApi::HandleForPeer(const net::HttpRequest& request, Reply reply) {
  const auto forwarded = DecodeForwarded(request);
  if (!forwarded) {
    reply(net::ErrorResponse(400, "invalid", "malformed",
                             "the target begins with no version"));
    return;
  }
  if (forwarded->min_policy_version > state_.policy.version) {
    reply(platform::UnavailableReply("configuration_behind", kRetryAfter));
    return;
  }
  ServeLocally(forwarded->request,
               [this, reply = std::move(reply)](net::HttpResponse response) {
                 response.headers.push_back(
                     {kPolicyHeader, std::to_string(state_.policy.version)});
                 reply(std::move(response));
               });
}

void JobApi::Forward(const net::HttpRequest& request,
                     TimePoint deadline,
                     std::optional<net::HttpResponse> local_response,
                     Reply reply) {
  state_.peers.Forward(
      request, deadline,
      [this, request, local_response = std::move(local_response),
       reply = std::move(reply)](PeerRelay::Outcome outcome) {
        if (outcome.response &&
            CanReturnPeerResponse(local_response, *outcome.response)) {
          reply(std::move(*outcome.response));
        } else if (outcome.ambiguous) {
          reply(platform::OutcomeUnknownReply());
        } else if (local_response) {
          reply(*local_response);
        } else {
          ServeLocally(request, reply);
        }
      });
}

void JobApi::ServeLocally(const net::HttpRequest& request, Reply reply) {
  if (state_.policy.version == 0 || !state_.log_caught_up_at()) {
    reply(platform::UnavailableReply("starting", kRetryAfter));
    return;
  }
  if (state_.policy.version < state_.peers.MinPolicyVersion()) {
    reply(platform::UnavailableReply("configuration_behind", kRetryAfter));
    return;
  }
  platform::JobCall call = platform::DecodeJobCall(state_.policy, request);
  if (auto* submit = std::get_if<platform::SubmitCall>(&call)) {
    Submit(std::move(*submit), reply);
  } else if (const auto* it = std::get_if<platform::CancelCall>(&call)) {
    Cancel(*it, reply);
  } else if (const auto* it = std::get_if<platform::StateCall>(&call)) {
    QueryState(*it, reply);
  } else if (const auto* it = std::get_if<platform::PendingCall>(&call)) {
    reply(platform::PendingReply(PendingJobs(state_.ledger, it->queue)));
  } else {
    const auto& fault = std::get<platform::CallFault>(call);
    state_.counters.AddTo("shallotlug_calls_refused_total",
                          {{"reason", fault.reason}});
    reply(platform::FaultReply(fault));
  }
}

void JobApi::Submit(platform::SubmitCall call, const Reply& reply) {
  const JobId id = call.job.id;
  if (StateOf(state_.ledger, id)) {
    LogJobEvent("job_repeated", id, {});
    reply(platform::AcceptedReply());
    return;
  }
  if (IsStoreLost()) {
    LogJobEvent("job_not_accepted", id, {{"reason", "store_lost"}});
    reply(platform::UnavailableReply("store_lost", kRetryAfter));
    return;
  }
  const scheduler::Now now = ReadBothClocks();
  call.job.accepted_at = now.wall;
  std::vector<Label> job_labels = JobLabels(call.job);
  workload::RawRecord record =
      workload::Encode(workload::JobAccepted{std::move(call.job)});
  if (!state_.records.Accepts(record)) {
    LogJobEvent("job_not_accepted", id, {{"reason", "record_too_large"}});
    state_.counters.AddTo("shallotlug_calls_refused_total",
                          {{"reason", "job_too_large"}});
    reply(platform::FaultReply({400, "job_too_large",
                                "the store does not take a job of this size: "
                                "use fewer steps or a shorter spec"}));
    return;
  }
  state_.records.Append(
      std::move(record), now.local + kAppendDeadline,
      [this, id, job_labels = std::move(job_labels), reply,
       began = now.local](Stored stored) {
        std::vector<Label> fields{
            {"outcome", Name(stored)},
            {"policy", std::to_string(state_.policy.version)},
            {"took_ms", std::to_string((ReadClock() - began).count())}};
        fields.insert(fields.end(), job_labels.begin(), job_labels.end());
        LogJobEvent("job_submitted", id, std::move(fields));
        state_.counters.AddTo("shallotlug_jobs_submitted_total",
                              {{"outcome", Name(stored)}});
        state_.histograms.Observe("shallotlug_job_call_seconds",
                                  {{"call", "submit"}}, ReadClock() - began);
        reply(ResponseFor(stored));
      });
}

void JobApi::Cancel(const platform::CancelCall& call, const Reply& reply) {
  const auto state = StateOf(state_.ledger, call.job);
  if (state && IsFinal(*state)) {
    reply(platform::AcceptedReply());
    return;
  }
  if (IsStoreLost()) {
    reply(platform::UnavailableReply("store_lost", kRetryAfter));
    return;
  }
  if (state) {
    CancelKnownJob(call.job, reply);
    return;
  }
  // Another entry may have accepted the job a moment ago. A caller that hears
  // of no such job takes it for ended.
  state_.read_to_end([this, job = call.job, reply](bool current) {
    if (StateOf(state_.ledger, job)) {
      CancelKnownJob(job, reply);
    } else if (current) {
      CancelUnknownJob(job, reply);
    } else {
      reply(platform::UnavailableReply("store_lost", kRetryAfter));
    }
  });
}

void JobApi::CancelKnownJob(const JobId& job, const Reply& reply) {
  AppendCancel(job, [job, reply](Stored stored) {
    LogJobEvent("job_cancel_requested", job, {{"outcome", Name(stored)}});
    reply(ResponseFor(stored));
  });
}

void JobApi::CancelUnknownJob(const JobId& job, const Reply& reply) {
  if (workload::IsCancelledEarly(state_.ledger, job)) {
    LogJobEvent("job_to_cancel_unknown", job, {{"outcome", "repeated"}});
    reply(platform::UnknownJobReply());
    return;
  }
  if (workload::CountEarlyCancels(state_.ledger, ReadBothClocks().wall) >=
      workload::kMaxEarlyCancels) {
    LogJobEvent("job_to_cancel_unknown", job, {{"outcome", "too_many"}});
    state_.counters.AddTo("shallotlug_calls_refused_total",
                          {{"reason", "too_many_unknown_cancels"}});
    reply(platform::UnavailableReply("too_many_unknown_cancels", kRetryAfter));
    return;
  }
  AppendCancel(job, [this, job, reply](Stored stored) {
    LogJobEvent("job_to_cancel_unknown", job, {{"outcome", Name(stored)}});
    // The job may have been read while its cancel was stored.
    const bool known = StateOf(state_.ledger, job).has_value();
    reply(stored == Stored::kYes && !known ? platform::UnknownJobReply()
                                           : ResponseFor(stored));
  });
}

void JobApi::AppendCancel(const JobId& job,
                          std::function<void(Stored)> handler) {
  const scheduler::Now now = ReadBothClocks();
  state_.records.Append(
      workload::Encode(workload::JobCancelled{job, now.wall}),
      now.local + kAppendDeadline,
      [this, began = now.local, handler = std::move(handler)](Stored stored) {
        state_.histograms.Observe("shallotlug_job_call_seconds",
                                  {{"call", "cancel"}}, ReadClock() - began);
        handler(stored);
      });
}

// A caller that waits for the end of its job should not see it later because
// this entry reads the log at intervals.
void JobApi::QueryState(const platform::StateCall& call, const Reply& reply) {
  const auto state = StateOf(state_.ledger, call.job);
  if (state && IsFinal(*state)) {
    reply(platform::StateReply(*state));
    return;
  }
  state_.refresh([this, job = call.job, reply] { ReplyState(job, reply); });
}

void JobApi::ReplyState(const JobId& job, const Reply& reply) {
  const auto state = StateOf(state_.ledger, job);
  if (state) {
    reply(platform::StateReply(*state));
  } else if (IsLogCurrent(kMaxStateAge)) {
    reply(platform::UnknownJobReply());
  } else {
    reply(platform::UnavailableReply("store_lost", kRetryAfter));
  }
}

}  // namespace shallotlug::service
