#include "known_requests.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "backend_tasks.h"
#include "links.h"
#include "live_queue.h"
#include "log.h"

namespace shallotlug::agent {
namespace {

// Size of the answers cached for repeated calls. The agent's budget is 128 MB
// in total; the oldest answers beyond this size are dropped and reported as
// unknown.
constexpr std::size_t kAnswerBytesLimit = 32U << 20U;

void DropOldestAnswer(State& state) {
  Live& live = state.live;
  const auto it = live.known.find(live.answered.front());
  live.answered.pop_front();
  if (it == live.known.end()) {
    return;
  }
  RequestOutcome& outcome = it->second.outcome;
  live.answer_bytes -= outcome.answer.size();
  RequestOutcome dropped;
  dropped.id = outcome.id;
  dropped.reason = "answer_dropped";
  outcome = std::move(dropped);
  state.counters.AddTo("shallotlug_agent_answers_dropped_total");
}

void CacheAnswer(State& state, const RequestOutcome& outcome) {
  if (outcome.answer.empty()) {
    return;
  }
  state.live.answered.push_back(outcome.id);
  state.live.answer_bytes += outcome.answer.size();
  while (state.live.answer_bytes > kAnswerBytesLimit &&
         state.live.answered.size() > 1) {
    DropOldestAnswer(state);
  }
}

const char* NameOf(RequestResult result) {
  switch (result) {
    case RequestResult::kAnswered:
      return "answered";
    case RequestResult::kFailed:
      return "failed";
    case RequestResult::kNotRun:
      return "not_run";
    case RequestResult::kRunning:
      return "running";
    case RequestResult::kUnknown:
      return "unknown";
    case RequestResult::kConflict:
      return "conflict";
  }
  return "";
}

void EraseRequest(State& state, std::map<RequestId, LiveRequest>::iterator it) {
  Live& live = state.live;
  live.answer_bytes -= it->second.outcome.answer.size();
  live.known.erase(it);
  // Ids of other erased requests are removed when they reach the front.
  while (!live.answered.empty() &&
         !live.known.contains(live.answered.front())) {
    live.answered.pop_front();
  }
}

void EndExpired(State& state,
                const RequestId& id,
                LiveRequest& request,
                Outbox& out) {
  if (request.stage == LiveStage::kQueued) {
    RemoveFromQueue(state, id);
    Refuse(state, id, "expired", out);
  } else if (request.stage == LiveStage::kRunning && !request.cancelled) {
    request.cancelled = true;
    ControlTaskById(state, request.task, TaskAction::kStop, out);
  }
}

}  // namespace

std::uint64_t HashOf(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

LiveRequest* FindRequest(State& state, const RequestId& id) {
  if (!state.options.guards.remember_requests) {
    return nullptr;
  }
  const auto it = state.live.known.find(id);
  return it == state.live.known.end() ? nullptr : &it->second;
}

bool RefusedWithoutRecord(const State& state, const RequestId& id) {
  return id.expires <= state.live.refused_through;
}

LiveRequest* AddRequest(State& state,
                        const RequestId& id,
                        LiveRequest request,
                        Outbox& out) {
  Live& live = state.live;
  if (live.known.size() >= state.options.known_request_limit) {
    if (live.refused_through == PeerTime{}) {
      Log(out, LogLevel::kWarning, "request_table_full");
    }
    live.refused_through = std::max(live.refused_through, id.expires);
    state.counters.AddTo("shallotlug_agent_live_refused_total",
                         {{"reason", "table_full"}});
    return nullptr;
  }
  return &live.known.insert_or_assign(id, std::move(request)).first->second;
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
  state.counters.AddTo("shallotlug_agent_live_outcomes_total",
                       {{"result", NameOf(request.outcome.result)}});
  for (const LinkId link : std::exchange(request.listeners, {})) {
    SendOn(state, link, request.outcome, out);
  }
  CacheAnswer(state, request.outcome);
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

// Ids of one incarnation are sorted by their expiry, so that the scan ends at
// the first id that has not expired.
void EraseExpiredRequests(State& state, TimePoint now, Outbox& out) {
  auto it = state.live.known.begin();
  while (it != state.live.known.end() && it->first.expires <= AsPeerTime(now)) {
    const auto expired = it++;
    EndExpired(state, expired->first, expired->second, out);
    if (expired->second.stage == LiveStage::kDone) {
      EraseRequest(state, expired);
    }
  }
}

}  // namespace shallotlug::agent
