#ifndef SHALLOTLUG_AGENT_SRC_GANG_MESSAGES_H_
#define SHALLOTLUG_AGENT_SRC_GANG_MESSAGES_H_

#include "state.h"

/// Delivery between coordinators and members, over links or within this agent.
namespace shallotlug::agent {

/// @brief Link number of messages from this agent to itself.
constexpr LinkId kLocalLink{};

/// @brief Sends to a member; drops the message when there is no link.
void SendToMember(State& state,
                  const JobMember& member,
                  Message message,
                  Outbox& out);

/// @brief Sends on the link on which the coordinator sent its last message.
void SendToCoordinator(State& state, LinkId link, Message message, Outbox& out);

/// @brief Asks for links to the members of all attempts that need them.
void RequestMemberLinks(State& state, TimePoint now);

/// @brief Sends the next round at once when a member's link comes up.
void OnMemberLinkUp(State& state, const std::string& address, TimePoint now);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_GANG_MESSAGES_H_
