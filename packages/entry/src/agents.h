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

/// @brief The agent when this life of it has an open link; otherwise null.
Agent* FindLinked(State& state, const AgentRef& ref);

/// @brief Whether a newer life of the agent is known.
bool IsGone(const State& state, const AgentRef& ref);

void SendTo(State& state, const Agent& agent, Message message);

/// @brief Closes links without any message for the silence limit.
void CloseSilentLinks(State& state);

/// @brief Forgets agents that have been unlinked for as long as a request id
/// may live.
void ForgetAgents(State& state);

/// @brief Sends heartbeats, and the configuration to agents that lack it.
void SendHeartbeats(State& state);
void PushConfig(State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_AGENTS_H_
