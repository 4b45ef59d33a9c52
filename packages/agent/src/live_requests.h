#ifndef SHALLOTLUG_AGENT_SRC_LIVE_REQUESTS_H_
#define SHALLOTLUG_AGENT_SRC_LIVE_REQUESTS_H_

#include <string>

#include "state.h"

/// The table of known request ids: each starts at most once, and its outcome
/// is kept until the id expires.
namespace shallotlug::agent {

void OnStartRequest(State& state,
                    LinkId link,
                    const StartRequest& message,
                    TimePoint now,
                    Outbox& out);

void OnRequestTaskEnd(State& state,
                      const RequestId& id,
                      const TaskEvent& event,
                      TimePoint now,
                      Outbox& out);

/// @brief Records that a request which has not started never will.
void Refuse(State& state,
            const RequestId& id,
            const std::string& reason,
            Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_LIVE_REQUESTS_H_
