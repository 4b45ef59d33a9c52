#include "shallotlug/standin/load.h"

#include <gtest/gtest.h>

namespace shallotlug::standin {
namespace {

// Guards against runs that cannot be repeated, and against a wrong rate.
TEST(LoadTest, ArrivalsRepeatForASeed) {
  LoadOptions options;
  options.rate = 100;
  options.duration = std::chrono::seconds(100);
  const auto times = ArrivalTimes(options);
  EXPECT_EQ(times, ArrivalTimes(options));
  EXPECT_NEAR(static_cast<double>(times.size()), 10'000, 400);
  options.seed = 2;
  EXPECT_NE(times, ArrivalTimes(options));
}

// Guards against failures that improve the latency of the summary.
TEST(LoadTest, SummarizesAnsweredRequestsOnly) {
  const std::vector<LoadSample> samples = {{{}, Millis(10), "answered", 1},
                                           {{}, Millis(90), "answered", 1},
                                           {{}, Millis(1), "not_run", 1}};
  const LoadSummary summary = Summarize(samples, Millis(50));
  EXPECT_EQ(summary.results.at("not_run"), 1);
  EXPECT_EQ(summary.in_target, 1);
  EXPECT_EQ(summary.slowest, Millis(90));
}

}  // namespace
}  // namespace shallotlug::standin
