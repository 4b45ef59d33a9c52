#include "retry_budget.h"

#include <algorithm>

#include "replies.h"

namespace shallotlug::entry {
namespace {

// Caps the tokens, so that successes of a quiet period cannot fund a later
// retry storm.
constexpr double kMaxTokens = 100;

void Refill(State& state) {
  RetryBudget& budget = state.retry_budget;
  const double seconds =
      std::chrono::duration<double>(state.now - budget.refilled).count();
  const double floor = state.options.retry_floor_per_second;
  // The floor alone accumulates for one second at most.
  if (budget.tokens < floor) {
    budget.tokens = std::min(floor, budget.tokens + seconds * floor);
  }
  budget.refilled = state.now;
}

}  // namespace

void CreditRetries(State& state) {
  Refill(state);
  state.retry_budget.tokens =
      std::min(std::max(kMaxTokens, state.options.retry_floor_per_second),
               state.retry_budget.tokens + state.options.retry_share);
}

bool TakeRetry(State& state) {
  Refill(state);
  if (state.retry_budget.tokens < 1) {
    Count(state, "shallotlug_entry_retries_refused_total");
    return false;
  }
  state.retry_budget.tokens -= 1;
  Count(state, "shallotlug_entry_retries_total");
  return true;
}

}  // namespace shallotlug::entry
