#include "live_table.h"

#include <utility>

#include "burn.h"
#include "replies.h"
#include "retry_budget.h"

namespace shallotlug::entry {

LiveRequest* FindRequest(State& state, const RequestId& id) {
  const auto it = state.requests.find(id);
  return it == state.requests.end() ? nullptr : &it->second;
}

LiveRequest& AddRequest(State& state, LiveRequest request) {
  const RequestId id = request.id;
  for (const CallId call : request.callers) {
    state.request_of_call[call] = id;
  }
  state.request_timers.Add(request.deadline, id);
  return state.requests.insert_or_assign(id, std::move(request)).first->second;
}

LiveRequest& RenameRequest(State& state,
                           const RequestId& from,
                           const RequestId& to) {
  auto node = state.requests.extract(from);
  node.key() = to;
  node.mapped().id = to;
  for (const CallId call : node.mapped().callers) {
    state.request_of_call[call] = to;
  }
  state.request_timers.Add(node.mapped().deadline, to);
  return state.requests.insert(std::move(node)).position->second;
}

void FinishAnswered(State& state, const RequestId& id, std::string body) {
  const LiveRequest* request = FindRequest(state, id);
  const bool met = state.now <= request->accepted + request->target;
  Count(state, "shallotlug_entry_live_answers_total", met ? "in_time" : "late");
  CreditRetries(state);
  RecordBurn(state, request->request_class, request->customer, met);
  decision::Learn(state.jobs.run_times, request->request_class, Millis(0),
                  state.now - request->accepted);
  for (const CallId call : request->callers) {
    Reply(state, call, api::AnswerReply{id, body});
  }
  DropRequest(state, id);
}

void FinishError(State& state,
                 const RequestId& id,
                 api::ErrorCode code,
                 std::string_view reason,
                 std::string_view message) {
  const LiveRequest* request = FindRequest(state, id);
  Count(state, "shallotlug_entry_error_replies_total", reason);
  if (!request->resolve_only && code != api::ErrorCode::kConflict) {
    RecordBurn(state, request->request_class, request->customer, false);
  }
  for (const CallId call : request->callers) {
    api::ErrorReply reply;
    reply.code = code;
    reply.reason = std::string(reason);
    reply.message = std::string(message);
    reply.id = id;
    Reply(state, call, std::move(reply));
  }
  DropRequest(state, id);
}

void FinishNotRun(State& state, const RequestId& id, std::string_view reason) {
  if (FindRequest(state, id)->has_unresolved_id) {
    FinishUnknown(state, id, "earlier_attempt_unknown");
    return;
  }
  FinishError(state, id, api::ErrorCode::kNotRun, reason,
              "the request was not run and will not run; it is safe to send "
              "it again");
}

void FinishUnknown(State& state, const RequestId& id, std::string_view reason) {
  FinishError(state, id, api::ErrorCode::kOutcomeUnknown, reason,
              "the request may have run or may still run; resolve it by its "
              "id");
}

void DropRequest(State& state, const RequestId& id) {
  const auto it = state.requests.find(id);
  if (it == state.requests.end()) {
    return;
  }
  for (const CallId call : it->second.callers) {
    state.request_of_call.erase(call);
  }
  state.requests.erase(it);
}

}  // namespace shallotlug::entry
