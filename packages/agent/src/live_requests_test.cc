#include <gtest/gtest.h>

#include "test_cluster.h"

namespace shallotlug::agent {
namespace {

class LiveRequestsTest : public ::testing::Test {
 protected:
  LiveRequestsTest() : cluster(1) {}

  StartRequest MakeStart(std::uint64_t n, Millis within = Millis{2000}) const {
    StartRequest start;
    start.id = {cluster.nodes[0].options.self,
                AsPeerTime(cluster.now + Millis{60'000}),
                {n, n}};
    start.customer = CustomerName("salon");
    start.request_class = ClassName("match");
    start.start_before = AsPeerTime(cluster.now + within);
    start.finish_before = AsPeerTime(cluster.now + within);
    start.body = "hair";
    return start;
  }

  RequestOutcome Ask(const Message& message) {
    cluster.SendTo(0, message);
    cluster.Tick();
    const auto outcomes = cluster.Take<RequestOutcome>(0);
    return outcomes.empty() ? RequestOutcome{} : outcomes.back();
  }

  FakeBackend& ServerOf() { return cluster.nodes[0].backend; }
  Options& OptionsOf() { return cluster.nodes[0].options; }

  TestCluster cluster;
};

// Guards against an answer that never reaches the entry, and against a second
// run of an id that is repeated while it runs or after its end.
TEST_F(LiveRequestsTest, RunsAnIdOnceAndRepeatsItsAnswer) {
  cluster.Start();
  const StartRequest start = MakeStart(1);
  Ask(start);
  EXPECT_EQ(Ask(start).result, RequestResult::kRunning);
  ASSERT_EQ(ServerOf().running.size(), 1U);
  ServerOf().EndAll(TaskEventKind::kFinished, "card");
  cluster.Tick();
  const auto outcomes = cluster.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].result, RequestResult::kAnswered);
  EXPECT_EQ(outcomes[0].answer, "card");
  EXPECT_EQ(Ask(start).answer, "card");
  EXPECT_EQ(ServerOf().started.size(), 1U);
}

// Guards against one caller receiving the answer to another's request.
TEST_F(LiveRequestsTest, RefusesAnotherBodyOrCustomer) {
  cluster.Start();
  StartRequest start = MakeStart(1);
  Ask(start);
  start.body = "other";
  EXPECT_EQ(Ask(start).result, RequestResult::kConflict);
  EXPECT_EQ(Ask(ResolveRequest{start.id, CustomerName("other")}).result,
            RequestResult::kConflict);
}

// Guards against a start after the answer "not run" was given.
TEST_F(LiveRequestsTest, NeverStartsAResolvedId) {
  cluster.Start();
  const StartRequest start = MakeStart(1);
  EXPECT_EQ(Ask(ResolveRequest{start.id, start.customer}).result,
            RequestResult::kNotRun);
  EXPECT_EQ(Ask(start).result, RequestResult::kNotRun);
  EXPECT_TRUE(ServerOf().started.empty());
}

// Guards against "not run" for an id that an earlier incarnation of the agent
// may have run, or whose record has been dropped.
TEST_F(LiveRequestsTest, ReportsUnknownForOtherIncarnationsAndExpiredIds) {
  cluster.Start();
  StartRequest start = MakeStart(1);
  start.id.agent.incarnation = Incarnation{1};
  EXPECT_EQ(Ask(start).result, RequestResult::kUnknown);
  EXPECT_EQ(Ask(ResolveRequest{start.id, start.customer}).result,
            RequestResult::kUnknown);
  start = MakeStart(2);
  start.id.expires = AsPeerTime(cluster.now);
  EXPECT_EQ(Ask(start).result, RequestResult::kUnknown);
  EXPECT_TRUE(ServerOf().started.empty());
}

// Guards against an id that runs again after its record was dropped.
TEST_F(LiveRequestsTest, KeepsAnIdUntilItsExpiry) {
  cluster.Start();
  StartRequest start = MakeStart(1);
  start.id.expires = AsPeerTime(cluster.now + Millis{1000});
  Ask(start);
  ServerOf().EndAll(TaskEventKind::kFinished, "card");
  cluster.Run(Millis{2000});
  EXPECT_TRUE(cluster.nodes[0].state->live.known.empty());
  EXPECT_EQ(Ask(start).result, RequestResult::kUnknown);
  EXPECT_EQ(ServerOf().started.size(), 1U);
}

// Guards against a full table that later starts an id reported as "not run".
TEST_F(LiveRequestsTest, FullTableRefusesPermanently) {
  OptionsOf().known_request_limit = 1;
  cluster.Start();
  StartRequest first = MakeStart(1);
  first.id.expires = AsPeerTime(cluster.now + Millis{1000});
  Ask(first);
  ServerOf().EndAll(TaskEventKind::kFinished, "card");
  const StartRequest second = MakeStart(2, Millis{20'000});
  EXPECT_EQ(Ask(second).result, RequestResult::kNotRun);
  cluster.Run(Millis{2000});
  EXPECT_TRUE(cluster.nodes[0].state->live.known.empty());
  EXPECT_EQ(Ask(second).result, RequestResult::kNotRun);
  EXPECT_EQ(ServerOf().started.size(), 1U);
}

// Guards against a start after the time at which the entry stops expecting it.
TEST_F(LiveRequestsTest, RefusesAStartThatComesTooLate) {
  cluster.Start();
  StartRequest start = MakeStart(1);
  start.start_before = AsPeerTime(cluster.now);
  EXPECT_EQ(Ask(start).reason, "too_late");
  EXPECT_TRUE(ServerOf().started.empty());
}

// Guards against delivery of a part of an answer.
TEST_F(LiveRequestsTest, NeverDeliversAnIncompleteAnswer) {
  cluster.Start();
  Ask(MakeStart(1));
  ServerOf().End(ServerOf().running.begin()->first, TaskEventKind::kFinished,
                 "card");
  ServerOf().events.back().answer_length = 5;
  cluster.Tick();
  const auto outcomes = cluster.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].result, RequestResult::kFailed);
  EXPECT_TRUE(outcomes[0].answer.empty());
}

// Guards against a queue in order of arrival, an unbounded queue, and requests
// that wait past their deadline without an answer.
TEST_F(LiveRequestsTest, QueuesByDeadlineWithinABound) {
  OptionsOf().inventory.slots = 1;
  OptionsOf().live_queue_limit = 2;
  cluster.Start();
  Ask(MakeStart(1));
  StartRequest late = MakeStart(2, Millis{5000});
  late.body = "late";
  StartRequest early = MakeStart(3, Millis{3000});
  early.body = "early";
  Ask(late);
  Ask(early);
  EXPECT_EQ(Ask(MakeStart(4)).reason, "queue_full");
  ServerOf().EndAll(TaskEventKind::kFinished, "card");
  cluster.Tick();
  ASSERT_EQ(ServerOf().started.size(), 2U);
  EXPECT_EQ(ServerOf().started[1].body, "early");
  cluster.Take<RequestOutcome>(0);
  cluster.Run(Millis{6000});
  const auto outcomes = cluster.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].reason, "too_late");
}

// Guards against a wait for an answer that cannot come in time.
TEST_F(LiveRequestsTest, RefusesEarlyWhatCannotFinish) {
  OptionsOf().inventory.slots = 1;
  cluster.Start();
  Ask(MakeStart(1));
  cluster.Run(Millis{1500});
  ServerOf().EndAll(TaskEventKind::kFinished, "card");
  cluster.Tick();
  Ask(MakeStart(2, Millis{4000}));
  EXPECT_EQ(Ask(MakeStart(3, Millis{2000})).reason, "cannot_finish");
}

// Guards against a cancelled request that keeps its accelerator.
TEST_F(LiveRequestsTest, CancelStopsARunningRequest) {
  cluster.Start();
  const StartRequest start = MakeStart(1);
  Ask(start);
  EXPECT_EQ(Ask(ResolveRequest{start.id, start.customer, true}).result,
            RequestResult::kRunning);
  cluster.Tick();
  const auto outcomes = cluster.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].result, RequestResult::kFailed);
  EXPECT_EQ(outcomes[0].reason, "cancelled");
}

// Guards against a request that is lost with the link over which it came.
TEST_F(LiveRequestsTest, AnswersOnANewLink) {
  cluster.Start();
  const StartRequest start = MakeStart(1);
  Ask(start);
  cluster.nodes[0].next.links_down.push_back({TestCluster::kEntryLink, ""});
  cluster.Tick();
  ServerOf().EndAll(TaskEventKind::kFinished, "card");
  cluster.Tick();
  EXPECT_TRUE(cluster.Take<RequestOutcome>(0).empty());
  cluster.ConnectEntry(0);
  EXPECT_EQ(Ask(start).answer, "card");
}

// Guards against tasks that run past their lease while their agent is paused,
// and against a request reported as "not run" although it was started.
TEST_F(LiveRequestsTest, LeaseEndsWhileTheAgentIsPaused) {
  cluster.Start();
  Ask(MakeStart(1));
  cluster.nodes[0].paused = true;
  cluster.Run(Millis{7000});
  EXPECT_TRUE(ServerOf().running.empty());
  StartRequest stale = MakeStart(2);
  stale.start_before = AsPeerTime(cluster.now - Millis{5000});
  cluster.SendTo(0, stale);
  cluster.nodes[0].paused = false;
  cluster.Tick();
  const auto outcomes = cluster.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 2U);
  EXPECT_EQ(outcomes[0].result, RequestResult::kUnknown);
  EXPECT_EQ(outcomes[1].result, RequestResult::kNotRun);
}

// Guards against a lease that is not renewed while its task runs.
TEST_F(LiveRequestsTest, RenewsTheLease) {
  cluster.Start();
  Ask(MakeStart(1));
  cluster.Run(Millis{20'000});
  EXPECT_EQ(ServerOf().running.size(), 1U);
}

// Guards against a request that waits forever for a task of a backend server
// that was restarted.
TEST_F(LiveRequestsTest, BackendRestartLosesItsTasks) {
  cluster.Start();
  Ask(MakeStart(1));
  ServerOf().Restart();
  cluster.Tick();
  const auto outcomes = cluster.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].result, RequestResult::kUnknown);
  EXPECT_EQ(outcomes[0].reason, "backend_restarted");
}

// Guards against a new agent that shares accelerators with tasks of the one
// before it.
TEST_F(LiveRequestsTest, StopsTasksItDidNotStart) {
  const TaskId old("old");
  ServerOf().running[old].start = {old, false, 0xFF, PeerTime::max(),
                                   {},  "",    ""};
  OptionsOf().inventory.slots = 16;
  cluster.nodes[0].state = MakeState(OptionsOf(), cluster.now);
  cluster.ConnectEntry(0);
  cluster.SendTo(0, MakeStart(1));
  cluster.Tick();
  EXPECT_TRUE(ServerOf().started.empty());
  EXPECT_FALSE(ServerOf().running.contains(old));
  cluster.Tick();
  EXPECT_EQ(ServerOf().started.size(), 1U);
}

// Guards against starts whose outcome cannot be observed.
TEST_F(LiveRequestsTest, RefusesWithoutABackendServer) {
  ServerOf().reachable = false;
  cluster.Start();
  EXPECT_EQ(Ask(MakeStart(1)).reason, "starting");
  ServerOf().reachable = true;
  cluster.Tick();
  ServerOf().reachable = false;
  cluster.Tick();
  EXPECT_EQ(Ask(MakeStart(2)).reason, "backend_unreachable");
}

}  // namespace
}  // namespace shallotlug::agent
