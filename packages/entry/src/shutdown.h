#ifndef SHALLOTLUG_ENTRY_SRC_SHUTDOWN_H_
#define SHALLOTLUG_ENTRY_SRC_SHUTDOWN_H_

#include "state.h"

namespace shallotlug::entry {

void BeginShutdown(State& state);

/// @brief Whether nothing in flight would be interrupted by an exit.
bool MayExit(const State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_SHUTDOWN_H_
