#include "test_gangs.h"

namespace shallotlug::agent {
namespace {

// Guards against a gang that does not start on all members, whose result is
// incomplete, or that keeps accelerators after its end.
TEST_F(GangTest, RunsToItsResult) {
  StartGang();
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kRunning);
  cluster.Run(Millis{20'000});
  EXPECT_EQ(RunningTasks(), 3U);
  ServerOf(0).EndAll(TaskEventKind::kFinished, "x");
  ServerOf(1).EndAll(TaskEventKind::kFinished, "yy");
  cluster.Run(Millis{10'000});
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kRunning);
  ServerOf(2).EndAll(TaskEventKind::kFinished, "");
  cluster.Run(Millis{500});
  const JobUpdate update = LastUpdate(0);
  EXPECT_EQ(update.phase, JobPhase::kFinished);
  EXPECT_EQ(update.result, "1:x,2:yy,0:,");
  EXPECT_TRUE(AllFree());
}

// Guards against a final outcome that is lost with one message, and against
// one that is repeated forever.
TEST_F(GangTest, RepeatsTheOutcomeUntilItIsAcknowledged) {
  StartGang({0});
  ServerOf(0).EndAll(TaskEventKind::kFinished, "answer");
  cluster.Run(Millis{500});
  EXPECT_EQ(LastUpdate(0).result, "answer");
  cluster.Run(Millis{1100});
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kFinished);
  cluster.SendTo(0, JobUpdateAck{{JobId("j"), 1}});
  cluster.Run(Millis{3000});
  EXPECT_TRUE(cluster.Take<JobUpdate>(0).empty());
  Propose(MakeProposal("j", 1, {0}));
  cluster.Run(Millis{3000});
  EXPECT_EQ(ServerOf(0).started.size(), 1U);
}

// Guards against a gang that stays half reserved or half running when any one
// message of its start is lost.
TEST_F(GangTest, AnyOneMessageOfTheStartMayBeLost) {
  for (int lost = 0; lost < 40; ++lost) {
    cluster = TestCluster(3);
    members.clear();
    int n = 0;
    cluster.drop = [&n, lost](std::size_t, std::size_t, const Message&) {
      return n++ == lost;
    };
    cluster.after_tick = [this] { CheckInvariants(); };
    cluster.Start();
    Propose(MakeProposal("j", 1, {0, 1, 2}));
    cluster.Run(Millis{4000});
    ASSERT_EQ(RunningTasks(), 3U) << "message " << lost;
    for (std::size_t i = 0; i < 3; ++i) {
      ASSERT_EQ(ServerOf(i).started.size(), 1U) << "message " << lost;
    }
  }
}

// Guards against members that keep computing without one that no longer
// answers, against an outcome before their permission has ended, and against a
// late result.
TEST_F(GangTest, SilentMemberEndsTheAttemptAfterRunUntil) {
  StartGang();
  cluster.drop = [](std::size_t from, std::size_t to, const Message&) {
    return from == 2 || to == 2;
  };
  const TimePoint silent = cluster.now;
  JobUpdate update;
  while (update.phase != JobPhase::kLost &&
         cluster.now < silent + Millis{20'000}) {
    cluster.Tick();
    update = LastUpdate(0);
  }
  EXPECT_EQ(update.phase, JobPhase::kLost);
  EXPECT_EQ(update.reason, "silent at a2");
  EXPECT_EQ(RunningTasks(), 0U);
  EXPECT_LE(cluster.now, silent + Millis{8000});
  cluster.drop = nullptr;
  cluster.Run(Millis{8000});
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kLost);
  EXPECT_TRUE(AllFree());
}

// Guards against a deadlock or a double grant between gangs that reserve the
// same workers at the same time.
TEST_F(GangTest, OneOfTwoConcurrentGangsStarts) {
  cluster.Start();
  Propose(MakeProposal("j", 1, {0, 1, 2}));
  Propose(MakeProposal("k", 1, {1, 2}));
  cluster.Run(Millis{3000});
  const JobUpdate j = LastUpdate(0, "j");
  const JobUpdate k = LastUpdate(1, "k");
  const bool first = j.phase == JobPhase::kRunning;
  EXPECT_EQ((first ? j : k).phase, JobPhase::kRunning);
  EXPECT_EQ((first ? k : j).phase, JobPhase::kNotStarted);
  EXPECT_EQ((first ? k : j).reason.substr(0, 8), "occupied");
  EXPECT_EQ(RunningTasks(), first ? 3U : 2U);
}

// Guards against a member that keeps computing after a pause longer than its
// lease, and against use of its result.
TEST_F(GangTest, MemberPausedPastItsLease) {
  StartGang();
  cluster.nodes[1].paused = true;
  cluster.Run(Millis{9000});
  EXPECT_EQ(RunningTasks(), 0U);
  cluster.nodes[1].paused = false;
  cluster.Tick();
  EXPECT_TRUE(StateOf(1).gangs.members.empty());
  EXPECT_EQ(StateOf(1).counters.Sum("shallotlug_agent_pauses_total"), 1);
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kLost);
}

// Guards against members that run on without their coordinator, and against a
// coordinator that continues an attempt after its pause.
TEST_F(GangTest, CoordinatorPausedPastItsLease) {
  StartGang();
  cluster.nodes[0].paused = true;
  cluster.Run(Millis{9000});
  EXPECT_EQ(RunningTasks(), 0U);
  cluster.nodes[0].paused = false;
  cluster.Run(Millis{200});
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kLost);
  cluster.Run(Millis{8000});
  EXPECT_TRUE(AllFree());
}

// Guards against the loss of an attempt with a link that can be replaced.
TEST_F(GangTest, RedialsALostLinkWithinTheAttempt) {
  StartGang();
  for (int i = 0; i < 5; ++i) {
    cluster.BreakLinks(0);
    cluster.Run(Millis{2000});
  }
  EXPECT_EQ(RunningTasks(), 3U);
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kRunning);
}

// Guards against a part of a gang that runs on after a task has failed.
TEST_F(GangTest, FailureStopsTheWholeGang) {
  StartGang();
  ServerOf(2).EndAll(TaskEventKind::kFailed);
  cluster.Run(Millis{1000});
  const JobUpdate update = LastUpdate(0);
  EXPECT_EQ(update.phase, JobPhase::kFailed);
  ASSERT_EQ(update.failed_at.size(), 1U);
  EXPECT_EQ(update.failed_at[0].value, "a2");
  EXPECT_TRUE(AllFree());
}

// Guards against an incomplete answer of one member in the result of a gang.
TEST_F(GangTest, IncompleteAnswerFailsTheAttempt) {
  StartGang({0});
  ServerOf(0).EndAll(TaskEventKind::kFinished, "answer");
  ServerOf(0).events.back().answer_length = 7;
  cluster.Run(Millis{500});
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kFailed);
}

// Guards against preemption of a part of a gang, and against a checkpoint that
// does not reach the task it came from.
TEST_F(GangTest, PreemptionCheckpointsTheWholeGang) {
  StartGang();
  cluster.SendTo(0, StopJob{{JobId("j"), 1}, StopReason::kPreempted});
  cluster.Run(Millis{1000});
  const JobUpdate update = LastUpdate(0);
  EXPECT_EQ(update.phase, JobPhase::kCheckpointed);
  EXPECT_EQ(update.checkpoint, "5:saved,5:saved,5:saved,");
  EXPECT_TRUE(AllFree());
  ProposeJob next = MakeProposal("j", 2, {0, 1, 2});
  next.checkpoint = update.checkpoint;
  Propose(next);
  cluster.Run(Millis{2000});
  ASSERT_EQ(ServerOf(1).started.size(), 2U);
  EXPECT_EQ(ServerOf(1).started[1].checkpoint, "saved");
}

// Guards against a job that loses its progress, or is reported as finished,
// when it is preempted but cannot checkpoint.
TEST_F(GangTest, PreemptionWithoutCheckpointsKeepsTheOldState) {
  cluster.Start();
  ProposeJob proposal = MakeProposal("j", 1, {0, 1});
  proposal.spec.checkpointable = false;
  proposal.checkpoint = "1:a,1:b,";
  Propose(proposal);
  cluster.Run(Millis{1000});
  cluster.SendTo(0, StopJob{proposal.attempt, StopReason::kPreempted});
  cluster.Run(Millis{1000});
  const JobUpdate update = LastUpdate(0);
  EXPECT_EQ(update.phase, JobPhase::kCheckpointed);
  EXPECT_EQ(update.checkpoint, "1:a,1:b,");
  EXPECT_TRUE(AllFree());
}

// Guards against a start on accelerators that a preempted attempt still uses,
// and against a wait that does not end when that attempt has ended.
TEST_F(GangTest, WaitsForItsVictims) {
  StartGang({1, 2});
  ProposeJob urgent = MakeProposal("k", 1, {0, 1});
  urgent.victims = {{JobId("j"), 1}};
  Propose(urgent);
  cluster.Run(Millis{3000});
  EXPECT_EQ(RunningTasks(), 2U);
  cluster.SendTo(1, StopJob{{JobId("j"), 1}, StopReason::kPreempted});
  cluster.Run(Millis{1700});
  EXPECT_EQ(LastUpdate(0, "k").phase, JobPhase::kRunning);
  EXPECT_EQ(RunningTasks(), 2U);
}

// Guards against an attempt that starts after it was reported as not started.
TEST_F(GangTest, NeverStartsAResolvedAttempt) {
  cluster.Start();
  cluster.SendTo(0, StopJob{{JobId("j"), 2}, StopReason::kSuperseded});
  cluster.Run(Millis{200});
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kNotStarted);
  for (const std::uint32_t number : {2U, 1U}) {
    Propose(MakeProposal("j", number, {0, 1}));
    cluster.Run(Millis{2000});
    EXPECT_EQ(LastUpdate(0).phase, JobPhase::kNotStarted);
  }
  EXPECT_EQ(RunningTasks(), 0U);
}

// Guards against two attempts of one job that run at once.
TEST_F(GangTest, HigherAttemptSupersedesALowerOne) {
  StartGang({0, 1});
  Propose(MakeProposal("j", 2, {0, 2}));
  cluster.Run(Millis{3000});
  bool lost = false;
  for (const JobUpdate& update : cluster.Take<JobUpdate>(0)) {
    lost = lost ||
           (update.attempt.number == 1 && update.phase == JobPhase::kLost &&
            update.reason == "superseded");
  }
  EXPECT_TRUE(lost);
  EXPECT_EQ(RunningTasks(), 2U);
  EXPECT_TRUE(ServerOf(1).running.empty());
}

// Guards against a cancelled gang that keeps running in part.
TEST_F(GangTest, CancelStopsTheWholeGang) {
  StartGang();
  cluster.SendTo(0, StopJob{{JobId("j"), 1}, StopReason::kCancelled});
  cluster.Run(Millis{1000});
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kFailed);
  EXPECT_TRUE(AllFree());
}

// Guards against releases that free one member while another that has not
// received the stop still computes.
TEST_F(GangTest, StopHoldsAcceleratorsUntilNoMemberComputes) {
  StartGang();
  cluster.drop = [](std::size_t from, std::size_t to, const Message&) {
    return from == 2 || to == 2;
  };
  cluster.SendTo(0, StopJob{{JobId("j"), 1}, StopReason::kCancelled});
  cluster.Run(Millis{1000});
  EXPECT_EQ(RunningTasks(), 1U);
  EXPECT_EQ(StateOf(1).gangs.members.size(), 1U);
  cluster.Run(Millis{8000});
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kFailed);
  EXPECT_TRUE(AllFree());
}

// Guards against a gang that runs on without a member whose backend server was
// restarted or cannot be reached.
TEST_F(GangTest, LossOfABackendServerStopsTheWholeGang) {
  StartGang();
  ServerOf(1).Restart();
  cluster.Run(Millis{1000});
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kLost);
  EXPECT_TRUE(AllFree());
  cluster.SendTo(0, JobUpdateAck{{JobId("j"), 1}});
  Propose(MakeProposal("j", 2, {0, 1, 2}));
  cluster.Run(Millis{2000});
  ASSERT_EQ(RunningTasks(), 3U);
  ServerOf(1).reachable = false;
  cluster.Run(Millis{9000});
  EXPECT_EQ(RunningTasks(), 0U);
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kLost);
}

// Guards against a gang that runs on without a member whose agent was
// replaced.
TEST_F(GangTest, ReplacedAgentEndsTheAttempt) {
  StartGang();
  members.clear();
  auto& node = cluster.nodes[1];
  cluster.BreakLinks(1);
  node.options.self.incarnation = Incarnation{999};
  node.state = MakeState(node.options, cluster.NodeNow(1));
  cluster.after_tick = [] {};
  cluster.Run(Millis{8000});
  EXPECT_EQ(LastUpdate(0).phase, JobPhase::kLost);
  EXPECT_TRUE(AllFree());
}

// Guards against an attempt that ends while a task still runs on a backend
// server whose clock is slow.
TEST_F(GangTest, ASlowServersTasksOutliveTheirLeasesByTheDrift) {
  StartGang({0});
  cluster.Take<JobUpdate>(0);
  ServerOf(0).reachable = false;
  bool ended = false;
  for (Millis t{}; t < Millis{9000}; t += Millis{50}) {
    ServerOf(0).clock_offset -= Millis{1};  // 2 % of a tick.
    cluster.Tick();
    ended = ended || IsFinal(LastUpdate(0).phase);
    EXPECT_FALSE(ended && RunningTasks() > 0) << t.count();
  }
  EXPECT_TRUE(ended);
}

}  // namespace
}  // namespace shallotlug::agent
