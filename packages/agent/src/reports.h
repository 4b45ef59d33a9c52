#ifndef SHALLOTLUG_AGENT_SRC_REPORTS_H_
#define SHALLOTLUG_AGENT_SRC_REPORTS_H_

#include "state.h"

/// Reports of this agent to entries.
namespace shallotlug::agent {

/// @brief Introduces this agent on a new link to an entry and reports to it.
void SendHello(State& state, LinkId link, TimePoint now, Outbox& out);

/// @brief Reports to all entries when a heartbeat is due or when what can be
/// started has changed.
void SendDueReports(State& state, TimePoint now, Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_REPORTS_H_
