#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kEight{64'000, 64'000, 8};
// Longer than the state of a job is kept, in rounds of 50 ms.
constexpr int kRetentionRounds = 3'700;
// A lease, its margin for a slow clock, and the time to stop, in rounds.
constexpr int kRoundsOfALease = (7'500 + 350 + 400) / 50 + 2;

class OutcomesTest : public testing::Test {
 protected:
  OutcomesTest() {
    scheduler.AddQueue("batch", 1);
    scheduler.AddCustomer("acme", 8);
    scheduler.AddWorker("a1", "r1", kEight);
  }

  TestScheduler scheduler;
};

TEST_F(OutcomesTest,
       MigratesCheckpointedJobsThatCannotEndBeforeTheWorkerLeaves) {
  workload::Job saves = scheduler.Job("saves", "batch", "acme", 1, 8);
  saves.steps[0].saves_checkpoints = true;
  scheduler.Submit(saves);
  scheduler.Run(40);
  scheduler.AddWorker("a2", "r1", kEight);
  // Two seconds for a tenth of the work; one second is left.
  scheduler.Drain("a1", Millis(1'000), 10);
  scheduler.Run(6);
  EXPECT_EQ(scheduler.Running("saves").count("a2"), 1U);
}

TEST_F(OutcomesTest, DoesNotMigrateJobsThatEndInTime) {
  workload::Job saves = scheduler.Job("saves", "batch", "acme", 1, 8);
  saves.steps[0].saves_checkpoints = true;
  scheduler.Submit(saves);
  scheduler.Run(40);
  scheduler.AddWorker("a2", "r1", kEight);
  scheduler.Drain("a1", Millis(1'000), 80);
  scheduler.Run(6);
  EXPECT_EQ(scheduler.Running("saves").count("a1"), 1U);
}

// A stop would lose the work for certain, while the run may still end in time:
// a worker often stays somewhat longer than announced.
TEST_F(OutcomesTest, DoesNotMigrateJobsWithoutCheckpointsThatMayEndInTime) {
  scheduler.Submit(scheduler.Job("loses", "batch", "acme", 1, 8));
  scheduler.Run(40);
  scheduler.AddWorker("a2", "r1", kEight);
  // Two seconds for 45 % of the work: 2.4 s are left, one of them announced.
  scheduler.Drain("a1", Millis(1'000), 45);
  scheduler.Run(6);
  EXPECT_EQ(scheduler.Running("loses").count("a1"), 1U);
}

// Guards against an urgent job that waits for the lease of a worker that was
// taken away at short notice, although the run could not have ended there.
TEST_F(OutcomesTest, MigratesJobsThatNeedAWorkerForMuchLongerThanItStays) {
  scheduler.Submit(scheduler.Job("loses", "batch", "acme", 1, 8));
  scheduler.Run(40);
  scheduler.AddWorker("a2", "r1", kEight);
  scheduler.Drain("a1", Millis(1'000), 10);
  scheduler.Run(6);
  EXPECT_EQ(scheduler.Running("loses").count("a2"), 1U);
}

// Guards against runs that are placed again only seconds after the lease of a
// worker that has left: its agent reports on, but can extend no lease there.
TEST_F(OutcomesTest, PlacesRunsAgainWhenTheLeaseOfASilentWorkerIsOver) {
  scheduler.Submit(scheduler.Job("lost", "batch", "acme", 1, 8));
  scheduler.Run(2);
  scheduler.AddWorker("a2", "r1", kEight);
  scheduler.Silence("a1");
  scheduler.Run(kRoundsOfALease);
  EXPECT_EQ(scheduler.Running("lost").count("a2"), 1U);
}

// Guards against runs that wait for ever for a worker that is lost together
// with the process of its agent: the next process has never heard of the
// worker.
TEST_F(OutcomesTest, PlacesRunsAgainWhenARestartedAgentKnowsNoWorker) {
  scheduler.Submit(scheduler.Job("lost", "batch", "acme", 1, 8));
  scheduler.Run(2);
  scheduler.AddWorker("a2", "r1", kEight);
  scheduler.LoseWorker("a1");
  scheduler.RestartAgent("a1");
  scheduler.Run(kRoundsOfALease);
  EXPECT_EQ(scheduler.Running("lost").count("a2"), 1U);
}

// As above, when the next scheduler hears only of an agent without a worker.
TEST_F(OutcomesTest, PlacesRunsOfAPredecessorWhoseWorkerIsUnknown) {
  scheduler.Submit(scheduler.Job("lost", "batch", "acme", 1, 8));
  scheduler.Run(2);
  scheduler.AddWorker("a2", "r1", kEight);
  scheduler.LoseWorker("a1");
  scheduler.RestartAgent("a1");
  scheduler.Replace();
  scheduler.Run(kRoundsOfALease);
  EXPECT_EQ(scheduler.Running("lost").count("a2"), 1U);
}

// Guards against a run that its agent reports for ever, as it cannot be stopped
// on a worker that has left.
TEST_F(OutcomesTest, PlacesARunAgainThatCannotBeStoppedOnAWorkerThatHasLeft) {
  scheduler.Submit(scheduler.Job("lost", "batch", "acme", 1, 8));
  scheduler.Run(2);
  scheduler.AddWorker("a2", "r1", kEight);
  scheduler.LeaveWithRuns("a1");
  scheduler.Run(kRoundsOfALease);
  EXPECT_EQ(scheduler.Running("lost").count("a2"), 1U);
}

// Guards against runs on the worker's present life that are abandoned, and
// start twice, when a former process of the agent reports its former life late.
TEST_F(OutcomesTest, IgnoresALateReplyOfAFormerAgentProcess) {
  const AgentName agent("a1");
  scheduler.Submit(scheduler.Job("j", "batch", "acme", 1, 8));
  scheduler.Run(2);
  const Incarnation former = scheduler.Get()
                                 .MakeSync(agent, Millis{0}, scheduler.Clock())
                                 .lease_from.incarnation;
  const protocol::SyncReply late = scheduler.Report("a1");
  scheduler.Crash("a1", false);
  scheduler.RestartAgent("a1");
  scheduler.Run(4);
  const workload::TaskRef task{JobId("j"), 0, 0, 0};
  ASSERT_EQ(scheduler.Starts(task).size(), 2U);
  scheduler.Get().OnReply(agent, former, late, scheduler.Clock());
  const protocol::SyncRequest next =
      scheduler.Get().MakeSync(agent, Millis{0}, scheduler.Clock());
  EXPECT_EQ(next.lease_from.incarnation, Incarnation{2});
  EXPECT_EQ(next.worker, scheduler.Report("a1").worker.life);
  scheduler.Run(4);
  EXPECT_EQ(scheduler.Starts(task).size(), 2U);
}

// Guards against a job that runs again after its end, because the agent has
// forgotten the end and the scheduler was lost before it recorded it.
TEST_F(OutcomesTest, SettlesEndsOfAFormerLifeOnlyWhenTheyAreRecorded) {
  const AgentName agent("a1");
  scheduler.Submit(scheduler.Job("j", "batch", "acme", 1, 8));
  scheduler.Run(2);
  const workload::RunRef run{{JobId("j"), 0, 0, 0}, 1};
  scheduler.Crash("a1", false);
  protocol::SyncReply reply = scheduler.Report("a1");
  reply.former_ends = {{1, run, workload::EndReason::kDone, ""}};
  reply.crashes.clear();
  const auto settled = [&] {
    return scheduler.Get()
        .MakeSync(agent, Millis{0}, scheduler.Clock())
        .settled;
  };
  scheduler.Get().OnReply(agent, Incarnation{1}, reply, scheduler.Clock());
  EXPECT_THAT(settled(), testing::IsEmpty());
  scheduler.Get().Plan(scheduler.Policy(), scheduler.Clock());
  EXPECT_THAT(settled(), testing::IsEmpty());
  scheduler.Get().Commit();
  EXPECT_THAT(settled(), testing::ElementsAre(run));
}

// Guards against a task that no scheduler starts again: the agent has forgotten
// that it refused the run, and the scheduler was lost before it recorded that.
TEST_F(OutcomesTest, SettlesRefusalsOnlyWhenTheyAreRecorded) {
  const AgentName agent("a1");
  scheduler.Submit(scheduler.Job("j", "batch", "acme", 1, 8));
  scheduler.Run(2);
  const workload::RunRef run{{JobId("j"), 0, 0, 0}, 1};
  protocol::SyncReply reply = scheduler.Report("a1");
  reply.runs.clear();
  reply.refusals = {{run, protocol::RefusalReason::kNoRoom}};
  const auto settled = [&] {
    return scheduler.Get()
        .MakeSync(agent, Millis{0}, scheduler.Clock())
        .settled;
  };
  scheduler.Get().OnReply(agent, Incarnation{1}, reply, scheduler.Clock());
  EXPECT_THAT(settled(), testing::IsEmpty());
  scheduler.Get().Plan(scheduler.Policy(), scheduler.Clock());
  EXPECT_THAT(settled(), testing::IsEmpty());
  scheduler.Get().Commit();
  EXPECT_THAT(settled(), testing::ElementsAre(run));
}

// Guards against an agent that is ignored for good because its first reply
// could not be told from one of a former process.
TEST_F(OutcomesTest, AcceptsANewAgentProcessAfterAnIgnoredReply) {
  const AgentName agent("a1");
  const auto known = [&] {
    return scheduler.Get()
        .MakeSync(agent, Millis{0}, scheduler.Clock())
        .lease_from.incarnation;
  };
  const Incarnation first = known();
  scheduler.Run(1);
  scheduler.RestartAgent("a1");
  scheduler.Get().OnReply(agent, first, scheduler.Report("a1"),
                          scheduler.Clock());
  EXPECT_EQ(known(), Incarnation{1});
  scheduler.Run(1);
  EXPECT_EQ(known(), Incarnation{2});
}

// Guards against a log that keeps every job forever.
TEST_F(OutcomesTest, DropsJobsWhoseStateNeedNotBeReported) {
  scheduler.Submit(scheduler.Job("j", "batch", "acme", 1, 8));
  scheduler.Run(2);
  scheduler.End({JobId("j"), 0, 0, 0}, workload::EndReason::kDone);
  scheduler.Run(100);
  ASSERT_NE(scheduler.Log().at("p/j/0"), "");
  EXPECT_EQ(scheduler.Log().count("j/j"), 0U);
  scheduler.Run(kRetentionRounds);
  EXPECT_EQ(scheduler.Log().at("p/j/0"), "");
  EXPECT_EQ(scheduler.Log().at("j/j"), "");
}

// A submission may be repeated after its job was forgotten, while the log still
// holds how it ended.
TEST_F(OutcomesTest, DoesNotRestartAJobWhoseEndIsRecorded) {
  workload::JobEntry entry;
  entry.job = scheduler.Job("j", "batch", "acme", 1, 8);
  workload::Progress progress = workload::MakeProgress(*entry.job);
  progress.outcome = workload::Outcome::kCompleted;
  progress.steps[0][0].phase = workload::TaskPhase::kDone;
  progress.steps[0][0].run = 1;
  entry.occurrences[0] = progress;
  scheduler.Get().AddJob(entry, scheduler.Clock());
  scheduler.Run(4);
  EXPECT_TRUE(scheduler.Running("j").empty());
}

// Guards against members of a completed gang that run again, as a lost
// scheduler recorded only the part of the job with the others.
TEST_F(OutcomesTest, CompletesAGangOfWhichSomeMembersAreRecordedAsDone) {
  workload::JobEntry entry;
  entry.job = scheduler.Job("j", "batch", "acme", 2, 4);
  entry.job->steps[0].gang = true;
  workload::Progress progress = workload::MakeProgress(*entry.job);
  progress.in_parts = true;
  for (workload::TaskProgress& it : progress.steps[0]) {
    it.run = 1;
  }
  progress.steps[0][1].phase = workload::TaskPhase::kDone;
  entry.occurrences[0] = progress;
  scheduler.Get().AddJob(entry, scheduler.Clock());
  scheduler.Run(4);
  EXPECT_TRUE(scheduler.Running("j").empty());
  EXPECT_THAT(scheduler.Log().at("p/j/0"), testing::HasSubstr("\"outcome\":1"));
}

// Guards against a job shown as failed too early: its scheduler recorded the
// failure of a run and was lost before the agent heard so, and the next one was
// told of the same failure.
TEST_F(OutcomesTest, CountsTheFailureOfARunOnceAcrossSchedulers) {
  workload::Job job = scheduler.Job("j", "batch", "acme", 2, 4);
  job.steps[0].gang = true;
  scheduler.Submit(job);
  scheduler.Run(2);
  scheduler.LoseAcknowledgements();
  // There is no room for another run.
  scheduler.Drain("a1", Millis(60'000), 50);
  scheduler.End({JobId("j"), 0, 0, 0}, workload::EndReason::kFailed);
  scheduler.Run(1);
  for (int n = 0; n < 3; ++n) {
    scheduler.Replace();
    scheduler.Run(1);
  }
  EXPECT_THAT(scheduler.Log().at("p/j/0"), testing::HasSubstr("\"outcome\":0"));
}

// Guards against runs in a data centre that the operator has evacuated.
TEST_F(OutcomesTest, PlacesNothingInAnEvacuatedDataCentre) {
  scheduler.Policy().evacuated_data_centres = {"dc-r1"};
  scheduler.Submit(scheduler.Job("j", "batch", "acme", 1, 8));
  scheduler.Run(4);
  EXPECT_TRUE(scheduler.Running("j").empty());
  scheduler.Policy().evacuated_data_centres.clear();
  scheduler.Run(4);
  EXPECT_EQ(scheduler.Running("j").size(), 1U);
}

// Guards against jobs that stay on a worker whose agent reports but whose tasks
// make no progress, and against new runs that are placed there.
// Guards against starts on a worker that does not guard its capacity, after it
// has shrunk below what runs there.
TEST_F(OutcomesTest, PlacesOnlyWhatAShrunkenWorkerHolds) {
  scheduler.Submit(scheduler.Job("first", "batch", "acme", 4, 1));
  scheduler.Run(2);
  scheduler.SetCapacity("a1", {64'000, 64'000, 2});
  scheduler.Run(1);
  scheduler.Submit(scheduler.Job("gpu", "batch", "acme", 1, 1));
  scheduler.Submit(scheduler.Job("cpu", "batch", "acme", 1, 0));
  scheduler.Run(40);
  EXPECT_TRUE(scheduler.Running("gpu").empty());
  EXPECT_TRUE(scheduler.Running("cpu").empty());
  scheduler.AddWorker("a2", "r1", {64'000, 64'000, 0});
  scheduler.Run(4);
  EXPECT_EQ(scheduler.Running("cpu").count("a2"), 1U);
  scheduler.SetCapacity("a1", kEight);
  scheduler.Run(4);
  EXPECT_EQ(scheduler.Running("gpu").count("a1"), 1U);
}

// Guards against room that is counted before the runs that hold it have ended.
TEST_F(OutcomesTest, CountsStoppingRunsOnAShrunkenWorker) {
  scheduler.Submit(scheduler.Job("first", "batch", "acme", 4, 1));
  scheduler.Run(2);
  scheduler.SetCapacity("a1", {64'000, 64'000, 4});
  scheduler.HoldStops("a1");
  scheduler.Get().CancelJob(JobId("first"));
  scheduler.Submit(scheduler.Job("next", "batch", "acme", 1, 1));
  scheduler.Run(40);
  EXPECT_TRUE(scheduler.Running("next").empty());
}

TEST_F(OutcomesTest, MigratesJobsWithoutProgress) {
  scheduler.Submit(scheduler.Job("stuck", "batch", "acme", 1, 4));
  scheduler.Run(2);
  ASSERT_EQ(scheduler.Running("stuck").count("a1"), 1U);
  scheduler.AddWorker("a2", "r1", kEight);
  scheduler.Run(80);
  EXPECT_EQ(scheduler.Running("stuck").count("a2"), 1U);
}

TEST_F(OutcomesTest, DoesNotMigrateJobsThatMakeProgress) {
  scheduler.Submit(scheduler.Job("slow", "batch", "acme", 1, 4));
  scheduler.Run(2);
  scheduler.AddWorker("a2", "r1", kEight);
  for (int percent = 1; percent < 10; ++percent) {
    scheduler.Advance("a1", percent);
    scheduler.Run(20);
  }
  EXPECT_EQ(scheduler.Running("slow").count("a1"), 1U);
}

// Guards against an append, and a read by every entry, for each checkpoint of
// each task.
TEST_F(OutcomesTest, RecordsACheckpointOnlyWithAnotherChange) {
  workload::Job saves = scheduler.Job("saves", "batch", "acme", 1, 8);
  saves.steps[0].saves_checkpoints = true;
  scheduler.Submit(saves);
  scheduler.Run(2);
  const int records = scheduler.Records();
  for (const char* checkpoint : {"c1", "c2", "c3"}) {
    scheduler.SaveCheckpoint("a1", checkpoint);
    scheduler.Run(2);
  }
  EXPECT_EQ(scheduler.Records(), records);
  scheduler.End({JobId("saves"), 0, 0, 0}, workload::EndReason::kLapsed);
  scheduler.Run(1);
  EXPECT_THAT(scheduler.Log().at("p/saves/0"), testing::HasSubstr("c3"));
}

// Guards against a list of agents, and of calls to them, that grows with every
// machine that was ever replaced.
TEST_F(OutcomesTest, RemovesUnreachableAgents) {
  scheduler.Run(2);
  scheduler.Get().AddAgent({AgentName("old"), "old", Incarnation{1}},
                           scheduler.Clock());
  scheduler.Run(2);
  EXPECT_EQ(scheduler.Get().Agents().size(), 2U);
  scheduler.Clock().local += Millis(700'000);
  scheduler.Clock().wall += Millis(700'000);
  scheduler.Run(2);
  ASSERT_EQ(scheduler.Get().Agents().size(), 1U);
  EXPECT_EQ(scheduler.Get().Agents()[0].agent, AgentName("a1"));
  EXPECT_EQ(scheduler.Log().at("n/old"), "");
}

}  // namespace
}  // namespace shallotlug::scheduler
