#ifndef SHALLOTLUG_AGENT_SRC_KNOWN_REQUESTS_H_
#define SHALLOTLUG_AGENT_SRC_KNOWN_REQUESTS_H_

#include <cstdint>
#include <string>

#include "state.h"

/// The table of known request ids. An id stays in it until it expires.
namespace shallotlug::agent {

std::uint64_t HashOf(const std::string& text);

/// @brief The record of an id, or null when it is not known.
LiveRequest* FindRequest(State& state, const RequestId& id);

/// @brief Whether an id that is not in the table counts as refused, because
/// ids were refused without a record while the table was full.
bool RefusedWithoutRecord(const State& state, const RequestId& id);

/// @brief Adds a record. Null when the table is full; the id and all unknown
/// ids that expire no later then count as refused.
LiveRequest* AddRequest(State& state,
                        const RequestId& id,
                        LiveRequest request,
                        Outbox& out);

/// @brief Records the outcome and sends it on every link that asked for it.
void Complete(State& state,
              const RequestId& id,
              RequestOutcome outcome,
              Outbox& out);

/// @brief Records that a known request which has not started never starts.
void Refuse(State& state,
            const RequestId& id,
            const std::string& reason,
            Outbox& out);

/// @brief Erases expired ids and stops requests whose ids have expired.
void EraseExpiredRequests(State& state, TimePoint now, Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_KNOWN_REQUESTS_H_
