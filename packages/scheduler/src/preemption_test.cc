#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kEight{64'000, 64'000, 8};

// Workers that are full of lower work when a job arrives. Checkpointing tasks
// lose nothing but their restart.
class PreemptionTest : public testing::Test {
 protected:
  PreemptionTest() {
    scheduler.AddQueue("urgent", 0);
    scheduler.AddQueue("batch", 1);
    scheduler.AddQueue("filling", 2);
    scheduler.AddCustomer("acme", 0);
  }

  void AddWorkers(int count) {
    for (int n = 1; n <= count; ++n) {
      scheduler.AddWorker("a" + std::to_string(n), "r1", kEight);
    }
  }

  void Submit(const std::string& id,
              const std::string& queue,
              int tasks,
              std::int64_t accelerators,
              bool gang,
              Millis estimate) {
    workload::Job job = scheduler.Job(id, queue, "acme", tasks, accelerators);
    job.steps[0].gang = gang;
    job.steps[0].saves_checkpoints = true;
    job.steps[0].estimate = estimate;
    // At risk of missing its objective, it uses the reserve as well.
    job.accepted_at -= queue == "urgent" ? Millis(0) : Millis(1'000'000);
    scheduler.Submit(job);
    scheduler.Run(4);
  }

  int Tasks(const std::string& job) const {
    int n = 0;
    for (const auto& [agent, count] : scheduler.Running(job)) {
      n += count;
    }
    return n;
  }

  TestScheduler scheduler;
};

// Guards against a wide gang that is stopped again and again, on all of its
// workers, for urgent jobs that need one of them.
TEST_F(PreemptionTest, StopsSingleTasksRatherThanAWideGang) {
  AddWorkers(4);
  Submit("gang", "batch", 3, 8, true, Millis(60'000));
  Submit("single", "batch", 8, 1, false, Millis(60'000));
  ASSERT_EQ(Tasks("gang"), 3);
  ASSERT_EQ(Tasks("single"), 8);
  Submit("live", "urgent", 1, 8, true, Millis(2'000));
  scheduler.Run(4);
  EXPECT_EQ(Tasks("live"), 1);
  EXPECT_EQ(Tasks("gang"), 3);
}

// Guards against wide batch jobs that starve, because small tasks of a lower
// class take each accelerator that becomes free.
TEST_F(PreemptionTest, ABatchGangStartsOnWorkersFullOfLowerWork) {
  AddWorkers(2);
  Submit("small", "filling", 16, 1, false, Millis(60'000));
  ASSERT_EQ(Tasks("small"), 16);
  Submit("gang", "batch", 2, 8, true, Millis(60'000));
  scheduler.Run(4);
  EXPECT_EQ(Tasks("gang"), 2);
}

// Guards against a short batch job that costs others more than it does.
TEST_F(PreemptionTest, AShortBatchGangWaitsForLowerWork) {
  AddWorkers(2);
  Submit("small", "filling", 16, 1, false, Millis(60'000));
  Submit("gang", "batch", 2, 8, true, Millis(500));
  scheduler.Run(4);
  EXPECT_EQ(Tasks("gang"), 0);
  EXPECT_EQ(Tasks("small"), 16);
}

// Guards against work that is stopped on many workers, a little on each, where
// one worker as a whole is needed.
TEST_F(PreemptionTest, EmptiesOneWorkerForALargeTask) {
  AddWorkers(4);
  Submit("small", "filling", 32, 1, false, Millis(60'000));
  ASSERT_EQ(Tasks("small"), 32);
  Submit("live", "urgent", 1, 8, false, Millis(2'000));
  scheduler.Run(4);
  EXPECT_EQ(Tasks("live"), 1);
  EXPECT_EQ(Tasks("small"), 24);
}

}  // namespace
}  // namespace shallotlug::scheduler
