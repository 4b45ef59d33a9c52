#ifndef SHALLOTLUG_AGENT_SRC_WORKER_FAULT_H_
#define SHALLOTLUG_AGENT_SRC_WORKER_FAULT_H_

#include <string>

#include "state.h"

namespace shallotlug::agent {

/// @brief Whether a shutdown or a leaving backend server forbids new work.
inline bool RefusesAsLeaving(const State& state) {
  return Leaving(state) && state.options.guards.refuse_when_leaving;
}

/// @brief Why no new work of any kind may start now; empty when it may.
inline std::string WorkerFault(const State& state) {
  if (!state.backend.report_received) {
    return "starting";
  }
  if (RefusesAsLeaving(state)) {
    return "leaving";
  }
  return state.backend.reachable ? "" : "backend_unreachable";
}

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_WORKER_FAULT_H_
