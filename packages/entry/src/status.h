#ifndef SHALLOTLUG_ENTRY_SRC_STATUS_H_
#define SHALLOTLUG_ENTRY_SRC_STATUS_H_

#include "state.h"

namespace shallotlug::entry {

void OnStatus(State& state, CallId call);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_STATUS_H_
