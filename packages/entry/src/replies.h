#ifndef SHALLOTLUG_ENTRY_SRC_REPLIES_H_
#define SHALLOTLUG_ENTRY_SRC_REPLIES_H_

#include <string>
#include <string_view>

#include "state.h"

namespace shallotlug::entry {

/// @brief Answers a call.
void Reply(State& state, CallId call, api::Reply reply);

/// @brief Answers a call with an error and counts it by its reason.
void ReplyError(State& state,
                CallId call,
                api::ErrorCode code,
                std::string_view reason,
                std::string message);

void Count(State& state, std::string_view name);
void Count(State& state, std::string_view name, std::string_view reason);

void Log(State& state,
         LogLevel level,
         std::string event,
         std::vector<Label> fields);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_REPLIES_H_
