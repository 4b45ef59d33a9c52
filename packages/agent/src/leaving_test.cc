#include "test_gangs.h"

namespace shallotlug::agent {
namespace {

class LeavingTest : public GangTest {
 protected:
  StartRequest MakeStart(std::uint64_t n) const {
    StartRequest start;
    start.id = {cluster.nodes[0].options.self,
                AsPeerTime(cluster.now + Millis{60'000}),
                {n, n}};
    start.start_before = AsPeerTime(cluster.now + Millis{20'000});
    start.finish_before = start.start_before;
    return start;
  }
};

// Guards against new work on a backend server that is leaving, and against
// entries that learn of it late.
TEST_F(LeavingTest, RefusesNewWorkAtOnceAndTellsEntries) {
  cluster.Start();
  cluster.Run(Millis{500});
  cluster.Take<AgentReport>(0);
  ServerOf(0).leaving = true;
  cluster.SendTo(0, MakeStart(1));
  Propose(MakeProposal("j", 1, {0}));
  cluster.Tick();
  const auto reports = cluster.Take<AgentReport>(0);
  ASSERT_FALSE(reports.empty());
  EXPECT_TRUE(reports.back().leaving);
  const auto outcomes = cluster.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].result, RequestResult::kNotRun);
  EXPECT_EQ(outcomes[0].reason, "leaving");
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kNotStarted);
}

// Guards against reservations on a worker that is leaving.
TEST_F(LeavingTest, RefusesToBeAMember) {
  cluster.Start();
  ServerOf(1).leaving = true;
  cluster.Run(Millis{100});
  Propose(MakeProposal("j", 1, {0, 1}));
  cluster.Run(Millis{1000});
  const JobUpdate update = LastUpdate(0);
  EXPECT_EQ(update.phase, JobPhase::kNotStarted);
  EXPECT_EQ(update.reason, "leaving at a1");
  EXPECT_TRUE(AllFree());
}

// Guards against a long job that is lost with one of its workers instead of
// being restarted as a whole on others.
TEST_F(LeavingTest, CheckpointsWholeGangsWhenAMemberLeaves) {
  StartGang();
  ServerOf(2).leaving = true;
  cluster.Run(Millis{1000});
  const JobUpdate update = LastUpdate(0);
  EXPECT_EQ(update.phase, JobPhase::kCheckpointed);
  EXPECT_EQ(update.checkpoint, "5:saved,5:saved,5:saved,");
  EXPECT_TRUE(AllFree());
}

// Guards against a shutdown that interrupts a live request, that loses the
// checkpoint of a long job, or that never ends.
TEST_F(LeavingTest, ShutdownDrains) {
  cluster.Start();
  Propose(MakeProposal("j", 1, {0, 1}, 0x0F));
  cluster.SendTo(0, MakeStart(1));
  cluster.Run(Millis{1000});
  ASSERT_EQ(ServerOf(0).running.size(), 2U);
  cluster.nodes[0].next.shutdown_requested = true;
  cluster.Run(Millis{1000});
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kCheckpointed);
  ASSERT_EQ(ServerOf(0).running.size(), 1U);
  EXPECT_FALSE(cluster.nodes[0].last.may_exit);
  ServerOf(0).EndAll(TaskEventKind::kFinished, "card");
  cluster.Tick();
  const auto outcomes = cluster.Take<RequestOutcome>(0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].answer, "card");
  cluster.Run(Millis{1000});
  EXPECT_FALSE(cluster.nodes[0].last.may_exit);
  cluster.SendTo(0, JobUpdateAck{{JobId("j"), 1}});
  cluster.Run(Millis{200});
  EXPECT_TRUE(cluster.nodes[0].last.may_exit);
}

// Guards against a shutdown that waits for the log service without end.
TEST_F(LeavingTest, ShutdownDoesNotWaitForeverForTheLog) {
  StartGang({0});
  cluster.nodes[0].next.shutdown_requested = true;
  cluster.Run(Millis{29'000});
  EXPECT_FALSE(cluster.nodes[0].last.may_exit);
  cluster.Run(Millis{3000});
  EXPECT_TRUE(cluster.nodes[0].last.may_exit);
}

}  // namespace
}  // namespace shallotlug::agent
