#include <string>

#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kWorker{2'000'000, 2'000'000, 2'000};
constexpr int kTasks = 1'500;
constexpr std::size_t kPayloadBytes = 3'956;
constexpr int kRoundsOfSecond = 20;

class OrdersTest : public testing::Test {
 protected:
  OrdersTest() {
    scheduler.AddQueue("live", 0);
    scheduler.AddCustomer("acme", 0);
    scheduler.AddWorker("a1", "r1", kWorker);
    scheduler.Run(2);
    workload::Job job = scheduler.Job("j", "live", "acme", kTasks, 1);
    job.payload = std::string(kPayloadBytes, 'x');
    job.steps[0].saves_checkpoints = true;
    scheduler.Submit(job);
  }

  TestScheduler scheduler;
};

// Guards against orders for one worker that exceed what its agent accepts, so
// that none of them is ever carried out.
TEST_F(OrdersTest, SendsOrdersForManyTasksInSeveralCalls) {
  scheduler.Run(kRoundsOfSecond);
  EXPECT_EQ(scheduler.Running("j")["a1"], kTasks);
}

// Guards against the same for a new scheduler, which orders all runs again, and
// for the stops of a cancelled job.
TEST_F(OrdersTest, SendsOrdersOfANewSchedulerAndStopsInSeveralCalls) {
  scheduler.Run(kRoundsOfSecond);
  scheduler.Replace();
  scheduler.Run(kRoundsOfSecond);
  EXPECT_EQ(scheduler.Running("j")["a1"], kTasks);
  scheduler.Get().CancelJob(JobId("j"));
  scheduler.Run(kRoundsOfSecond);
  EXPECT_TRUE(scheduler.Running("j").empty());
}

}  // namespace
}  // namespace shallotlug::scheduler
