#include "live_requests.h"

#include <algorithm>
#include <utility>

#include "backend_tasks.h"
#include "known_requests.h"
#include "links.h"
#include "live_queue.h"

namespace shallotlug::agent {
namespace {

void AddListener(LiveRequest& request, LinkId link) {
  if (std::find(request.listeners.begin(), request.listeners.end(), link) ==
      request.listeners.end()) {
    request.listeners.push_back(link);
  }
}

void Reply(State& state,
           LinkId link,
           const RequestId& id,
           RequestResult result,
           const std::string& reason,
           Outbox& out) {
  RequestOutcome outcome;
  outcome.id = id;
  outcome.result = result;
  outcome.reason = reason;
  SendOn(state, link, std::move(outcome), out);
}

// Sends the recorded outcome, or says that there is none yet and sends it
// later.
void ReplyWithRecord(State& state,
                     LinkId link,
                     const RequestId& id,
                     LiveRequest& request,
                     Outbox& out) {
  if (request.stage == LiveStage::kDone) {
    SendOn(state, link, request.outcome, out);
    return;
  }
  AddListener(request, link);
  Reply(state, link, id, RequestResult::kRunning, "", out);
}

// Why this agent cannot say anything about an unknown id; empty when it can.
// An id of an earlier incarnation, or one that has expired, may have been
// started and its record dropped.
std::string UnknownReason(const State& state,
                          const RequestId& id,
                          TimePoint now) {
  if (state.options.guards.check_incarnation &&
      id.agent != state.options.self) {
    return "other_incarnation";
  }
  return id.expires <= AsPeerTime(now) ? "expired" : "";
}

bool Conflicts(const LiveRequest& known, const StartRequest& message) {
  return known.customer != message.customer ||
         (known.body_hash && *known.body_hash != HashOf(message.body));
}

LiveRequest NewRequest(const StartRequest& message) {
  LiveRequest request;
  request.customer = message.customer;
  request.request_class = message.request_class;
  request.body_hash = HashOf(message.body);
  request.stage = LiveStage::kQueued;
  request.start_before = std::min(AsLocalTime(message.start_before),
                                  AsLocalTime(message.id.expires) - Millis{1});
  request.finish_before = AsLocalTime(message.finish_before);
  request.accelerators = std::max(0, message.accelerators);
  request.body = message.body;
  return request;
}

void OnRepeatedStart(State& state,
                     LinkId link,
                     const StartRequest& message,
                     LiveRequest& known,
                     Outbox& out) {
  if (Conflicts(known, message)) {
    state.counters.AddTo("shallotlug_agent_live_conflicts_total");
    Reply(state, link, message.id, RequestResult::kConflict, "conflict", out);
    return;
  }
  state.counters.AddTo("shallotlug_agent_live_duplicates_total");
  ReplyWithRecord(state, link, message.id, known, out);
}

void OnNewStart(State& state,
                LinkId link,
                const StartRequest& message,
                TimePoint now,
                Outbox& out) {
  LiveRequest* request =
      AddRequest(state, message.id, NewRequest(message), out);
  if (request == nullptr) {
    Reply(state, link, message.id, RequestResult::kNotRun, "table_full", out);
    return;
  }
  AddListener(*request, link);
  const std::string reason = AdmissionFault(state, *request, now);
  if (!reason.empty()) {
    Refuse(state, message.id, reason, out);
    return;
  }
  state.counters.AddTo("shallotlug_agent_live_accepted_total");
  Enqueue(state, message.id, *request);
}

// Records a refusal of an id that was never sent here for a start.
void RefuseUnknown(State& state,
                   LinkId link,
                   const ResolveRequest& message,
                   Outbox& out) {
  LiveRequest record;
  record.customer = message.customer;
  LiveRequest* request = AddRequest(state, message.id, std::move(record), out);
  if (request == nullptr) {
    Reply(state, link, message.id, RequestResult::kNotRun, "table_full", out);
    return;
  }
  AddListener(*request, link);
  Refuse(state, message.id, "resolved", out);
}

void ResolveKnown(State& state,
                  LinkId link,
                  const ResolveRequest& message,
                  LiveRequest& known,
                  Outbox& out) {
  if (known.customer != message.customer) {
    state.counters.AddTo("shallotlug_agent_live_conflicts_total");
    Reply(state, link, message.id, RequestResult::kConflict, "conflict", out);
    return;
  }
  if (known.stage == LiveStage::kQueued) {
    RemoveFromQueue(state, message.id);
    AddListener(known, link);
    Refuse(state, message.id, message.cancel ? "cancelled" : "resolved", out);
    return;
  }
  if (known.stage == LiveStage::kRunning && message.cancel &&
      !known.cancelled) {
    known.cancelled = true;
    state.counters.AddTo("shallotlug_agent_live_cancels_total");
    ControlTaskById(state, known.task, TaskAction::kStop, out);
  }
  ReplyWithRecord(state, link, message.id, known, out);
}

RequestOutcome AnswerOutcome(const TaskEvent& event) {
  RequestOutcome outcome;
  if (event.answer.size() != event.answer_length) {
    outcome.result = RequestResult::kFailed;
    outcome.reason = "answer_incomplete";
    return outcome;
  }
  outcome.result = RequestResult::kAnswered;
  outcome.answer = event.answer;
  outcome.answer_length = event.answer_length;
  outcome.answer_hash = HashOf(event.answer);
  return outcome;
}

RequestOutcome OutcomeOf(const LiveRequest& request, const TaskEvent& event) {
  RequestOutcome outcome;
  outcome.reason = event.reason;
  switch (event.kind) {
    case TaskEventKind::kFinished:
      return AnswerOutcome(event);
    case TaskEventKind::kRejected:
      outcome.result = RequestResult::kNotRun;
      outcome.reason = event.reason.empty() ? "rejected" : event.reason;
      return outcome;
    case TaskEventKind::kFailed:
      outcome.result = RequestResult::kFailed;
      return outcome;
    case TaskEventKind::kStopped:
    case TaskEventKind::kCheckpointed:
      outcome.result =
          request.cancelled ? RequestResult::kFailed : RequestResult::kUnknown;
      outcome.reason = request.cancelled ? "cancelled" : "stopped";
      return outcome;
    case TaskEventKind::kLapsed:
    case TaskEventKind::kStarted:
      break;
  }
  outcome.result = RequestResult::kUnknown;
  outcome.reason = event.reason.empty() ? "lease_lapsed" : event.reason;
  return outcome;
}

}  // namespace

void OnStartRequest(State& state,
                    LinkId link,
                    const StartRequest& message,
                    TimePoint now,
                    Outbox& out) {
  if (LiveRequest* known = FindRequest(state, message.id)) {
    OnRepeatedStart(state, link, message, *known, out);
    return;
  }
  const std::string unknown = UnknownReason(state, message.id, now);
  if (!unknown.empty()) {
    state.counters.AddTo("shallotlug_agent_live_unknown_ids_total",
                         {{"reason", unknown}});
    Reply(state, link, message.id, RequestResult::kUnknown, unknown, out);
    return;
  }
  if (RefusedWithoutRecord(state, message.id)) {
    state.counters.AddTo("shallotlug_agent_live_refused_total",
                         {{"reason", "table_full"}});
    Reply(state, link, message.id, RequestResult::kNotRun, "table_full", out);
    return;
  }
  OnNewStart(state, link, message, now, out);
}

void OnResolveRequest(State& state,
                      LinkId link,
                      const ResolveRequest& message,
                      TimePoint now,
                      Outbox& out) {
  state.counters.AddTo("shallotlug_agent_live_resolves_total");
  if (LiveRequest* known = FindRequest(state, message.id)) {
    ResolveKnown(state, link, message, *known, out);
    return;
  }
  const std::string unknown = UnknownReason(state, message.id, now);
  if (!unknown.empty()) {
    Reply(state, link, message.id, RequestResult::kUnknown, unknown, out);
    return;
  }
  if (RefusedWithoutRecord(state, message.id)) {
    Reply(state, link, message.id, RequestResult::kNotRun, "table_full", out);
    return;
  }
  RefuseUnknown(state, link, message, out);
}

void OnRequestTaskEnd(State& state,
                      const RequestId& id,
                      const TaskEvent& event,
                      TimePoint now,
                      Outbox& out) {
  const auto it = state.live.known.find(id);
  if (it == state.live.known.end() || it->second.stage != LiveStage::kRunning) {
    state.counters.AddTo("shallotlug_agent_late_answers_total");
    return;
  }
  if (event.kind == TaskEventKind::kFinished) {
    UpdateRunTimeEstimate(state, it->second.request_class,
                          now - it->second.started);
  }
  Complete(state, id, OutcomeOf(it->second, event), out);
}

}  // namespace shallotlug::agent
