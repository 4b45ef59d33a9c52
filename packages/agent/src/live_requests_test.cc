#include <gtest/gtest.h>

#include "test_cluster.h"

namespace shallotlug::agent {
namespace {

class LiveRequestsTest : public ::testing::Test {
 protected:
  LiveRequestsTest() : cluster_(1) {}

  StartRequest MakeStart(std::uint64_t n, Millis within = Millis{2000}) const {
    StartRequest start;
    start.id = {cluster_.nodes[0].options.self,
                AsPeerTime(cluster_.now + Millis{60'000}),
                {n, n}};
    start.customer = CustomerName("salon");
    start.request_class = ClassName("match");
    start.start_before = AsPeerTime(cluster_.now + within);
    start.finish_before = AsPeerTime(cluster_.now + within);
    start.body = "hair";
    return start;
  }

  RequestOutcome Ask(const Message& message) {
    cluster_.SendTo(0, message);
    cluster_.Tick();
    const auto outcomes = cluster_.Take<RequestOutcome>(0);
    return outcomes.empty() ? RequestOutcome{} : outcomes.back();
  }

  FakeBackend& backend() { return cluster_.nodes[0].backend; }
  Options& options() { return cluster_.nodes[0].options; }

  TestCluster cluster_;
};

// Guards against an answer that never reaches the entry, and against a second
// run of an id that is repeated while it runs or after its end.
TEST_F(LiveRequestsTest, RunsAnIdOnceAndRepeatsItsAnswer) {
  cluster_.Start();
  const StartRequest start = MakeStart(1);
  Ask(start);
  EXPECT_EQ(Ask(start).result, RequestResult::kRunning);
  ASSERT_EQ(backend().running.size(), 1U);
  backend().EndAll(TaskEventKind::kFinished, "card");
  cluster_.Tick();
  const auto outcomes = cluster_.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].result, RequestResult::kAnswered);
  EXPECT_EQ(outcomes[0].answer, "card");
  EXPECT_EQ(Ask(start).answer, "card");
  EXPECT_EQ(backend().started.size(), 1U);
}

// Guards against one caller receiving the answer to another's request.
TEST_F(LiveRequestsTest, RefusesAnotherBodyOrCustomer) {
  cluster_.Start();
  StartRequest start = MakeStart(1);
  Ask(start);
  start.body = "other";
  EXPECT_EQ(Ask(start).result, RequestResult::kConflict);
  EXPECT_EQ(Ask(ResolveRequest{start.id, CustomerName("other")}).result,
            RequestResult::kConflict);
}

// Guards against a start after the answer "not run" was given.
TEST_F(LiveRequestsTest, NeverStartsAResolvedId) {
  cluster_.Start();
  const StartRequest start = MakeStart(1);
  EXPECT_EQ(Ask(ResolveRequest{start.id, start.customer}).result,
            RequestResult::kNotRun);
  EXPECT_EQ(Ask(start).result, RequestResult::kNotRun);
  EXPECT_TRUE(backend().started.empty());
}

// Guards against "not run" for an id that an earlier life of the agent, or one
// that has forgotten it, may have run.
TEST_F(LiveRequestsTest, KnowsNothingOfForeignAndExpiredIds) {
  cluster_.Start();
  StartRequest start = MakeStart(1);
  start.id.agent.incarnation = Incarnation{1};
  EXPECT_EQ(Ask(start).result, RequestResult::kUnknown);
  EXPECT_EQ(Ask(ResolveRequest{start.id, start.customer}).result,
            RequestResult::kUnknown);
  start = MakeStart(2);
  start.id.expires = AsPeerTime(cluster_.now);
  EXPECT_EQ(Ask(start).result, RequestResult::kUnknown);
  EXPECT_TRUE(backend().started.empty());
}

// Guards against an id that runs again after its record was dropped.
TEST_F(LiveRequestsTest, ForgetsAnIdOnlyAfterItsExpiry) {
  cluster_.Start();
  StartRequest start = MakeStart(1);
  start.id.expires = AsPeerTime(cluster_.now + Millis{1000});
  Ask(start);
  backend().EndAll(TaskEventKind::kFinished, "card");
  cluster_.Run(Millis{2000});
  EXPECT_TRUE(cluster_.nodes[0].state->live.known.empty());
  EXPECT_EQ(Ask(start).result, RequestResult::kUnknown);
  EXPECT_EQ(backend().started.size(), 1U);
}

// Guards against a full table that forgets an id it has answered "not run".
TEST_F(LiveRequestsTest, FullTableRefusesForGood) {
  options().known_request_limit = 1;
  cluster_.Start();
  StartRequest first = MakeStart(1);
  first.id.expires = AsPeerTime(cluster_.now + Millis{1000});
  Ask(first);
  backend().EndAll(TaskEventKind::kFinished, "card");
  const StartRequest second = MakeStart(2, Millis{20'000});
  EXPECT_EQ(Ask(second).result, RequestResult::kNotRun);
  cluster_.Run(Millis{2000});
  EXPECT_TRUE(cluster_.nodes[0].state->live.known.empty());
  EXPECT_EQ(Ask(second).result, RequestResult::kNotRun);
  EXPECT_EQ(backend().started.size(), 1U);
}

// Guards against a start that the entry has already written off.
TEST_F(LiveRequestsTest, RefusesAStartThatComesTooLate) {
  cluster_.Start();
  StartRequest start = MakeStart(1);
  start.start_before = AsPeerTime(cluster_.now);
  EXPECT_EQ(Ask(start).reason, "too_late");
  EXPECT_TRUE(backend().started.empty());
}

// Guards against delivery of a part of an answer.
TEST_F(LiveRequestsTest, NeverDeliversAnIncompleteAnswer) {
  cluster_.Start();
  Ask(MakeStart(1));
  backend().End(backend().running.begin()->first, TaskEventKind::kFinished,
                "card");
  backend().events.back().answer_length = 5;
  cluster_.Tick();
  const auto outcomes = cluster_.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].result, RequestResult::kFailed);
  EXPECT_TRUE(outcomes[0].answer.empty());
}

// Guards against a queue in order of arrival, an unbounded queue, and requests
// that wait past their deadline without an answer.
TEST_F(LiveRequestsTest, QueuesByDeadlineWithinABound) {
  options().inventory.slots = 1;
  options().live_queue_limit = 2;
  cluster_.Start();
  Ask(MakeStart(1));
  StartRequest late = MakeStart(2, Millis{5000});
  late.body = "late";
  StartRequest early = MakeStart(3, Millis{3000});
  early.body = "early";
  Ask(late);
  Ask(early);
  EXPECT_EQ(Ask(MakeStart(4)).reason, "queue_full");
  backend().EndAll(TaskEventKind::kFinished, "card");
  cluster_.Tick();
  ASSERT_EQ(backend().started.size(), 2U);
  EXPECT_EQ(backend().started[1].body, "early");
  cluster_.Take<RequestOutcome>(0);
  cluster_.Run(Millis{6000});
  const auto outcomes = cluster_.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].reason, "too_late");
}

// Guards against a wait for an answer that cannot come in time.
TEST_F(LiveRequestsTest, RefusesEarlyWhatCannotFinish) {
  options().inventory.slots = 1;
  cluster_.Start();
  Ask(MakeStart(1));
  cluster_.Run(Millis{1500});
  backend().EndAll(TaskEventKind::kFinished, "card");
  cluster_.Tick();
  Ask(MakeStart(2, Millis{4000}));
  EXPECT_EQ(Ask(MakeStart(3, Millis{2000})).reason, "cannot_finish");
}

// Guards against a cancelled request that keeps its accelerator.
TEST_F(LiveRequestsTest, CancelStopsARunningRequest) {
  cluster_.Start();
  const StartRequest start = MakeStart(1);
  Ask(start);
  EXPECT_EQ(Ask(ResolveRequest{start.id, start.customer, true}).result,
            RequestResult::kRunning);
  cluster_.Tick();
  const auto outcomes = cluster_.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].result, RequestResult::kFailed);
  EXPECT_EQ(outcomes[0].reason, "cancelled");
}

// Guards against a request that is lost with the link over which it came.
TEST_F(LiveRequestsTest, AnswersOnANewLink) {
  cluster_.Start();
  const StartRequest start = MakeStart(1);
  Ask(start);
  cluster_.nodes[0].next.links_down.push_back({TestCluster::kEntryLink, ""});
  cluster_.Tick();
  backend().EndAll(TaskEventKind::kFinished, "card");
  cluster_.Tick();
  EXPECT_TRUE(cluster_.Take<RequestOutcome>(0).empty());
  cluster_.nodes[0].next.links_up.push_back(
      {TestCluster::kEntryLink, PeerRole::kEntry, ""});
  EXPECT_EQ(Ask(start).answer, "card");
}

// Guards against tasks that run on after their agent was frozen, and against a
// request reported as "not run" although it was started.
TEST_F(LiveRequestsTest, LeaseEndsWhileTheAgentIsPaused) {
  cluster_.Start();
  Ask(MakeStart(1));
  cluster_.nodes[0].paused = true;
  cluster_.Run(Millis{7000});
  EXPECT_TRUE(backend().running.empty());
  StartRequest stale = MakeStart(2);
  stale.start_before = AsPeerTime(cluster_.now - Millis{5000});
  cluster_.SendTo(0, stale);
  cluster_.nodes[0].paused = false;
  cluster_.Tick();
  const auto outcomes = cluster_.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 2U);
  EXPECT_EQ(outcomes[0].result, RequestResult::kUnknown);
  EXPECT_EQ(outcomes[1].result, RequestResult::kNotRun);
}

// Guards against a lease that is not renewed while its task runs.
TEST_F(LiveRequestsTest, RenewsTheLease) {
  cluster_.Start();
  Ask(MakeStart(1));
  cluster_.Run(Millis{20'000});
  EXPECT_EQ(backend().running.size(), 1U);
}

// Guards against a request that waits forever for a task of a backend server
// that was restarted.
TEST_F(LiveRequestsTest, BackendRestartLosesItsTasks) {
  cluster_.Start();
  Ask(MakeStart(1));
  backend().Restart();
  cluster_.Tick();
  const auto outcomes = cluster_.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].result, RequestResult::kUnknown);
  EXPECT_EQ(outcomes[0].reason, "backend_restarted");
}

// Guards against a new agent that shares accelerators with tasks of the one
// before it.
TEST_F(LiveRequestsTest, StopsTasksItDidNotStart) {
  const TaskId old("old");
  backend().running[old].start = {old, false, 0xFF, PeerTime::max(),
                                  {},  "",    ""};
  options().inventory.slots = 16;
  cluster_.nodes[0].state = MakeState(options(), cluster_.now);
  cluster_.nodes[0].next.links_up.push_back(
      {TestCluster::kEntryLink, PeerRole::kEntry, ""});
  cluster_.SendTo(0, MakeStart(1));
  cluster_.Tick();
  EXPECT_TRUE(backend().started.empty());
  EXPECT_FALSE(backend().running.contains(old));
  cluster_.Tick();
  EXPECT_EQ(backend().started.size(), 1U);
}

// Guards against starts that nobody can observe.
TEST_F(LiveRequestsTest, RefusesWithoutABackendServer) {
  backend().reachable = false;
  cluster_.Start();
  EXPECT_EQ(Ask(MakeStart(1)).reason, "starting");
  backend().reachable = true;
  cluster_.Tick();
  backend().reachable = false;
  cluster_.Tick();
  EXPECT_EQ(Ask(MakeStart(2)).reason, "backend_unreachable");
}

}  // namespace
}  // namespace shallotlug::agent
