#ifndef SHALLOTLUG_AGENT_SRC_LIVE_REQUESTS_H_
#define SHALLOTLUG_AGENT_SRC_LIVE_REQUESTS_H_

#include <string>

#include "state.h"

/// Messages and task events of live requests. Each id starts at most once.
namespace shallotlug::agent {

void OnStartRequest(State& state,
                    LinkId link,
                    const StartRequest& message,
                    TimePoint now,
                    Outbox& out);

/// @brief Answers with the final outcome, or with kRunning. An id that has not
/// started is recorded as refused.
void OnResolveRequest(State& state,
                      LinkId link,
                      const ResolveRequest& message,
                      TimePoint now,
                      Outbox& out);

void OnRequestTaskEnd(State& state,
                      const RequestId& id,
                      const TaskEvent& event,
                      TimePoint now,
                      Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_LIVE_REQUESTS_H_
