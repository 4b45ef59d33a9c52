#ifndef SHALLOTLUG_ENTRY_SRC_SNAPSHOTS_H_
#define SHALLOTLUG_ENTRY_SRC_SNAPSHOTS_H_

#include "state.h"

namespace shallotlug::entry {

/// @brief Writes snapshots of the configuration and the live jobs well before
/// retention drops their records. Only the responsible entry writes them.
void WriteSnapshots(State& state);

/// @brief Samples the job stream offset, to estimate the age of its records.
void RecordOffset(State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_SNAPSHOTS_H_
