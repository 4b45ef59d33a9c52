#ifndef SHALLOTLUG_AGENT_SRC_LIVE_QUEUE_H_
#define SHALLOTLUG_AGENT_SRC_LIVE_QUEUE_H_

#include <string>

#include "state.h"

/// Admission of live requests and their bounded queue, in deadline order.
namespace shallotlug::agent {

int LiveRunning(const State& state);

/// @brief Expected wait of a live request behind `ahead` queued ones.
Millis ExpectedWait(const State& state, int accelerators, std::size_t ahead);

/// @brief Expected run time of a class; 0 when none has finished here.
Millis ExpectedRunTime(const State& state, const ClassName& name);

/// @brief Updates the moving average of a class with a finished request.
void UpdateRunTimeEstimate(State& state,
                           const ClassName& name,
                           Millis run_time);

/// @brief Why a new request is refused; empty when it is admitted.
std::string AdmissionFault(State& state,
                           const LiveRequest& request,
                           TimePoint now);

void Enqueue(State& state, const RequestId& id, const LiveRequest& request);
void RemoveFromQueue(State& state, const RequestId& id);

/// @brief Refuses queued requests that may not or cannot start any more.
void RefuseOverdueRequests(State& state, TimePoint now, Outbox& out);

/// @brief Starts queued requests in deadline order while they fit.
void StartQueuedRequests(State& state, TimePoint now, Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_LIVE_QUEUE_H_
