#include <string>

#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kLarge{64'000, 64'000, 8};
constexpr workload::Resources kSmall{64'000, 64'000, 2};
constexpr int kRoundsOfSecond = 20;

// A task whose first run has failed, and two workers.
class FailedRunTest : public testing::Test {
 protected:
  FailedRunTest() {
    scheduler.AddQueue("live", 0);
    scheduler.AddCustomer("acme", 0);
  }

  void RunAndFail(std::int64_t accelerators) {
    scheduler.Run(2);
    scheduler.Submit(scheduler.Job("job", "live", "acme", 1, accelerators));
    scheduler.Run(2);
    first = scheduler.Running("job").begin()->first;
    scheduler.End(task, workload::EndReason::kFailed);
  }

  // Whether the task was started again.
  bool Retried() { return scheduler.Starts(task).size() > 1; }

  const workload::TaskRef task{JobId("job"), 0, 0, 0};
  std::string first;  // Where the first run has failed.
  TestScheduler scheduler;
};

// Guards against a retry on the worker where the task has failed, beside
// another one with room.
TEST_F(FailedRunTest, TakesAnotherWorker) {
  scheduler.AddWorker("a1", "r1", kLarge);
  scheduler.AddWorker("a2", "r1", kLarge);
  RunAndFail(8);
  scheduler.Run(2);
  ASSERT_TRUE(Retried());
  EXPECT_NE(scheduler.Starts(task).back(), first);
}

// Guards against a task that is never started again, as the only other worker
// could not hold it even when empty.
TEST_F(FailedRunTest, RetriesWhereNoOtherWorkerCouldHoldIt) {
  scheduler.AddWorker("a1", "r1", kLarge);
  scheduler.AddWorker("a2", "r1", kSmall);
  RunAndFail(8);
  scheduler.Run(3 * kRoundsOfSecond);
  EXPECT_TRUE(Retried());
}

// Guards against a task that is never started again, as a task that lasts
// occupies the only other worker.
TEST_F(FailedRunTest, RetriesWhereTheOtherWorkerStaysFull) {
  scheduler.AddWorker("a1", "r1", kLarge);
  scheduler.AddWorker("a2", "r1", kLarge);
  scheduler.Run(2);
  workload::Job lasting = scheduler.Job("lasting", "live", "acme", 1, 8);
  lasting.steps[0].lasting = true;
  scheduler.Submit(lasting);
  RunAndFail(8);
  scheduler.Run(12 * kRoundsOfSecond);
  EXPECT_TRUE(Retried());
}

}  // namespace
}  // namespace shallotlug::scheduler
