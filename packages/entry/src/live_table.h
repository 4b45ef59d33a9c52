#ifndef SHALLOTLUG_ENTRY_SRC_LIVE_TABLE_H_
#define SHALLOTLUG_ENTRY_SRC_LIVE_TABLE_H_

#include <string>
#include <string_view>

#include "state.h"

namespace shallotlug::entry {

LiveRequest* FindRequest(State& state, const RequestId& id);

/// @brief Adds a request with its callers and its deadline timer.
LiveRequest& AddRequest(State& state, LiveRequest request);

/// @brief Moves a request to a new id.
LiveRequest& RenameRequest(State& state,
                           const RequestId& from,
                           const RequestId& to);

/// @brief Answers all callers and forgets the request.
void FinishAnswered(State& state, const RequestId& id, std::string body);
void FinishError(State& state,
                 const RequestId& id,
                 api::ErrorCode code,
                 std::string_view reason,
                 std::string_view message);

/// @brief Ends a request as "not run", which is a proven statement, or as
/// "outcome unknown" when an earlier id of the same call is unresolved.
void FinishNotRun(State& state, const RequestId& id, std::string_view reason);
void FinishUnknown(State& state, const RequestId& id, std::string_view reason);

/// @brief Forgets a request without an answer.
void DropRequest(State& state, const RequestId& id);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_LIVE_TABLE_H_
