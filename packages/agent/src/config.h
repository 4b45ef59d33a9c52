#ifndef SHALLOTLUG_AGENT_SRC_CONFIG_H_
#define SHALLOTLUG_AGENT_SRC_CONFIG_H_

#include <cstdint>

#include "state.h"

/// The configuration in force at this agent.
namespace shallotlug::agent {

/// @brief Takes a newer configuration; an older one is ignored.
void OnConfigUpdate(State& state, const ConfigUpdate& message, Outbox& out);

/// @brief Sends the configuration to an entry that has an older one.
void OnEntryRevision(State& state,
                     LinkId link,
                     std::uint64_t revision,
                     Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_CONFIG_H_
