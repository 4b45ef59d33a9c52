#include <gtest/gtest.h>

#include "test_state.h"

namespace shallotlug::decision {
namespace {

constexpr int kClusters = 500;
constexpr int kStatesPerCluster = 20;

struct Tally {
  int states = 0;
  int missing = 0;
  std::string first;
};

Tally CountMissedRequests(bool keep_guarantees) {
  Tally tally;
  for (int seed = 1; seed <= kClusters; ++seed) {
    TestState state(static_cast<std::uint64_t>(seed));
    state.options.keep_guarantees = keep_guarantees;
    for (int n = 0; n < kStatesPerCluster; ++n) {
      state.Advance();
      const std::vector<JobId> missing = state.RequestWholeGuarantee();
      ++tally.states;
      tally.missing += static_cast<int>(missing.size());
      if (!missing.empty() && tally.first.empty()) {
        tally.first = "seed " + std::to_string(seed) + ", state " +
                      std::to_string(n) + ": " + missing.front().value;
      }
    }
  }
  return tally;
}

// Guards P1: work that fills a guarantee, or sits where it cannot be stopped,
// must not delay the customer's own request past the first plan.
TEST(GuaranteeTest, WholeGuaranteeIsPlacedAtTheFirstPlanIn10000States) {
  const Tally tally = CountMissedRequests(true);
  EXPECT_EQ(tally.states, 10'000);
  EXPECT_EQ(tally.missing, 0) << tally.first;
}

// Guards the test above against states in which no work has to be stopped to
// honour a guarantee.
TEST(GuaranteeTest, WithoutGuaranteesTheSameRequestsAreMissed) {
  EXPECT_GT(CountMissedRequests(false).missing, 1000);
}

// Guards P2 and P5 in plans: no partial gangs, no overlapping work, and no stop
// of work that may not be stopped.
TEST(GuaranteeTest, PlansAreSoundInRandomStates) {
  for (int seed = 1; seed <= 300; ++seed) {
    TestState state(static_cast<std::uint64_t>(seed) * 7919);
    for (int n = 0; n < 20; ++n) {
      ASSERT_EQ(state.Advance(), "") << "seed " << seed << ", state " << n;
    }
  }
}

}  // namespace
}  // namespace shallotlug::decision
