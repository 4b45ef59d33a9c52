#include "live_requests.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "links.h"
#include "live_queue.h"

namespace shallotlug::agent {
namespace {

std::uint64_t HashOf(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

void Listen(LiveRequest& request, LinkId link) {
  if (std::find(request.listeners.begin(), request.listeners.end(), link) ==
      request.listeners.end()) {
    request.listeners.push_back(link);
  }
}

void Complete(State& state,
              const RequestId& id,
              RequestOutcome outcome,
              Outbox& out) {
  LiveRequest& request = state.live.known[id];
  outcome.id = id;
  request.stage = LiveStage::kDone;
  request.body.clear();
  request.outcome = std::move(outcome);
  for (const LinkId link : std::exchange(request.listeners, {})) {
    SendOn(state, link, request.outcome, out);
  }
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

RequestOutcome OutcomeOf(const TaskEvent& event) {
  RequestOutcome outcome;
  outcome.reason = event.reason;
  switch (event.kind) {
    case TaskEventKind::kFinished:
      return AnswerOutcome(event);
    case TaskEventKind::kRejected:
      outcome.result = RequestResult::kNotRun;
      return outcome;
    case TaskEventKind::kFailed:
      outcome.result = RequestResult::kFailed;
      return outcome;
    default:
      outcome.result = RequestResult::kUnknown;
      return outcome;
  }
}

LiveRequest NewRequest(const StartRequest& message) {
  LiveRequest request;
  request.customer = message.customer;
  request.request_class = message.request_class;
  request.body_hash = HashOf(message.body);
  request.stage = LiveStage::kQueued;
  request.start_before = AsLocalTime(message.start_before);
  request.finish_before = AsLocalTime(message.finish_before);
  request.accelerators = message.accelerators;
  request.body = message.body;
  return request;
}

}  // namespace

void OnStartRequest(State& state,
                    LinkId link,
                    const StartRequest& message,
                    TimePoint,
                    Outbox& out) {
  if (const auto it = state.live.known.find(message.id);
      it != state.live.known.end()) {
    if (it->second.stage == LiveStage::kDone) {
      SendOn(state, link, it->second.outcome, out);
    } else {
      Listen(it->second, link);
    }
    return;
  }
  LiveRequest& request = state.live.known[message.id] = NewRequest(message);
  Listen(request, link);
  if (!state.backend.reachable) {
    Refuse(state, message.id, "backend_unreachable", out);
    return;
  }
  Enqueue(state, message.id, request);
}

void OnRequestTaskEnd(State& state,
                      const RequestId& id,
                      const TaskEvent& event,
                      TimePoint now,
                      Outbox& out) {
  const auto it = state.live.known.find(id);
  if (it == state.live.known.end()) {
    return;
  }
  if (event.kind == TaskEventKind::kFinished) {
    LearnRunTime(state, it->second.request_class, now - it->second.started);
  }
  Complete(state, id, OutcomeOf(event), out);
}

void Refuse(State& state,
            const RequestId& id,
            const std::string& reason,
            Outbox& out) {
  RequestOutcome outcome;
  outcome.result = RequestResult::kNotRun;
  outcome.reason = reason;
  state.counters.AddTo("shallotlug_agent_live_refused_total",
                       {{"reason", reason}});
  Complete(state, id, std::move(outcome), out);
}

}  // namespace shallotlug::agent
