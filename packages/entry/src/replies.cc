#include "replies.h"

#include <utility>

namespace shallotlug::entry {

void Reply(State& state, CallId call, api::Reply reply) {
  state.out.replies.push_back({call, std::move(reply)});
}

void ReplyError(State& state,
                CallId call,
                api::ErrorCode code,
                std::string_view reason,
                std::string message) {
  Count(state, "shallotlug_entry_error_replies_total", reason);
  api::ErrorReply reply;
  reply.code = code;
  reply.reason = std::string(reason);
  reply.message = std::move(message);
  Reply(state, call, std::move(reply));
}

void Count(State& state, std::string_view name) {
  state.counters.AddTo(name);
}

void Count(State& state, std::string_view name, std::string_view reason) {
  state.counters.AddTo(name, {{"reason", std::string(reason)}});
}

void Log(State& state,
         LogLevel level,
         std::string event,
         std::vector<Label> fields) {
  state.out.log_lines.push_back({level, std::move(event), std::move(fields)});
}

}  // namespace shallotlug::entry
