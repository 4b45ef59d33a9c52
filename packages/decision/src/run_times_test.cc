#include "shallotlug/decision/run_times.h"

#include <gtest/gtest.h>

#include "random.h"

namespace shallotlug::decision {
namespace {

ClassName Name() {
  return ClassName("sweep");
}

// Guards against planning without any estimate for a new class.
TEST(RunTimesTest, DeclarationIsUsedUntilRunsAreSeen) {
  EXPECT_EQ(ExpectedRunTime({}, Name(), Millis(500)), Millis(500));
}

// Guards slack against declarations that are off by a factor of ten.
TEST(RunTimesTest, SystematicErrorOfTheDeclarationIsLearned) {
  RunTimes run_times;
  std::uint64_t random = 7;
  for (int n = 0; n < 50; ++n) {
    const Millis actual(1000 + NextRandom(random) % 100'000);
    Learn(run_times, Name(), actual * 10, actual);
  }
  const Millis expected = ExpectedRunTime(run_times, Name(), Millis(400'000));
  EXPECT_GT(expected, Millis(36'000));
  EXPECT_LT(expected, Millis(56'000));
}

// Guards against trusting declarations that carry no information.
TEST(RunTimesTest, RandomDeclarationsGiveWayToTheMedian) {
  RunTimes run_times;
  std::uint64_t random = 7;
  for (int n = 0; n < 100; ++n) {
    const Millis declared(100 + NextRandom(random) % 10'000);
    Learn(run_times, Name(), declared, Millis(1000));
  }
  const Millis expected = ExpectedRunTime(run_times, Name(), Millis(10'000));
  EXPECT_LT(expected, Millis(1200));
}

// Guards against estimates that keep the behaviour of an old program version.
TEST(RunTimesTest, OldRunsAreForgotten) {
  RunTimes run_times;
  for (int n = 0; n < 400; ++n) {
    Learn(run_times, Name(), Millis(0), Millis(n < 200 ? 10'000 : 100));
  }
  EXPECT_EQ(run_times.classes[Name()].p99, Millis(100));
}

}  // namespace
}  // namespace shallotlug::decision
