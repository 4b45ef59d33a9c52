#include "shallotlug/stream/append_queue.h"

#include <gtest/gtest.h>

namespace shallotlug::stream {
namespace {

class AppendQueueTest : public testing::Test {
 protected:
  AppendQueueTest() { queue.options.stream = "s"; }

  void Put(const std::string& id, TimePoint give_up_at = TimePoint::max()) {
    ASSERT_TRUE(Add(queue, {{id, "data"}, give_up_at}));
  }

  void End(AppendOutcome outcome) {
    OnAppendResult(queue, {queue.open_token, outcome}, now, notices);
  }

  AppendQueue queue;
  TimePoint now{Millis(1000)};
  std::vector<AppendNotice> notices;
};

// Guards against two appends at once, whose order at the log is undefined.
TEST_F(AppendQueueTest, BatchesRecordsAndKeepsOneAppendOpen) {
  Put("a");
  Put("b");
  const auto append = NextAppend(queue, 1, now);
  ASSERT_TRUE(append);
  EXPECT_EQ(append->records.size(), 2U);
  Put("c");
  EXPECT_FALSE(NextAppend(queue, 2, now));
  End(AppendOutcome::kAppended);
  EXPECT_EQ(notices.size(), 2U);
  EXPECT_TRUE(NextAppend(queue, 2, now));
}

// Guards against a record being appended twice although the first append took
// effect.
TEST_F(AppendQueueTest, AmbiguousAppendIsLookedUpFirst) {
  Put("a");
  Put("b");
  ASSERT_TRUE(NextAppend(queue, 1, now));
  End(AppendOutcome::kUnknown);
  EXPECT_FALSE(NextAppend(queue, 2, now));
  OnReadBack(queue, {{0, "a", "data"}}, false, now, notices);
  EXPECT_FALSE(NextAppend(queue, 2, now));
  // A read that began before the ambiguity proves nothing.
  OnReadBack(queue, {}, true, now - Millis(1), notices);
  EXPECT_FALSE(NextAppend(queue, 2, now));
  OnReadBack(queue, {}, true, now, notices);
  const auto append = NextAppend(queue, 2, now);
  ASSERT_TRUE(append);
  ASSERT_EQ(append->records.size(), 1U);
  EXPECT_EQ(append->records[0].id, "b");
  ASSERT_EQ(notices.size(), 1U);
  EXPECT_EQ(notices[0].kind, AppendNoticeKind::kAppended);
}

// Guards against "not accepted" being reported for a record that may appear.
TEST_F(AppendQueueTest, GivesUpAsUnknownAfterAnAmbiguousAppend) {
  Put("a", now + Millis(100));
  Put("b", now + Millis(100));
  queue.options.records_per_append = 1;
  ASSERT_TRUE(NextAppend(queue, 1, now));
  End(AppendOutcome::kUnknown);
  Expire(queue, now + Millis(100), notices);
  ASSERT_EQ(notices.size(), 2U);
  EXPECT_EQ(notices[0].record_id, "b");
  EXPECT_EQ(notices[0].kind, AppendNoticeKind::kNotAppended);
  EXPECT_EQ(notices[1].kind, AppendNoticeKind::kUnknown);
}

// Guards against unbounded memory during an outage of the log.
TEST_F(AppendQueueTest, RefusesBeyondItsLimit) {
  queue.options.queue_limit = 1;
  Put("a");
  EXPECT_FALSE(Add(queue, {{"b", "data"}}));
}

}  // namespace
}  // namespace shallotlug::stream
