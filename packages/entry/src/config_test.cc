#include "test_support.h"

namespace shallotlug::entry {
namespace {

class ConfigTest : public EntryTest {
 protected:
  void SetUp() override { Run(); }

  static ClassTarget Guaranteed(int groups) {
    ClassTarget target = BatchTarget();
    target.guarantee = {groups, 8, Adjacency::kWorker};
    return target;
  }
};

// Guards against a change being reported as accepted before it has won, and
// against a conflict that does not tell the losing operator what changed.
TEST_F(ConfigTest, FirstChangeWinsAndConflictNamesTheWinner) {
  Inbox inbox;
  inbox.calls.push_back({CallId{1}, SetTarget("c1", LiveTarget())});
  ClassTarget other = LiveTarget();
  other.finish_within = Millis(9000);
  inbox.calls.push_back({CallId{2}, SetTarget("c2", other)});
  Run(inbox);
  ASSERT_NE(ReplyOf<api::ChangeReply>(1), nullptr);
  EXPECT_TRUE(ReplyOf<api::ChangeReply>(1)->change.accepted);
  ASSERT_EQ(ErrorOf(2), api::ErrorCode::kConflict);
  EXPECT_NE(ReplyOf<api::ErrorReply>(2)->message.find("c1"), std::string::npos);
  Call(3, api::HistoryCall{ClassName("shade")});
  EXPECT_EQ(ReplyOf<api::HistoryReply>(3)->changes.size(), 2U);
  Call(4, api::GetChangeCall{"c2"});
  EXPECT_FALSE(ReplyOf<api::ChangeReply>(4)->change.accepted);
}

// Guards against a change id being evaluated twice when the operator retries
// after a lost answer.
TEST_F(ConfigTest, ChangeIdIsIdempotent) {
  Call(1, SetTarget("c1", LiveTarget()));
  Call(2, SetTarget("c1", LiveTarget()));
  EXPECT_TRUE(ReplyOf<api::ChangeReply>(2)->change.accepted);
  Call(3, SetTarget("c1", BatchTarget()));
  EXPECT_EQ(ErrorOf(3), api::ErrorCode::kConflict);
}

// Guards against a change that is accepted, or wrongly reported as rejected,
// during a log outage.
TEST_F(ConfigTest, LogOutageRejectsChangeAndAmbiguousAppendIsUnknown) {
  append_outcome = stream::AppendOutcome::kUnknown;
  store_appended = false;
  Call(1, SetTarget("c1", LiveTarget()));
  Advance(Millis(2100));
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kOutcomeUnknown);
  log_up = false;
  Advance(Millis(600));
  Call(2, SetTarget("c2", LiveTarget()));
  EXPECT_EQ(ErrorOf(2), api::ErrorCode::kNotAccepted);
  EXPECT_TRUE(CurrentTargets(Entry()).entries.empty());
}

// Guards against agents keeping an old configuration.
TEST_F(ConfigTest, NewRevisionIsPushedToEveryAgent) {
  Connect(1, "a1");
  Connect(2, "a2");
  Call(1, SetTarget("c1", LiveTarget()));
  EXPECT_EQ(CountSent<ConfigUpdate>(), 2U);
  EXPECT_EQ(LastSent<ConfigUpdate>()->revision, 1U);
  // A lost update is sent again until the agent reports the revision.
  Advance(Millis(2100));
  EXPECT_EQ(CountSent<ConfigUpdate>(), 4U);
}

// Guards against an entry without access to the log keeping a configuration
// that is older than that of its agents.
TEST_F(ConfigTest, NewerConfigurationFromAgentIsAdoptedAndKept) {
  log_up = false;
  Connect(1, "a1");
  ConfigUpdate update;
  update.revision = 5;
  update.entries = {{LiveTarget(), 5, false}};
  Receive(1, update);
  EXPECT_EQ(CurrentTargets(Entry()).revision, 5U);
  update.revision = 4;
  update.entries.clear();
  Receive(1, update);
  EXPECT_EQ(CurrentTargets(Entry()).entries.size(), 1U);
}

// Guards against accepting guarantees that exceed the capacity, and against
// rejecting a lower guarantee while workers are missing.
TEST_F(ConfigTest, GuaranteesAreCheckedAgainstCapacity) {
  Connect(1, "a1");
  Connect(2, "a2");
  Wait(Millis(3100));
  Call(1, SetTarget("c1", Guaranteed(3)));
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kExceedsCapacity);
  EXPECT_FALSE(ReplyOf<api::ErrorReply>(1)->findings.empty());
  Call(2, SetTarget("c2", Guaranteed(2)));
  ASSERT_NE(ReplyOf<api::ChangeReply>(2), nullptr);
  LinkDownAt(1);
  LinkDownAt(2);
  Wait(Millis(16'000));
  Call(3, SetTarget("c3", Guaranteed(1), 1));
  EXPECT_NE(ReplyOf<api::ChangeReply>(3), nullptr);
}

// Guards against a resumed process answering from a configuration that was
// replaced while it was paused.
TEST_F(ConfigTest, PausedEntryRefreshesBeforeItAnswers) {
  Call(1, SetTarget("c1", LiveTarget()));
  Connect(1, "a1");
  auto& records = log[stream::kConfigStream];
  records.push_back(
      {records.size(), "x",
       stream::Format(stream::TargetChangeRecord{"x", LiveTarget(), 1, true})});
  now += Millis(5000);
  Call(2, OneShot());
  EXPECT_EQ(ErrorOf(2), api::ErrorCode::kNotFound);
  EXPECT_TRUE(closes.empty());
}

// Guards against reports that were made during a pause and count as news.
TEST_F(ConfigTest, ReportsThatWaitedDuringAPauseEndNoRefresh) {
  Call(1, SetTarget("c1", LiveTarget()));
  Connect(1, "a1");
  log_up = false;
  AgentReport report = Report();
  now += Millis(5000);
  Inbox inbox;
  for (int n = 0; n < 3; ++n) {
    report.now += Millis(1000);
    inbox.received.push_back({LinkId{1}, report});
  }
  inbox.calls.push_back({CallId{2}, OneShot()});
  Run(std::move(inbox));
  Advance(Millis(100));
  EXPECT_EQ(CountSent<StartRequest>(), 0U);
  Receive(1, Report());
  Advance(Millis(50));
  EXPECT_EQ(CountSent<StartRequest>(), 1U);
}

// Guards against a paused entry that waits forever when neither the log nor
// an agent answers.
TEST_F(ConfigTest, PausedEntryContinuesWhenRefreshTimesOut) {
  Call(1, SetTarget("c1", LiveTarget()));
  log_up = false;
  now += Millis(5000);
  Call(2, OneShot());
  Advance(Millis(1900));
  EXPECT_EQ(FindReply(2), nullptr);
  Advance(Millis(200));
  EXPECT_EQ(ErrorOf(2), api::ErrorCode::kNotRun);
}

}  // namespace
}  // namespace shallotlug::entry
