#ifndef SHALLOTLUG_ENTRY_SRC_LOG_H_
#define SHALLOTLUG_ENTRY_SRC_LOG_H_

#include "state.h"

namespace shallotlug::entry {

void OnLogRead(State& state, const stream::LogReadResult& read);
void OnLogAppend(State& state, const stream::LogAppendResult& result);

/// @brief Starts due reads and appends, and expires overdue ones.
void RunLogIo(State& state);

/// @brief Whether the last reads of the configuration and the jobs succeeded.
bool LogAvailable(const State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_LOG_H_
