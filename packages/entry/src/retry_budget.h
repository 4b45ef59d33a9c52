#ifndef SHALLOTLUG_ENTRY_SRC_RETRY_BUDGET_H_
#define SHALLOTLUG_ENTRY_SRC_RETRY_BUDGET_H_

#include "state.h"

namespace shallotlug::entry {

/// @brief Adds `retry_share` tokens to the budget for a successful request.
void CreditRetries(State& state);

/// @brief Takes one retry from the budget; false when it is used up.
bool TakeRetry(State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_RETRY_BUDGET_H_
