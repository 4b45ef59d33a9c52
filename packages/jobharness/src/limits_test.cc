#include <string>

#include <gtest/gtest.h>

#include "shallotlug/jobharness/job_simulation.h"

/// Work that crosses a limit of a worker's list or of the store.
namespace shallotlug::jobharness {
namespace {

constexpr Millis kSettle{40'000};

constexpr int kTasksOfPages = 40;

// One worker with room for all tasks, which lists eight pages of ends.
JobSimulationOptions WorkerWithPages(std::uint64_t seed) {
  JobSimulationOptions options;
  options.seed = seed;
  options.agents = 1;
  options.worker = {64'000, 64'000, kTasksOfPages};
  options.ends_per_page = 5;
  return options;
}

// Guards against ends on later pages of a worker's list that are taken for runs
// that were lost.
TEST(JobSimulationTest, RunsNoTaskAgainWhoseEndIsOnALaterPage) {
  JobSimulation world(WorkerWithPages(1));
  world.Run(Millis(1'000));
  world.Submit(MakeJob("j1", kTasksOfPages, "1500"));
  world.Run(Millis(10'000));
  EXPECT_EQ(world.Shown(JobId("j1")), "completed");
  EXPECT_EQ(world.Oracle().Starts(), kTasksOfPages);
  EXPECT_EQ(world.Finish(kSettle), "");
}

// Guards against the same by a new process of the agent, which knows no run but
// from the worker's lists.
TEST(JobSimulationTest, RunsNoTaskAgainAfterTheAgentRestartsBetweenPages) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    JobSimulation world(WorkerWithPages(seed));
    world.Run(Millis(1'000));
    world.Submit(MakeJob("j1", kTasksOfPages, "1500"));
    world.Run(Millis(1'600 + 40 * static_cast<int>(seed)));
    world.KillAgent(0);
    world.Run(Millis(300));
    world.StartAgent(0);
    world.Run(Millis(15'000));
    EXPECT_EQ(world.Oracle().Starts(), kTasksOfPages) << "seed " << seed;
    EXPECT_EQ(world.Finish(kSettle), "") << "seed " << seed;
  }
}

// Guards against the same by new schedulers, which order all recorded runs
// again.
TEST(JobSimulationTest, RunsNoTaskAgainAfterSchedulersAreLostBetweenPages) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    JobSimulation world(WorkerWithPages(seed));
    world.Run(Millis(1'000));
    world.Submit(MakeJob("j1", kTasksOfPages, "1500"));
    world.Run(Millis(1'600 + 40 * static_cast<int>(seed)));
    for (int n = 0; n < 3; ++n) {
      world.KillEntry(n);
      world.Run(Millis(400));
      world.StartEntry(n);
    }
    world.Run(Millis(15'000));
    EXPECT_EQ(world.Oracle().Starts(), kTasksOfPages) << "seed " << seed;
    EXPECT_EQ(world.Finish(kSettle), "") << "seed " << seed;
  }
}

// Guards against a run that was stopped, has ended done before, and is placed
// anew, as its end is on a later page.
TEST(JobSimulationTest, RunsNoTaskAgainThatEndedDoneBeforeItsStop) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    JobSimulation world(WorkerWithPages(seed));
    world.Run(Millis(1'000));
    world.Submit(MakeJob("j1", kTasksOfPages, "1500"));
    world.Run(Millis(1'500 + 20 * static_cast<int>(seed)));
    workload::Job urgent = MakeJob("j2", kTasksOfPages, "500");
    urgent.queue = "live";
    urgent.terms.priority = 0;
    world.Submit(urgent);
    world.Run(Millis(15'000));
    EXPECT_EQ(world.Finish(kSettle), "") << "seed " << seed;
  }
}

constexpr int kRepeatedJobs = 8;
constexpr int kOccurrences = 200;

// A job of which many occurrences are due and at work at once.
workload::Job RepeatedJob(const std::string& id, const JobSimulation& world) {
  workload::Job job = MakeJob(id, 1, "60000");
  job.recurrence.count = kOccurrences;
  job.recurrence.first = workload::WallTime(world.Now().time_since_epoch());
  job.recurrence.interval = Millis(1);
  return job;
}

void SubmitRepeatedJobs(JobSimulation& world) {
  for (int n = 0; n < kRepeatedJobs; ++n) {
    world.Submit(RepeatedJob("repeated" + std::to_string(n), world));
  }
}

void CancelRepeatedJobs(JobSimulation& world) {
  for (int n = 0; n < kRepeatedJobs; ++n) {
    world.Cancel(JobId("repeated" + std::to_string(n)));
  }
}

// Workers with room for all of these jobs.
JobSimulationOptions LargeWorkers(std::uint64_t seed) {
  JobSimulationOptions options;
  options.seed = seed;
  options.worker = {1'000'000, 1'000'000, 500};
  return options;
}

// Guards against a wave of cancels whose records exceed the store's limit for
// one append, so that no scheduler ever records anything again.
TEST(JobSimulationTest, RecordsAWaveOfCancelsInSeveralAppends) {
  JobSimulationOptions options = LargeWorkers(1);
  options.store = {4'000, 8'000};
  JobSimulation world(options);
  world.Run(Millis(1'000));
  SubmitRepeatedJobs(world);
  world.Run(Millis(1'000));
  CancelRepeatedJobs(world);
  world.Run(Millis(500));
  world.Submit(MakeJob("plain", 4, "500"));
  world.Run(Millis(3'000));
  EXPECT_EQ(world.Shown(JobId("plain")), "completed");
  EXPECT_EQ(world.Finish(kSettle), "");
}

// Guards against the same for schedulers that begin between two parts of such a
// wave: what was acknowledged before must stay true.
TEST(JobSimulationTest, SurvivesTheLossOfSchedulersInAWaveOfCancels) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    JobSimulationOptions options = LargeWorkers(seed);
    options.store = {4'000, 8'000};
    JobSimulation world(options);
    world.Run(Millis(1'000));
    world.Submit(MakeJob("before", 12, "1500"));
    SubmitRepeatedJobs(world);
    world.Run(Millis(1'000));
    CancelRepeatedJobs(world);
    world.Run(Millis(20 * static_cast<int>(seed)));
    for (int n = 0; n < 3; ++n) {
      world.KillEntry(n);
      world.Run(Millis(500));
      world.StartEntry(n);
    }
    world.Submit(MakeJob("plain", 4, "500"));
    EXPECT_EQ(world.Finish(kSettle), "") << "seed " << seed;
    EXPECT_EQ(world.Shown(JobId("plain")), "completed") << "seed " << seed;
    EXPECT_EQ(world.Shown(JobId("before")), "completed") << "seed " << seed;
  }
}

// Guards against a scheduler that gives up or starts over where the store takes
// less at once than the scheduler was told.
TEST(JobSimulationTest, RecordsAWaveOfCancelsBeyondAnUnknownLimit) {
  JobSimulation world(LargeWorkers(1));
  world.Store().SetLimits({4'000, 8'000});
  world.Run(Millis(1'000));
  SubmitRepeatedJobs(world);
  world.Run(Millis(1'000));
  CancelRepeatedJobs(world);
  world.Run(Millis(500));
  world.Submit(MakeJob("plain", 4, "500"));
  world.Run(Millis(10'000));
  EXPECT_EQ(world.Shown(JobId("plain")), "completed");
  EXPECT_EQ(world.Finish(kSettle), "");
}

// Guards against one record that the store refuses for good and that holds up
// the records of all other jobs.
TEST(JobSimulationTest, ARefusedRecordStopsOnlyItsOwnJob) {
  JobSimulation world({});
  world.Store().RefuseKey("p/refused/0");
  world.Run(Millis(1'000));
  world.Submit(MakeJob("refused", 2, "500"));
  world.Submit(MakeJob("j1", 2, "500"));
  world.Run(Millis(1'500));
  world.Submit(MakeJob("j2", 8, "500"));
  world.Run(Millis(4'000));
  EXPECT_EQ(world.Shown(JobId("refused")), "queued");
  EXPECT_EQ(world.Shown(JobId("j1")), "completed");
  EXPECT_EQ(world.Shown(JobId("j2")), "completed");
}

constexpr int kTasksOfLargeJob = 2'500;

// Workers with room for a job whose progress takes more than one record.
JobSimulationOptions SmallRecords(std::uint64_t seed) {
  JobSimulationOptions options;
  options.seed = seed;
  options.worker = {1'000'000, 1'000'000, 700};
  options.store = {45'000, 120'000};
  return options;
}

// Guards against one job whose record exceeds the store's limit, so that no
// scheduler records anything while it is at work.
TEST(JobSimulationTest, RecordsALargeJobInParts) {
  JobSimulation world(SmallRecords(1));
  world.Run(Millis(1'000));
  workload::Job large = MakeJob("large", kTasksOfLargeJob, "2000+");
  large.steps[0].saves_checkpoints = true;
  world.Submit(large);
  world.Run(Millis(2'000));
  world.Submit(MakeJob("plain", 4, "500"));
  world.Run(Millis(2'000));
  EXPECT_EQ(world.Shown(JobId("plain")), "completed");
  world.Run(Millis(8'000));
  EXPECT_EQ(world.Shown(JobId("large")), "completed");
  EXPECT_EQ(world.Oracle().Starts(), kTasksOfLargeJob + 4);
  EXPECT_EQ(world.Finish(kSettle), "");
}

// Guards against a successor that does not know some of the parts, or takes
// them for newer than they are.
TEST(JobSimulationTest, SurvivesTheLossOfSchedulersOfAJobInParts) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    JobSimulation world(SmallRecords(seed));
    world.Run(Millis(1'000));
    workload::Job large = MakeJob("large", kTasksOfLargeJob, "2000+");
    large.steps[0].saves_checkpoints = true;
    world.Submit(large);
    world.Run(Millis(1'900 + 70 * static_cast<int>(seed)));
    for (int n = 0; n < 3; ++n) {
      world.KillEntry(n);
      world.Run(Millis(400));
      if (seed % 2 == 0) {
        world.Store().DropHistory();
      }
      world.StartEntry(n);
    }
    world.Run(Millis(10'000));
    EXPECT_EQ(world.Oracle().Starts(), kTasksOfLargeJob) << "seed " << seed;
    EXPECT_EQ(world.Finish(kSettle), "") << "seed " << seed;
  }
}

}  // namespace
}  // namespace shallotlug::jobharness
