#ifndef SHALLOTLUG_ENTRY_SRC_SNAPSHOTS_H_
#define SHALLOTLUG_ENTRY_SRC_SNAPSHOTS_H_

#include "state.h"

namespace shallotlug::entry {

/// @brief Writes the configuration and live jobs again well before retention
/// drops their records. Only the responsible entry does.
void WriteSnapshots(State& state);

/// @brief Notes the position of the job stream, for the age of its records.
void RecordOffset(State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_SNAPSHOTS_H_
