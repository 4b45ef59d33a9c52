#ifndef SHALLOTLUG_AGENT_SRC_MEMBER_STATUS_H_
#define SHALLOTLUG_AGENT_SRC_MEMBER_STATUS_H_

#include <string>

#include "state.h"

namespace shallotlug::agent {

/// @brief Reason with which a member asks its coordinator to move the attempt
/// elsewhere.
constexpr const char* kLeavingReason = "leaving";

/// @brief Sends the state of a member to its coordinator.
void SendStatus(State& state,
                const Attempt& attempt,
                const Member& member,
                TimePoint now,
                Outbox& out);

/// @brief Answers a message about an attempt that this agent does not hold.
void SendRefusal(State& state,
                 LinkId link,
                 const Attempt& attempt,
                 std::uint32_t round,
                 const std::string& reason,
                 TimePoint now,
                 Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_MEMBER_STATUS_H_
