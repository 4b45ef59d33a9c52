#ifndef SHALLOTLUG_ENTRY_SRC_BURN_H_
#define SHALLOTLUG_ENTRY_SRC_BURN_H_

#include "state.h"

namespace shallotlug::entry {

/// @brief Counts a live request or job of a class against its target.
void RecordBurn(State& state,
                const ClassName& name,
                const CustomerName& customer,
                bool met);

/// @brief Counts a job whose final record was written by this entry.
void RecordJobBurn(State& state,
                   const JobId& job,
                   const PendingRecord& pending);

void OnBurn(State& state, CallId call);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_BURN_H_
