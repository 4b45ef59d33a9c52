#include "test_support.h"

namespace shallotlug::entry {
namespace {

class LiveTest : public EntryTest {
 protected:
  void SetUp() override {
    Run();
    Call(900, SetTarget("c1", LiveTarget()));
    Connect(1, "a1");
  }

  RequestId Started() { return LastSent<StartRequest>()->id; }

  api::SendCall SendOf(const RequestId& id, const std::string& body) {
    return {id,  CustomerName("salon"), ClassName("shade"), Millis(0), false,
            body};
  }

  RequestId Mint() {
    Call(800, api::MintCall{CustomerName("salon"), ClassName("shade")});
    return ReplyOf<api::MintReply>(800)->id;
  }
};

// Guards against a request being lost between its call and its answer.
TEST_F(LiveTest, OneShotIsSentAndAnswered) {
  Call(1, OneShot());
  ASSERT_TRUE(LastSent<StartRequest>());
  // The target of 2 s and the default grace of 2 s.
  EXPECT_EQ(LastSent<StartRequest>()->finish_before,
            AsPeerTime(now + Millis(4000)));
  Receive(1, Answer(Started(), "card"));
  ASSERT_NE(ReplyOf<api::AnswerReply>(1), nullptr);
  EXPECT_EQ(ReplyOf<api::AnswerReply>(1)->body, "card");
}

// Guards against a minted id that names no agent, so that it cannot be sent.
TEST_F(LiveTest, MintedIdIsSentToItsAgent) {
  const RequestId id = Mint();
  Call(2, SendOf(id, "body"));
  EXPECT_EQ(Started(), id);
  Receive(1, Answer(id, "card"));
  EXPECT_NE(ReplyOf<api::AnswerReply>(2), nullptr);
}

// Guards against work of a class that no operator has created, or of another
// customer.
TEST_F(LiveTest, UnknownClassIsNotFound) {
  Call(1, api::MintCall{CustomerName("salon"), ClassName("other")});
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kNotFound);
  Call(2, api::MintCall{CustomerName("other"), ClassName("shade")});
  EXPECT_EQ(ErrorOf(2), api::ErrorCode::kNotFound);
}

// Guards against a caller getting the answer of another request, a damaged
// one, or one that was given to another agent.
TEST_F(LiveTest, OnlyCompleteMatchingAnswerIsDelivered) {
  Connect(2, "a2");
  Call(1, OneShot());
  const RequestId id = Started();
  RequestId other = id;
  other.random[0] ^= 1;
  Receive(1, Answer(other, "wrong"));
  RequestOutcome cut = Answer(id, "card");
  cut.answer = "car";
  Receive(id.agent.name.value == "a1" ? 1 : 2, cut);
  Receive(id.agent.name.value == "a1" ? 2 : 1, Answer(id, "foreign"));
  EXPECT_EQ(FindReply(1), nullptr);
  Receive(id.agent.name.value == "a1" ? 1 : 2, Answer(id, "card"));
  ASSERT_NE(ReplyOf<api::AnswerReply>(1), nullptr);
  EXPECT_EQ(ReplyOf<api::AnswerReply>(1)->body, "card");
  EXPECT_EQ(Counters(Entry()).Sum("shallotlug_entry_unmatched_answers_total"),
            2);
}

// Guards against a late answer of an earlier attempt replacing that of the
// current one.
TEST_F(LiveTest, AnswerOfAnOlderAttemptIsDropped) {
  Call(1, OneShot());
  RequestOutcome running = Outcome(Started(), RequestResult::kRunning);
  running.attempt = 2;
  Receive(1, running);
  Receive(1, Answer(Started(), "old"));
  EXPECT_EQ(FindReply(1), nullptr);
}

// Guards against "not run" without proof: at the deadline the agent is asked,
// and without its answer the outcome is unknown.
TEST_F(LiveTest, DeadlineResolvesAndReportsUnknownWithoutProof) {
  Call(1, OneShot());
  Wait(Millis(4000));
  ASSERT_TRUE(LastSent<ResolveRequest>());
  EXPECT_EQ(LastSent<ResolveRequest>()->id, Started());
  EXPECT_EQ(FindReply(1), nullptr);
  Wait(Millis(1600));
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kOutcomeUnknown);
}

// Guards against a proven "not run" being withheld from the caller.
TEST_F(LiveTest, DeadlineWithProofReportsNotRun) {
  Call(1, OneShot());
  Wait(Millis(4000));
  Receive(1, Outcome(Started(), RequestResult::kNotRun));
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kNotRun);
}

// Guards against a refused request failing although another worker is free.
TEST_F(LiveTest, RefusedRequestIsRetriedAtAnotherAgentWithANewId) {
  Connect(2, "a2");
  Call(1, OneShot());
  const RequestId first = Started();
  const std::uint64_t link = first.agent.name.value == "a1" ? 1 : 2;
  Receive(link, Outcome(first, RequestResult::kNotRun));
  EXPECT_EQ(CountSent<StartRequest>(), 2U);
  EXPECT_NE(Started(), first);
  EXPECT_NE(Started().agent, first.agent);
  Receive(3 - link, Answer(Started(), "card"));
  EXPECT_NE(ReplyOf<api::AnswerReply>(1), nullptr);
}

// Guards against retry storms when every worker refuses.
TEST_F(LiveTest, RetriesStayWithinBudget) {
  Connect(2, "a2");
  for (std::uint64_t n = 1; n <= 50; ++n) {
    Call(n, OneShot());
    const RequestId id = Started();
    Receive(id.agent.name.value == "a1" ? 1 : 2,
            Outcome(id, RequestResult::kNotRun));
  }
  EXPECT_EQ(Counters(Entry()).Sum("shallotlug_entry_retries_total"), 3);
}

// Guards against a request that must not run twice being sent again after it
// may have run, and a repeatable one being given up.
TEST_F(LiveTest, UnknownOutcomeIsRetriedOnlyWhenRepeatable) {
  Connect(2, "a2");
  for (const bool repeatable : {false, true}) {
    const std::uint64_t call = repeatable ? 2 : 1;
    Call(call, OneShot(repeatable));
    const RequestId id = Started();
    Receive(id.agent.name.value == "a1" ? 1 : 2,
            Outcome(id, RequestResult::kUnknown));
    EXPECT_EQ(Started() != id, repeatable);
    EXPECT_EQ(ErrorOf(call).has_value(), !repeatable);
  }
}

// Guards against "not run" for a repeatable call whose first id may have run.
TEST_F(LiveTest, NotRunAfterUnknownOutcomeIsReportedAsUnknown) {
  Connect(2, "a2");
  Call(1, OneShot(true));
  const std::uint64_t link = Started().agent.name.value == "a1" ? 1 : 2;
  Receive(link, Outcome(Started(), RequestResult::kUnknown));
  Receive(3 - link, Outcome(Started(), RequestResult::kNotRun));
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kOutcomeUnknown);
}

// Guards against a request hanging on a link that has become silent.
TEST_F(LiveTest, SilentLinkIsClosedAndItsRequestsAreResolvedOnANewOne) {
  api::OneShotCall call = OneShot();
  call.timeout = Millis(10'000);
  Call(1, call);
  Advance(Millis(3100));
  ASSERT_FALSE(closes.empty());
  EXPECT_EQ(closes.back().reason, "silent");
  Connect(5, "a1");
  ASSERT_TRUE(LastSent<ResolveRequest>());
  EXPECT_EQ(LastSent<ResolveRequest>()->id, Started());
  Receive(5, Answer(Started(), "card"));
  EXPECT_NE(ReplyOf<api::AnswerReply>(1), nullptr);
}

// Guards against waiting for an agent incarnation that no longer exists.
TEST_F(LiveTest, RequestsOfAnEarlierIncarnationAreUnknown) {
  Call(1, OneShot());
  LinkDownAt(1);
  Connect(2, "a1", 2);
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kOutcomeUnknown);
}

// Guards against two processes with one identity sharing its requests.
TEST_F(LiveTest, SecondLiveIncarnationIsRefused) {
  LinkUpAt(2);
  Receive(2, Hello("a1", 99));
  ASSERT_FALSE(closes.empty());
  EXPECT_EQ(closes.back().link, LinkId{2});
  Call(1, OneShot());
  EXPECT_EQ(Started().agent.incarnation, Incarnation{1});
}

// Guards against "not run" for an id that another entry may have sent.
TEST_F(LiveTest, MintedIdOfUnlinkedAgentIsUnknown) {
  const RequestId id = Mint();
  LinkDownAt(1);
  Call(1, SendOf(id, "body"));
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kOutcomeUnknown);
}

// Guards against a duplicate being run twice, and against a reused id joining a
// request with another body.
TEST_F(LiveTest, DuplicateJoinsPendingRequestAndOtherBodyConflicts) {
  const RequestId id = Mint();
  Call(1, SendOf(id, "body"));
  Call(2, SendOf(id, "body"));
  Call(3, SendOf(id, "other"));
  EXPECT_EQ(CountSent<StartRequest>(), 1U);
  EXPECT_EQ(ErrorOf(3), api::ErrorCode::kConflict);
  Receive(1, Answer(id, "card"));
  EXPECT_NE(ReplyOf<api::AnswerReply>(1), nullptr);
  EXPECT_NE(ReplyOf<api::AnswerReply>(2), nullptr);
}

// Guards against unbounded memory use and late rejections during a burst.
TEST_F(LiveTest, FullRequestTableRejectsWithoutSending) {
  Entry().options.pending_request_limit = 2;
  Call(1, OneShot());
  Call(2, OneShot());
  Call(3, OneShot());
  EXPECT_EQ(ErrorOf(3), api::ErrorCode::kNotRun);
  EXPECT_EQ(CountSent<StartRequest>(), 2U);
}

// Guards against work for disconnected callers, and against super-linear cost
// of cancelling many requests: each cancellation touches its own request only.
TEST_F(LiveTest, CancellingManyRequestsEmptiesTheTable) {
  Entry().options.pending_request_limit = 20'000;
  Inbox calls;
  Inbox gone;
  for (std::uint64_t n = 1; n <= 10'000; ++n) {
    calls.calls.push_back({CallId{n}, OneShot()});
    gone.callers_gone.push_back(CallId{n});
  }
  Run(calls);
  EXPECT_EQ(Entry().requests.size(), 10'000U);
  Run(gone);
  EXPECT_TRUE(Entry().requests.empty());
  EXPECT_TRUE(Entry().request_of_call.empty());
  EXPECT_EQ(CountSent<ResolveRequest>(), 10'000U);
  EXPECT_TRUE(LastSent<ResolveRequest>()->cancel);
}

// Guards against new work being sent to a worker that is leaving.
TEST_F(LiveTest, LeavingAgentGetsNoNewRequests) {
  AgentReport report = Report();
  report.leaving = true;
  Receive(1, report);
  Call(1, OneShot());
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kNotRun);
  EXPECT_EQ(CountSent<StartRequest>(), 0U);
}

}  // namespace
}  // namespace shallotlug::entry
