#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kEight{8'000, 8'000, 8};

// Four workers, of which one is reserved for urgent jobs in a busy pool.
class ReserveTest : public testing::Test {
 protected:
  ReserveTest() {
    scheduler.AddQueue("live", 0);
    scheduler.AddQueue("batch", 1);
    for (const char* name : {"a1", "a2", "a3", "a4"}) {
      scheduler.AddWorker(name, "r1", kEight);
    }
  }

  workload::Job Batch(const std::string& id, int tasks) {
    workload::Job job = scheduler.Job(id, "batch", "acme", tasks, 8);
    job.steps[0].need = kEight;
    job.steps[0].estimate = Millis(60'000);
    return job;
  }

  // Advances time beyond the window in which urgent demand is measured.
  void LearnDemand() {
    scheduler.Run(1);
    scheduler.Clock().local += Millis(700'000);
    scheduler.Clock().wall += Millis(700'000);
  }

  // Afterwards an urgent demand of one whole worker is expected.
  void RunUrgentJob() {
    scheduler.Submit(scheduler.Job("former", "live", "acme", 1, 8));
    scheduler.Run(2);
    scheduler.End({JobId("former"), 0, 0, 0}, workload::EndReason::kDone);
    scheduler.Run(2);
  }

  TestScheduler scheduler;
};

// Guards against workers reserved for urgent jobs that never arrive.
TEST_F(ReserveTest, ReservesNothingWithoutUrgentJobs) {
  LearnDemand();
  scheduler.Submit(Batch("batch", 8));
  scheduler.Run(10);
  EXPECT_EQ(scheduler.Running("batch").size(), 4U);
}

TEST_F(ReserveTest, ReservesThePastDemandOfUrgentJobs) {
  LearnDemand();
  RunUrgentJob();
  scheduler.Submit(Batch("batch", 8));
  scheduler.Run(10);
  EXPECT_EQ(scheduler.Running("batch").size(), 3U);
}

// Guards against batch jobs that take every free worker, so that urgent jobs
// wait for a preemption that loses work.
TEST_F(ReserveTest, ReservesAWorkerForUrgentJobs) {
  scheduler.Submit(Batch("batch", 8));
  scheduler.Run(10);
  EXPECT_EQ(scheduler.Running("batch").size(), 3U);
  scheduler.Submit(scheduler.Job("live", "live", "acme", 1, 8));
  scheduler.Run(1);
  EXPECT_EQ(scheduler.Running("live").size(), 1U);
  EXPECT_EQ(scheduler.Running("batch").size(), 3U);
}

TEST_F(ReserveTest, StartsBatchJobsThatWouldBeLate) {
  scheduler.Submit(Batch("batch", 8));
  scheduler.Run(10);
  workload::Job late = Batch("late", 1);
  late.accepted_at -= Millis(100'000);
  scheduler.Submit(late);
  scheduler.Run(2);
  EXPECT_EQ(scheduler.Running("late").size(), 1U);
}

// Guards against a job that waits although most of the pool is free.
TEST_F(ReserveTest, DoesNotReserveForLongInALightlyLoadedPool) {
  // One small task on each worker but one.
  workload::Job small = scheduler.Job("small", "live", "acme", 3, 1);
  small.steps[0].per_worker_limit = 1;
  scheduler.Submit(small);
  scheduler.Run(2);
  ASSERT_EQ(scheduler.Running("small").size(), 3U);
  scheduler.Submit(Batch("batch", 1));
  scheduler.Run(50);
  EXPECT_EQ(scheduler.Running("batch").size(), 1U);
}

}  // namespace
}  // namespace shallotlug::scheduler
