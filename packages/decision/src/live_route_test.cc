#include "shallotlug/decision/live_route.h"

#include <gtest/gtest.h>

namespace shallotlug::decision {
namespace {

LiveCandidate Usable(int free, int capacity) {
  LiveCandidate it;
  it.usable = true;
  it.free = free;
  it.live_capacity = capacity;
  return it;
}

// Guards P6 and quarantine: no request goes to an agent that must get none.
TEST(LiveRouteTest, UnusableAndProbingAgentsAreNotChosen) {
  std::vector<LiveCandidate> candidates(8);
  candidates[2] = Usable(8, 8);
  candidates[2].probing = true;
  candidates[5] = Usable(1, 1);
  std::uint64_t random = 1;
  for (int n = 0; n < 200; ++n) {
    EXPECT_EQ(RouteLive(candidates, 1, random), 5U);
  }
  candidates[5].usable = false;
  candidates[2].in_flight = 1;
  EXPECT_EQ(RouteLive(candidates, 1, random), std::nullopt);
  EXPECT_EQ(RouteLive({}, 1, random), std::nullopt);
}

// Guards against throttling long jobs while other workers are idle.
TEST(LiveRouteTest, IdleWorkerComesBeforeThrottling) {
  std::vector<LiveCandidate> candidates(4, Usable(0, 8));
  candidates[1] = candidates[3] = Usable(8, 8);
  std::uint64_t random = 1;
  int throttled = 0;
  for (int n = 0; n < 1000; ++n) {
    throttled += candidates[*RouteLive(candidates, 1, random)].free == 0;
  }
  EXPECT_LT(throttled, 10);
}

// Guards against all entries sending to one idle agent at once.
TEST(LiveRouteTest, EqualAgentsShareTheLoad) {
  const std::vector<LiveCandidate> candidates(10, Usable(8, 8));
  std::vector<int> counts(10);
  std::uint64_t random = 1;
  for (int n = 0; n < 10'000; ++n) {
    ++counts[*RouteLive(candidates, 1, random)];
  }
  for (const int it : counts) {
    EXPECT_GT(it, 700);
  }
}

}  // namespace
}  // namespace shallotlug::decision
