#ifndef SHALLOTLUG_ENTRY_SRC_AGENTS_H_
#define SHALLOTLUG_ENTRY_SRC_AGENTS_H_

#include "state.h"

namespace shallotlug::entry {

/// @brief Registers an accepted link and greets the agent.
void OnLinkUp(State& state, const LinkUp& up);
void OnLinkDown(State& state, LinkId link);

/// @brief Registers an agent; refuses a second live incarnation of a name.
void OnAgentHello(State& state, LinkId link, const AgentHello& hello);
void OnAgentReport(State& state, LinkId link, const AgentReport& report);

/// @brief The agent behind a link; null before its hello.
Agent* AgentOfLink(State& state, LinkId link);

/// @brief The agent if this incarnation of it has an open link; otherwise null.
Agent* FindLinked(State& state, const AgentRef& ref);

/// @brief Whether the agent of this name is known with another incarnation.
bool HasOtherIncarnation(const State& state, const AgentRef& ref);

void SendTo(State& state, const Agent& agent, Message message);

/// @brief Closes links on which nothing was received for `link_silence_limit`.
void CloseSilentLinks(State& state);

/// @brief Removes agents that are unlinked and were last heard more than
/// `request_id_lifetime` ago. A request id may live that long, so the agent it
/// names must stay known until then.
void RemoveExpiredAgents(State& state);

/// @brief Sends heartbeats, and the configuration to agents that lack it.
void SendHeartbeats(State& state);
void PushConfig(State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_AGENTS_H_
