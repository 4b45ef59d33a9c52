#include "shallotlug/joblog/response_timer.h"

#include <gtest/gtest.h>

namespace shallotlug::joblog {
namespace {

// Guards against detecting an outage of the store seconds late because timeouts
// are much longer than the store's response times.
TEST(ResponseTimerTest, ShortensTheTimeoutForAFastStore) {
  ResponseTimer timer;
  for (int n = 0; n < 50; ++n) {
    timer.OnAnswer(Millis(5));
  }
  EXPECT_LE(timer.Timeout(), Millis(300));
}

// Guards against timing out every call to a store that is slow but available.
TEST(ResponseTimerTest, ExtendsTheTimeoutForASlowStore) {
  ResponseTimer timer;
  for (int n = 0; n < 50; ++n) {
    timer.OnAnswer(Millis(5));
  }
  timer.OnTimeout();
  timer.OnTimeout();
  EXPECT_GE(timer.Timeout(), Millis(1'000));
  timer.OnAnswer(Millis(700));
  EXPECT_GT(timer.Timeout(), Millis(700));
}

TEST(ResponseTimerTest, LimitsTheTimeout) {
  ResponseTimer timer;
  timer.OnAnswer(Millis(9'000));
  for (int n = 0; n < 40; ++n) {
    timer.OnTimeout();
  }
  EXPECT_LE(timer.Timeout(), Millis(1'500));
}

}  // namespace
}  // namespace shallotlug::joblog
