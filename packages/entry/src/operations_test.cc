#include "test_support.h"

namespace shallotlug::entry {
namespace {

class OperationsTest : public EntryTest {
 protected:
  void SetUp() override {
    Run();
    Call(900, SetTarget("c1", LiveTarget()));
    Connect(1, "a1");
  }

  void Shutdown() {
    Inbox inbox;
    inbox.shutdown_requested = true;
    Run(inbox);
  }
};

// Guards against a shutdown dropping an in-flight request or accepting new
// work.
TEST_F(OperationsTest, ShutdownDrainsAndRefusesNewWork) {
  Call(1, OneShot());
  Shutdown();
  EXPECT_FALSE(Ready(Entry()));
  EXPECT_FALSE(may_exit);
  Call(2, OneShot());
  EXPECT_EQ(ErrorOf(2), api::ErrorCode::kNotRun);
  Call(3, Submit("k"));
  EXPECT_EQ(ErrorOf(3), api::ErrorCode::kNotFound);
  Call(4, SetTarget("c2", BatchTarget()));
  EXPECT_EQ(ErrorOf(4), api::ErrorCode::kNotAccepted);
  Receive(1, Answer(LastSent<StartRequest>()->id, "card"));
  Run();
  EXPECT_NE(ReplyOf<api::AnswerReply>(1), nullptr);
  EXPECT_TRUE(may_exit);
}

// Guards against rejecting a call that arrived before the shutdown request.
TEST_F(OperationsTest, CallArrivingWithShutdownIsAccepted) {
  Inbox inbox;
  inbox.shutdown_requested = true;
  inbox.calls.push_back({CallId{1}, OneShot()});
  Run(inbox);
  EXPECT_EQ(CountSent<StartRequest>(), 1U);
  EXPECT_FALSE(may_exit);
}

// Guards against an entry that never exits because the log is down.
TEST_F(OperationsTest, ShutdownDoesNotWaitForTheLog) {
  log_up = false;
  Wait(Millis(1000));
  Shutdown();
  Advance(Millis(1000));
  EXPECT_TRUE(may_exit);
}

// Guards against two entries planning, or none after one has stopped.
TEST_F(OperationsTest, OnlyOneOfTwoEntriesPlans) {
  std::uint64_t next_call = 100;
  const auto planner = [&] {
    Call(++next_call, api::StatusCall{});
    return ReplyOf<api::StatusReply>(next_call)->planner;
  };
  EXPECT_TRUE(planner());
  StatePtr first = std::move(entry);
  options.self.name = EntryName("e2");
  Run();
  const bool second_plans = planner();
  StatePtr second = std::exchange(entry, std::move(first));
  Wait(Millis(600));
  EXPECT_NE(planner(), second_plans);
  EXPECT_EQ(ReplyOf<api::StatusReply>(next_call)->entries.size(), 2U);
  // The other entry stops announcing itself.
  Wait(Millis(31'000));
  EXPECT_TRUE(planner());
}

// Guards against a burn report that misses late or refused requests, or counts
// them after their window.
TEST_F(OperationsTest, BurnCountsLateAndRefusedRequestsInItsWindows) {
  Call(1, OneShot());
  Receive(1, Answer(LastSent<StartRequest>()->id, "card"));
  Call(2, OneShot());
  Wait(Millis(2100));
  Receive(1, Answer(LastSent<StartRequest>()->id, "late"));
  Call(3, OneShot());
  Receive(1, Outcome(LastSent<StartRequest>()->id, RequestResult::kNotRun));
  Call(4, api::BurnCall{});
  const api::BurnRow row = ReplyOf<api::BurnReply>(4)->rows.at(0);
  EXPECT_EQ(row.five_minutes.total, 3);
  EXPECT_EQ(row.five_minutes.met, 1);
  Wait(Millis(310'000));
  Call(5, api::BurnCall{});
  const api::BurnRow later = ReplyOf<api::BurnReply>(5)->rows.at(0);
  EXPECT_EQ(later.five_minutes.total, 0);
  EXPECT_EQ(later.one_hour.total, 3);
  EXPECT_EQ(later.six_hours.total, 3);
}

// Guards against the configuration being dropped by log retention.
TEST_F(OperationsTest, ConfigurationIsSnapshottedBeforeRetention) {
  entry.reset();
  options.log_retention = Millis(60'000);
  Run();
  Wait(Millis(40'000));
  int snapshots = 0;
  for (const stream::LogRecord& it : log[stream::kConfigStream]) {
    const stream::ConfigRecord record = stream::ParseConfigRecord(it.data);
    snapshots +=
        std::holds_alternative<stream::TargetSnapshotRecord>(record) ? 1 : 0;
  }
  EXPECT_EQ(snapshots, 1);
}

// Guards against a worker that fails every request attracting live requests.
TEST_F(OperationsTest, WorkerThatFailsEveryRequestIsQuarantined) {
  for (std::uint64_t n = 1; n <= 5; ++n) {
    Call(n, OneShot());
    Receive(1, Outcome(LastSent<StartRequest>()->id, RequestResult::kFailed));
    Receive(1, Report());
  }
  Call(10, OneShot());
  EXPECT_EQ(ErrorOf(10), api::ErrorCode::kNotRun);
  Call(11, api::StatusCall{});
  EXPECT_TRUE(ReplyOf<api::StatusReply>(11)->workers.at(0).quarantined);
}

}  // namespace
}  // namespace shallotlug::entry
