#include "shallotlug/decision/plan.h"

#include <gtest/gtest.h>

namespace shallotlug::decision {
namespace {

constexpr TimePoint kNow{Millis(10'000'000)};

Cluster MakeCluster(int workers) {
  Cluster cluster;
  for (int n = 0; n < workers; ++n) {
    cluster.AddWorker({AgentName("w" + std::to_string(n)),
                       DataCentreName("d" + std::to_string(n / 30)),
                       RackName("r" + std::to_string(n / 3))});
  }
  return cluster;
}

WaitingJob MakeWaiting(const std::string& id, JobShape shape) {
  WaitingJob job;
  job.id = JobId(id);
  job.customer = CustomerName("c");
  job.job_class = ClassName("batch");
  job.shape = shape;
  job.submitted = kNow;
  job.declared_run_time = Millis(60'000);
  return job;
}

RunningJob MakeRunning(const std::string& id,
                       std::uint32_t worker,
                       AcceleratorMask mask) {
  RunningJob job;
  job.attempt = {JobId(id), 1};
  job.customer = CustomerName("other");
  job.job_class = ClassName("other");
  job.checkpointable = true;
  job.started = kNow - Millis(60'000);
  job.declared_run_time = Millis(600'000);
  job.tasks = {{WorkerIndex{worker}, mask}};
  return job;
}

Targets MakeTargets(const std::string& name,
                    Millis within,
                    Guarantee guarantee) {
  ClassTarget target;
  target.name = ClassName(name);
  target.customer = CustomerName("c");
  target.finish_within = within;
  target.guarantee = guarantee;
  return {1, {{target, 1, false}}};
}

// Guards the cost of a placement at the design scale: the bound is 1/50 of a
// scan of all workers.
TEST(PlanTest, OnePlacementExaminesAFiftiethOfTheWorkers) {
  const Cluster cluster = MakeCluster(14'000);
  for (const JobShape& shape :
       {JobShape{1, 2, Adjacency::kAny}, JobShape{3, 8, Adjacency::kRack},
        JobShape{32, 8, Adjacency::kAny},
        JobShape{30, 8, Adjacency::kDataCentre}}) {
    const Plan plan =
        MakePlan(cluster, {MakeWaiting("a", shape)}, {}, {}, {}, kNow);
    ASSERT_EQ(plan.placements.size(), 1U);
    EXPECT_LE(plan.rows_examined, 14'000U / 50);
  }
}

// Guards against a plan that depends on earlier plans over the same cluster.
TEST(PlanTest, PlanLeavesTheClusterAsItWas) {
  Cluster cluster = MakeCluster(12);
  cluster.AddJob(MakeRunning("r", 1, 0x0f));
  const std::vector<WaitingJob> waiting = {
      MakeWaiting("a", {2, 8, Adjacency::kRack}),
      MakeWaiting("b", {1, 3, Adjacency::kAny})};
  const Plan first = MakePlan(cluster, waiting, {}, {}, {}, kNow);
  const Plan second = MakePlan(cluster, waiting, {}, {}, {}, kNow);
  ASSERT_EQ(first.placements.size(), 2U);
  for (std::size_t n = 0; n < 2; ++n) {
    EXPECT_EQ(first.placements[n].tasks, second.placements[n].tasks);
  }
  EXPECT_EQ(cluster.Free(WorkerIndex{0}), 0xffU);
}

// Guards against small jobs that break up whole workers.
TEST(PlanTest, SmallTaskGoesToAPartlyUsedWorker) {
  Cluster cluster = MakeCluster(6);
  cluster.AddJob(MakeRunning("r", 4, 0x01));
  const Plan plan = MakePlan(
      cluster, {MakeWaiting("a", {1, 1, Adjacency::kAny})}, {}, {}, {}, kNow);
  ASSERT_EQ(plan.placements.size(), 1U);
  EXPECT_EQ(plan.placements[0].tasks[0], (Allocation{WorkerIndex{4}, 0x02}));
}

// Guards against retrying a job at the worker that failed it.
TEST(PlanTest, JobAvoidsWorkersThatFailedItWhileOthersExist) {
  const Cluster cluster = MakeCluster(2);
  WaitingJob job = MakeWaiting("a", {1, 8, Adjacency::kAny});
  job.failed_at = {AgentName("w0")};
  Plan plan = MakePlan(cluster, {job}, {}, {}, {}, kNow);
  ASSERT_EQ(plan.placements.size(), 1U);
  EXPECT_EQ(plan.placements[0].tasks[0].worker, WorkerIndex{1});
  job.failed_at.push_back(AgentName("w1"));
  plan = MakePlan(cluster, {job}, {}, {}, {}, kNow);
  EXPECT_EQ(plan.placements.size(), 1U);
}

// Guards against new work on a worker that is leaving or in quarantine.
TEST(PlanTest, UnschedulableWorkerGetsNothing) {
  Cluster cluster = MakeCluster(1);
  cluster.SetSchedulable(WorkerIndex{0}, false);
  const std::vector<WaitingJob> waiting = {
      MakeWaiting("a", {1, 0, Adjacency::kAny}),
      MakeWaiting("b", {1, 1, Adjacency::kAny})};
  EXPECT_TRUE(MakePlan(cluster, waiting, {}, {}, {}, kNow).placements.empty());
}

// Guards the choice of victims: the least progress is lost, and only whole jobs
// that may be stopped.
TEST(PlanTest, ReclaimStopsTheJobWithTheLowestPreemptionCost) {
  Cluster cluster = MakeCluster(2);
  RunningJob costly = MakeRunning("costly", 0, 0xff);
  costly.checkpointable = false;
  cluster.AddJob(costly);
  cluster.AddJob(MakeRunning("cheap", 1, 0xff));
  const Targets targets =
      MakeTargets("batch", Millis(0), {1, 8, Adjacency::kWorker});
  const Plan plan =
      MakePlan(cluster, {MakeWaiting("a", {1, 8, Adjacency::kAny})}, targets,
               {}, {}, kNow);
  ASSERT_EQ(plan.placements.size(), 1U);
  EXPECT_EQ(plan.placements[0].victims, std::vector{JobId("cheap")});
  ASSERT_EQ(plan.preemptions.size(), 1U);
  EXPECT_FALSE(plan.preemptions[0].for_migration);
}

// Guards P1 against non-preemptible work.
TEST(PlanTest, NonPreemptibleJobLeavesTheGuaranteePlaceable) {
  const Cluster cluster = MakeCluster(1);
  const Targets targets =
      MakeTargets("guaranteed", Millis(0), {1, 8, Adjacency::kWorker});
  WaitingJob job = MakeWaiting("a", {1, 1, Adjacency::kAny});
  job.repeatable = false;
  EXPECT_TRUE(
      MakePlan(cluster, {job}, targets, {}, {}, kNow).placements.empty());
  job.repeatable = true;
  EXPECT_EQ(MakePlan(cluster, {job}, targets, {}, {}, kNow).placements.size(),
            1U);
}

// Guards archive work against starvation by a steady stream of urgent work.
TEST(PlanTest, OldArchiveWorkIsPlacedBeforeNewUrgentWork) {
  const Cluster cluster = MakeCluster(1);
  Targets targets = MakeTargets("batch", Millis(60'000), {});
  targets.entries.push_back(
      MakeTargets("archive", Millis(3'600'000), {}).entries[0]);
  WaitingJob old = MakeWaiting("old", {1, 8, Adjacency::kAny});
  old.job_class = ClassName("archive");
  old.declared_run_time = Millis(1000);
  old.submitted = kNow - Millis(3'590'000);
  WaitingJob fresh = MakeWaiting("fresh", {1, 8, Adjacency::kAny});
  fresh.declared_run_time = Millis(1000);
  const Plan plan = MakePlan(cluster, {fresh, old}, targets, {}, {}, kNow);
  ASSERT_EQ(plan.placements.size(), 1U);
  EXPECT_EQ(plan.placements[0].job, JobId("old"));
}

// Guards against gangs that wait while single tasks with less slack take every
// rack.
TEST(PlanTest, GangWithinARackGoesBeforeSingleTasks) {
  const Cluster cluster = MakeCluster(3);
  Targets targets = MakeTargets("batch", Millis(1'200'000), {});
  targets.entries.push_back(
      MakeTargets("gangs", Millis(3'600'000), {}).entries[0]);
  WaitingJob gang = MakeWaiting("gang", {3, 8, Adjacency::kRack});
  gang.job_class = ClassName("gangs");
  const std::vector<WaitingJob> waiting = {
      MakeWaiting("single", {1, 8, Adjacency::kAny}), gang};
  const Plan plan = MakePlan(cluster, waiting, targets, {}, {}, kNow);
  ASSERT_EQ(plan.placements.size(), 1U);
  EXPECT_EQ(plan.placements[0].job, JobId("gang"));
}

// Guards gangs against starvation by scattered small work, and the budget.
TEST(PlanTest, CheckpointableJobsAreMigratedForAGangWithinTheBudget) {
  Cluster cluster = MakeCluster(3);
  for (std::uint32_t n = 0; n < 3; ++n) {
    cluster.AddJob(MakeRunning("r" + std::to_string(n), n, 0x01));
  }
  const std::vector<WaitingJob> waiting = {
      MakeWaiting("gang", {2, 8, Adjacency::kRack})};
  PlanOptions options;
  const Plan plan = MakePlan(cluster, waiting, {}, {}, options, kNow);
  ASSERT_EQ(plan.placements.size(), 1U);
  EXPECT_EQ(plan.preemptions.size(), 2U);
  EXPECT_TRUE(plan.preemptions[0].for_migration);
  options.least_migrations = 1;
  EXPECT_TRUE(
      MakePlan(cluster, waiting, {}, {}, options, kNow).placements.empty());
}

// Guards gangs against work that cannot be checkpointed, and long runs of such
// work against a restart.
TEST(PlanTest, UncheckpointableJobIsMigratedOnlyWhileLittleWorkIsLost) {
  const std::vector<WaitingJob> waiting = {
      MakeWaiting("gang", {2, 8, Adjacency::kRack})};
  for (const auto& [age, placed] :
       {std::pair(Millis(60'000), 1U), std::pair(Millis(1'200'000), 0U)}) {
    Cluster cluster = MakeCluster(3);
    for (std::uint32_t n = 0; n < 3; ++n) {
      RunningJob job = MakeRunning("r" + std::to_string(n), n, 0x01);
      job.checkpointable = false;
      job.started = kNow - age;
      cluster.AddJob(job);
    }
    const Plan plan = MakePlan(cluster, waiting, {}, {}, {}, kNow);
    EXPECT_EQ(plan.placements.size(), placed) << age.count();
  }
}

// Guards non-preemptible gangs against starvation, and P1 against them.
TEST(PlanTest, MigrationMakesRoomForANonPreemptibleGangBesideGuarantees) {
  Cluster cluster = MakeCluster(3);
  for (std::uint32_t n = 0; n < 3; ++n) {
    cluster.AddJob(MakeRunning("r" + std::to_string(n), n, 0x01));
  }
  WaitingJob gang = MakeWaiting("gang", {2, 8, Adjacency::kRack});
  gang.repeatable = false;
  for (const auto& [groups, placed] : {std::pair(1, 1U), std::pair(2, 0U)}) {
    const Targets targets =
        MakeTargets("guaranteed", Millis(0), {groups, 8, Adjacency::kWorker});
    const Plan plan = MakePlan(cluster, {gang}, targets, {}, {}, kNow);
    EXPECT_EQ(plan.placements.size(), placed) << groups;
    EXPECT_EQ(plan.preemptions.size(), 2 * placed) << groups;
  }
}

// Guards live requests against gangs, which cannot be throttled.
TEST(PlanTest, GangsLeaveRoomForLiveRequests) {
  const Cluster cluster = MakeCluster(4);
  Targets targets = MakeTargets("match", Millis(1000), {});
  targets.entries[0].target.kind = WorkKind::kLive;
  PlanOptions options;
  options.live_headroom = 4;
  const std::vector<WaitingJob> waiting = {
      MakeWaiting("a", {2, 8, Adjacency::kAny}),
      MakeWaiting("b", {2, 8, Adjacency::kAny})};
  EXPECT_EQ(
      MakePlan(cluster, waiting, targets, {}, options, kNow).placements.size(),
      1U);
}

// Guards against jobs that wait forever for a shape that does not exist.
TEST(PlanTest, ShapesThatNeverFitAreExplained) {
  const Cluster cluster = MakeCluster(5);
  EXPECT_EQ(WhyNeverPlaceable(cluster, {3, 8, Adjacency::kRack}), "");
  EXPECT_EQ(WhyNeverPlaceable(cluster, {4, 8, Adjacency::kRack}),
            "no rack holds 4 tasks of 8 accelerators; the most that fit are 3");
  EXPECT_NE(WhyNeverPlaceable(cluster, {2, 5, Adjacency::kWorker}), "");
}

// Guards the acceptance of guarantees that together exceed the capacity.
TEST(PlanTest, ExcessiveGuaranteesAreRejectedWithTheArithmetic) {
  const Cluster cluster = MakeCluster(6);
  Targets targets = MakeTargets("a", Millis(0), {2, 16, Adjacency::kRack});
  EXPECT_TRUE(CheckGuarantees(cluster, targets).empty());
  targets.entries.push_back(
      MakeTargets("b", Millis(0), {3, 8, Adjacency::kWorker}).entries[0]);
  EXPECT_EQ(CheckGuarantees(cluster, targets),
            std::vector<std::string>{
                "class b of customer c: 3 groups of 8 accelerators within one "
                "worker need 24; the guarantees before it take 32 of 48, and 2 "
                "of the groups fit beside them"});
}

// Guards the report when workers die: the shortfall is shown, and what still
// fits can still be reclaimed.
TEST(PlanTest, LostWorkersAreReportedAndTheRestIsKept) {
  Cluster cluster = MakeCluster(3);
  const Targets targets =
      MakeTargets("batch", Millis(0), {3, 8, Adjacency::kWorker});
  cluster.AddJob(MakeRunning("filler", 1, 0xff));
  EXPECT_EQ(GuaranteeStates(cluster, targets)[0].standing,
            GuaranteeStanding::kLent);
  cluster.RemoveWorker(WorkerIndex{0});
  const GuaranteeStatus status = GuaranteeStates(cluster, targets)[0];
  EXPECT_EQ(status.standing, GuaranteeStanding::kShort);
  EXPECT_EQ(status.groups_short, 1);
  const std::vector<WaitingJob> waiting = {
      MakeWaiting("a", {1, 8, Adjacency::kAny}),
      MakeWaiting("b", {1, 8, Adjacency::kAny})};
  EXPECT_EQ(MakePlan(cluster, waiting, targets, {}, {}, kNow).placements.size(),
            2U);
}

}  // namespace
}  // namespace shallotlug::decision
