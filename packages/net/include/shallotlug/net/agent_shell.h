#ifndef SHALLOTLUG_NET_AGENT_SHELL_H_
#define SHALLOTLUG_NET_AGENT_SHELL_H_

#include "shallotlug/settings/settings.h"

namespace shallotlug::net {

/// @brief Runs an agent until a graceful shutdown (SIGTERM or SIGINT) has
/// finished; a second signal ends it at once.
/// @return 0, or 1 when a listener cannot be opened.
int RunAgent(const settings::AgentSettings& settings);

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_AGENT_SHELL_H_
