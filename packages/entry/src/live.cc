#include "live.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "agents.h"
#include "cluster_sync.h"
#include "live_table.h"
#include "random.h"
#include "replies.h"
#include "retry_budget.h"
#include "routing.h"

namespace shallotlug::entry {
namespace {

// Wait for the answer to a ResolveRequest: a round trip plus one agent tick.
constexpr Millis kResolveTimeout{1500};
// Added to the target as the timeout of a call without one: a late answer is
// worth more to the caller than an unknown outcome.
constexpr Millis kDefaultGrace{2000};
// Number of times that a damaged answer is requested again.
constexpr int kMaxDamagedAnswers = 3;

std::uint64_t Hash(const std::string& text) {
  return XXH64(text.data(), text.size(), 0);
}

RequestId MintId(State& state, const Agent& agent) {
  RequestId id;
  id.agent = agent.ref;
  id.expires =
      ToPeerTime(agent.clock, state.now + state.options.request_id_lifetime);
  id.random = {NextRandom(state.random), NextRandom(state.random)};
  return id;
}

// The live class of a customer; answers the call and returns null when there
// is none.
const ClassTarget* FindLiveClass(State& state,
                                 CallId call,
                                 const CustomerName& customer,
                                 const ClassName& name) {
  const VersionedTarget* it =
      stream::FindTarget(stream::Current(state.config), name);
  if (it == nullptr || it->target.customer != customer) {
    ReplyError(state, call, api::ErrorCode::kNotFound, "unknown_class",
               "customer " + customer.value + " has no class " + name.value);
    return nullptr;
  }
  if (it->target.kind != WorkKind::kLive) {
    ReplyError(state, call, api::ErrorCode::kInvalid, "batch_class",
               "class " + name.value + " takes long jobs only");
    return nullptr;
  }
  return &it->target;
}

// Rejects the call if this entry is shutting down or full; nothing is sent
// then. For a minted id, `code` must not be kNotRun, because another entry may
// have sent the id.
bool Admit(State& state, CallId call, api::ErrorCode code) {
  const char* reason = nullptr;
  if (state.shutting_down) {
    reason = "shutting_down";
  } else if (state.requests.size() >= state.options.pending_request_limit) {
    reason = "entry_full";
  }
  if (reason != nullptr) {
    ReplyError(state, call, code, reason,
               "the entry takes no more requests; try another one");
  }
  return reason == nullptr;
}

LiveRequest MakeRequest(const State& state,
                        CallId call,
                        const ClassTarget& target,
                        Millis timeout) {
  LiveRequest request;
  request.customer = target.customer;
  request.request_class = target.name;
  request.accelerators = target.accelerators;
  request.target = target.finish_within;
  request.accepted = state.call_arrived;
  request.deadline =
      state.call_arrived +
      (timeout > Millis(0) ? timeout : target.finish_within + kDefaultGrace);
  request.callers = {call};
  return request;
}

void SendStart(State& state, LiveRequest& request, Agent& agent) {
  const PeerTime deadline = ToPeerTime(agent.clock, request.deadline);
  SendTo(state, agent,
         StartRequest{request.id, request.customer, request.request_class,
                      deadline, deadline, request.accelerators,
                      request.repeatable, request.body});
  request.sent = true;
  request.sent_on = agent.link;
  request.sent_at = state.now;
  RecordSent(state, agent);
  Count(state, "shallotlug_entry_live_sent_total");
}

void SendResolve(State& state, LiveRequest& request) {
  const Agent* agent = FindLinked(state, request.id.agent);
  if (agent == nullptr) {
    return;
  }
  request.sent_on = agent->link;
  SendTo(state, *agent,
         ResolveRequest{request.id, request.customer, request.cancel});
  Count(state, "shallotlug_entry_live_resolves_total");
}

// Retries a one-shot request at another agent; returns false if no retry is
// possible.
bool RetryElsewhere(State& state, const RequestId& id) {
  LiveRequest* request = FindRequest(state, id);
  if (!request->one_shot || state.now >= request->deadline) {
    return false;
  }
  request->tried_agents.push_back(id.agent.name);
  Agent* agent = PickAgent(state, request->accelerators, request->tried_agents);
  if (agent == nullptr || !TakeRetry(state)) {
    return false;
  }
  LiveRequest& moved = RenameRequest(state, id, MintId(state, *agent));
  moved.damaged_answers = 0;
  moved.newest_attempt = 0;
  SendStart(state, moved, *agent);
  return true;
}

// A request that may have run is repeated only when its caller allows it.
bool MayRepeat(const State& state, const LiveRequest& request) {
  return request.one_shot &&
         (request.repeatable || !state.options.guards.never_retry_unrepeatable);
}

void EndUnknown(State& state, const RequestId& id, std::string_view reason) {
  LiveRequest* request = FindRequest(state, id);
  if (MayRepeat(state, *request)) {
    const bool before = request->has_unresolved_id;
    request->has_unresolved_id = true;
    if (RetryElsewhere(state, id)) {
      return;
    }
    FindRequest(state, id)->has_unresolved_id = before;
  }
  FinishUnknown(state, id, reason);
}

void EndNotRun(State& state, const RequestId& id, std::string_view reason) {
  if (!RetryElsewhere(state, id)) {
    FinishNotRun(state, id, reason);
  }
}

// Adds a call to the pending request with the same id.
void JoinRequest(State& state,
                 CallId call,
                 LiveRequest& request,
                 const api::SendCall& send) {
  if (request.resolve_only || request.customer != send.customer ||
      request.body_hash != Hash(send.body)) {
    ReplyError(state, call, api::ErrorCode::kConflict, "id_reused",
               "this request id is in use with another body or customer");
    return;
  }
  request.callers.push_back(call);
  state.request_of_call[call] = request.id;
  Count(state, "shallotlug_entry_live_joined_total");
}

// Why the agent of a minted id cannot be reached; empty if it can.
std::string_view UnreachableReason(State& state, const RequestId& id) {
  if (FindLinked(state, id.agent) != nullptr) {
    return "";
  }
  return HasOtherIncarnation(state, id.agent) ? "agent_restarted"
                                              : "agent_unreachable";
}

// Another entry may have sent a minted id, so "not run" cannot be proven here.
void ReplyUnreachable(State& state, CallId call, const RequestId& id) {
  const std::string_view reason = UnreachableReason(state, id);
  Count(state, "shallotlug_entry_error_replies_total", reason);
  api::ErrorReply reply;
  reply.code = api::ErrorCode::kOutcomeUnknown;
  reply.reason = std::string(reason);
  reply.message = "this entry cannot reach the agent of the request";
  reply.id = id;
  Reply(state, call, std::move(reply));
}

bool IsIntact(const State& state, const RequestOutcome& outcome) {
  return !state.options.guards.check_answer_length ||
         (outcome.answer_length == outcome.answer.size() &&
          outcome.answer_hash == Hash(outcome.answer));
}

// The request that an outcome belongs to, or null.
LiveRequest* FindMatchingRequest(State& state,
                                 LinkId link,
                                 const RequestOutcome& outcome) {
  const Agent* agent = AgentOfLink(state, link);
  if (agent == nullptr) {
    return nullptr;
  }
  if (!state.options.guards.match_answers) {
    for (auto& [id, request] : state.requests) {
      if (id.agent.name == agent->ref.name) {
        return &request;
      }
    }
    return nullptr;
  }
  LiveRequest* request = FindRequest(state, outcome.id);
  const bool fits = request != nullptr && agent->ref == outcome.id.agent &&
                    outcome.attempt >= request->newest_attempt;
  return fits ? request : nullptr;
}

void RecordLiveResult(State& state, const AgentName& agent, bool success) {
  const decision::HealthState before = decision::StateOf(state.health, agent);
  decision::RecordOutcome(state.health, agent, {}, success, state.now);
  const auto it = state.agents.find(agent);
  if (it == state.agents.end()) {
    return;
  }
  ++(success ? it->second.own_finished : it->second.own_failed);
  if (decision::StateOf(state.health, agent) != before) {
    RefreshCandidate(state, it->second);
    SyncWorker(state, it->second);
  }
}

void OnDamagedAnswer(State& state, LiveRequest& request) {
  Count(state, "shallotlug_entry_damaged_answers_total");
  if (++request.damaged_answers >= kMaxDamagedAnswers) {
    FinishUnknown(state, request.id, "answer_damaged");
    return;
  }
  SendResolve(state, request);
}

void OnStillRunning(State& state, LiveRequest& request) {
  if (request.resolving || request.resolve_only) {
    FinishUnknown(state, request.id, "running");
  }
}

void HandleOutcome(State& state,
                   LiveRequest& request,
                   const RequestOutcome& outcome) {
  const RequestId id = request.id;
  switch (outcome.result) {
    case RequestResult::kAnswered:
      RecordLiveResult(state, id.agent.name, true);
      FinishAnswered(state, id, outcome.answer);
      break;
    case RequestResult::kFailed:
      // A cancelled request says nothing about its worker.
      if (outcome.reason != "cancelled") {
        RecordLiveResult(state, id.agent.name, false);
      }
      FinishError(state, id, api::ErrorCode::kFailed,
                  outcome.reason.empty() ? "failed" : outcome.reason,
                  "the backend server ran the request and reported a failure");
      break;
    case RequestResult::kNotRun:
      EndNotRun(state, id, outcome.reason.empty() ? "refused" : outcome.reason);
      break;
    case RequestResult::kRunning:
      OnStillRunning(state, request);
      break;
    case RequestResult::kUnknown:
      EndUnknown(state, id,
                 outcome.reason.empty() ? "lost_at_worker" : outcome.reason);
      break;
    case RequestResult::kConflict:
      FinishError(state, id, api::ErrorCode::kConflict, "id_reused",
                  "this request id is in use with another body or customer");
      break;
  }
}

// Ids sort by agent first, so that this does not visit other agents' requests.
std::vector<RequestId> RequestsAt(const State& state, const AgentName& name) {
  RequestId first;
  first.agent.name = name;
  first.expires = PeerTime::min();
  std::vector<RequestId> ids;
  for (auto it = state.requests.lower_bound(first);
       it != state.requests.end() && it->first.agent.name == name; ++it) {
    ids.push_back(it->first);
  }
  return ids;
}

void OnDeadline(State& state, LiveRequest& request) {
  Count(state, "shallotlug_entry_live_deadlines_passed_total");
  if (!state.options.guards.not_run_needs_proof) {
    FinishNotRun(state, request.id, "deadline");
    return;
  }
  request.resolving = true;
  request.give_up_at = state.now + kResolveTimeout;
  state.request_timers.Add(request.give_up_at, request.id);
  SendResolve(state, request);
}

}  // namespace

void OnMint(State& state, CallId call, const api::MintCall& mint) {
  const ClassTarget* target =
      FindLiveClass(state, call, mint.customer, mint.request_class);
  if (target == nullptr || !Admit(state, call, api::ErrorCode::kNotRun)) {
    return;
  }
  const Agent* agent = PickAgent(state, target->accelerators, {});
  if (agent == nullptr) {
    ReplyError(state, call, api::ErrorCode::kNotRun, "no_worker",
               "no worker takes live requests now");
    return;
  }
  Count(state, "shallotlug_entry_minted_total");
  Reply(
      state, call,
      api::MintReply{MintId(state, *agent), state.options.request_id_lifetime});
}

void OnSend(State& state, CallId call, const api::SendCall& send) {
  const ClassTarget* target =
      FindLiveClass(state, call, send.customer, send.request_class);
  if (target == nullptr) {
    return;
  }
  if (LiveRequest* request = FindRequest(state, send.id)) {
    JoinRequest(state, call, *request, send);
    return;
  }
  if (!Admit(state, call, api::ErrorCode::kNotAccepted)) {
    return;
  }
  Agent* agent = FindLinked(state, send.id.agent);
  if (agent == nullptr) {
    ReplyUnreachable(state, call, send.id);
    return;
  }
  LiveRequest request = MakeRequest(state, call, *target, send.timeout);
  request.id = send.id;
  request.repeatable = send.repeatable;
  request.body = send.body;
  request.body_hash = Hash(send.body);
  SendStart(state, AddRequest(state, std::move(request)), *agent);
}

void OnOneShot(State& state, CallId call, const api::OneShotCall& one_shot) {
  const ClassTarget* target =
      FindLiveClass(state, call, one_shot.customer, one_shot.request_class);
  if (target == nullptr || !Admit(state, call, api::ErrorCode::kNotRun)) {
    return;
  }
  Agent* agent = PickAgent(state, target->accelerators, {});
  if (agent == nullptr) {
    ReplyError(state, call, api::ErrorCode::kNotRun, "no_worker",
               "no worker takes live requests now");
    return;
  }
  LiveRequest request = MakeRequest(state, call, *target, one_shot.timeout);
  request.id = MintId(state, *agent);
  request.one_shot = true;
  request.repeatable = one_shot.repeatable;
  request.body = one_shot.body;
  request.body_hash = Hash(one_shot.body);
  SendStart(state, AddRequest(state, std::move(request)), *agent);
}

void OnResolve(State& state, CallId call, const api::ResolveCall& resolve) {
  LiveRequest* known = FindRequest(state, resolve.id);
  if (known != nullptr && known->customer != resolve.customer) {
    ReplyError(state, call, api::ErrorCode::kConflict, "id_reused",
               "this request id belongs to another customer");
    return;
  }
  if (known != nullptr) {
    known->callers.push_back(call);
    known->cancel = known->cancel || resolve.cancel;
    state.request_of_call[call] = resolve.id;
    SendResolve(state, *known);
    return;
  }
  if (FindLinked(state, resolve.id.agent) == nullptr) {
    ReplyUnreachable(state, call, resolve.id);
    return;
  }
  LiveRequest request;
  request.id = resolve.id;
  request.resolve_only = true;
  request.customer = resolve.customer;
  request.cancel = resolve.cancel;
  request.resolving = true;
  request.accepted = state.now;
  request.deadline = state.now + kResolveTimeout;
  request.give_up_at = request.deadline;
  request.callers = {call};
  SendResolve(state, AddRequest(state, std::move(request)));
}

void OnRequestOutcome(State& state,
                      LinkId link,
                      const RequestOutcome& outcome) {
  LiveRequest* request = FindMatchingRequest(state, link, outcome);
  if (request == nullptr) {
    Count(state, "shallotlug_entry_unmatched_answers_total");
    return;
  }
  if (outcome.result == RequestResult::kAnswered && !IsIntact(state, outcome)) {
    OnDamagedAnswer(state, *request);
    return;
  }
  request->newest_attempt = std::max(request->newest_attempt, outcome.attempt);
  HandleOutcome(state, *request, outcome);
}

void OnAgentUnlinked(State& state, const Agent& agent) {
  for (const RequestId& id : RequestsAt(state, agent.ref.name)) {
    LiveRequest* request = FindRequest(state, id);
    if (id.agent != agent.ref || request->resolving ||
        !MayRepeat(state, *request)) {
      continue;
    }
    const bool before = request->has_unresolved_id;
    request->has_unresolved_id = true;
    if (!RetryElsewhere(state, id)) {
      FindRequest(state, id)->has_unresolved_id = before;
    }
  }
}

void OnAgentLinked(State& state, const Agent& agent, bool new_incarnation) {
  for (const RequestId& id : RequestsAt(state, agent.ref.name)) {
    LiveRequest* request = FindRequest(state, id);
    if (id.agent != agent.ref) {
      EndUnknown(state, id, "agent_restarted");
    } else if (!new_incarnation && request->sent_on != agent.link) {
      SendResolve(state, *request);
    }
  }
}

void OnCallerGone(State& state, CallId call) {
  const auto it = state.request_of_call.find(call);
  if (it == state.request_of_call.end()) {
    return;
  }
  Count(state, "shallotlug_entry_callers_gone_total");
  LiveRequest* request = FindRequest(state, it->second);
  state.request_of_call.erase(it);
  std::erase(request->callers, call);
  if (!request->callers.empty()) {
    return;
  }
  // The answer of a one-shot request can no longer be fetched, because its id
  // was never returned to the caller.
  if (request->one_shot) {
    request->cancel = true;
    SendResolve(state, *request);
  }
  DropRequest(state, RequestId(request->id));
}

void HandleRequestTimers(State& state) {
  while (const auto id = state.request_timers.TakeDue(state.now)) {
    LiveRequest* request = FindRequest(state, *id);
    if (request == nullptr) {
      continue;
    }
    if (request->resolving) {
      if (state.now >= request->give_up_at) {
        FinishUnknown(state, *id, "deadline");
      }
    } else if (state.now >= request->deadline) {
      OnDeadline(state, *request);
    }
  }
}

}  // namespace shallotlug::entry
