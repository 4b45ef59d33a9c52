#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kEight{64'000, 64'000, 8};

class GuaranteeTest : public testing::Test {
 protected:
  GuaranteeTest() {
    scheduler.AddQueue("live", 0);
    scheduler.AddQueue("batch", 1);
    scheduler.AddCustomer("acme", 8);
    scheduler.AddCustomer("zenith", 8);
    scheduler.AddWorker("a1", "r1", kEight);
    scheduler.AddWorker("a2", "r1", kEight);
  }

  TestScheduler scheduler;
};

TEST_F(GuaranteeTest, PreemptsBatchWork) {
  scheduler.Submit(scheduler.Job("batch", "batch", "zenith", 16, 1));
  scheduler.Run(2);
  ASSERT_EQ(scheduler.Running("batch").size(), 2U);
  scheduler.Submit(scheduler.Job("live", "live", "acme", 1, 8));
  scheduler.Run(4);
  EXPECT_EQ(scheduler.Running("live").size(), 1U);
}

// Urgent jobs of another customer beyond its guarantee fill the workers, and
// there is no batch work to preempt.
TEST_F(GuaranteeTest, PreemptsUrgentWorkBeyondItsGuarantee) {
  scheduler.Submit(scheduler.Job("first", "live", "zenith", 1, 8));
  scheduler.Submit(scheduler.Job("second", "live", "zenith", 1, 8));
  scheduler.Run(2);
  ASSERT_EQ(scheduler.Running("first").size(), 1U);
  ASSERT_EQ(scheduler.Running("second").size(), 1U);
  scheduler.Submit(scheduler.Job("live", "live", "acme", 1, 8));
  scheduler.Run(4);
  EXPECT_EQ(scheduler.Running("live").size(), 1U);
  EXPECT_EQ(
      scheduler.Running("first").size() + scheduler.Running("second").size(),
      1U);
}

TEST_F(GuaranteeTest, DoesNotPreemptAnotherCustomersGuaranteedWork) {
  scheduler.Submit(scheduler.Job("first", "live", "zenith", 1, 8));
  scheduler.Submit(scheduler.Job("mine", "live", "acme", 1, 8));
  scheduler.Run(2);
  scheduler.Submit(scheduler.Job("more", "live", "acme", 1, 8));
  scheduler.Run(6);
  EXPECT_EQ(scheduler.Running("first").size(), 1U);
  EXPECT_EQ(scheduler.Running("mine").size(), 1U);
  EXPECT_TRUE(scheduler.Running("more").empty());
}

TEST_F(GuaranteeTest, PreemptsTheJobWithTheLeastLostWork) {
  workload::Job saves = scheduler.Job("saves", "batch", "zenith", 1, 8);
  saves.steps[0].saves_checkpoints = true;
  scheduler.Submit(saves);
  scheduler.Submit(scheduler.Job("loses", "batch", "zenith", 1, 8));
  scheduler.Run(40);
  scheduler.Submit(scheduler.Job("live", "live", "acme", 1, 8));
  scheduler.Run(4);
  EXPECT_EQ(scheduler.Running("live").size(), 1U);
  EXPECT_EQ(scheduler.Running("loses").size(), 1U);
  EXPECT_TRUE(scheduler.Running("saves").empty());
}

// Guards against an urgent job that waits for its reservation to time out,
// after a more urgent job has taken the room that was freed for it.
TEST_F(GuaranteeTest, PreemptsAgainWhenItsRoomWasTaken) {
  scheduler.Submit(scheduler.Job("batch", "batch", "zenith", 16, 1));
  scheduler.Run(2);
  scheduler.Submit(scheduler.Job("live", "live", "acme", 1, 8));
  scheduler.Run(1);
  workload::Job sooner = scheduler.Job("sooner", "live", "zenith", 1, 8);
  sooner.steps[0].estimate = Millis(100);
  scheduler.Submit(sooner);
  scheduler.Run(4);
  EXPECT_EQ(scheduler.Running("sooner").size(), 1U);
  EXPECT_EQ(scheduler.Running("live").size(), 1U);
}

// Guards against an urgent job that waits for runs that do not stop, although
// others can be preempted.
TEST_F(GuaranteeTest, PreemptsOtherRunsWhenStopsHang) {
  scheduler.Submit(scheduler.Job("batch", "batch", "zenith", 16, 1));
  scheduler.Run(2);
  scheduler.HoldStops("a1");
  scheduler.Submit(scheduler.Job("live", "live", "acme", 1, 8));
  scheduler.Run(25);
  EXPECT_EQ(scheduler.Running("live").count("a2"), 1U);
}

// Guards against starts of jobs whose cancelling the scheduler has not read
// yet, because it is behind the log.
TEST_F(GuaranteeTest, PlacesNothingWhilePlacementIsHeld) {
  scheduler.Submit(scheduler.Job("batch", "batch", "zenith", 16, 1));
  scheduler.Run(2);
  scheduler.Get().HoldPlacement(true);
  scheduler.Submit(scheduler.Job("live", "live", "acme", 1, 8));
  scheduler.Run(4);
  EXPECT_TRUE(scheduler.Running("live").empty());
  EXPECT_EQ(scheduler.Running("batch").size(), 2U);
  scheduler.Get().HoldPlacement(false);
  scheduler.Run(4);
  EXPECT_EQ(scheduler.Running("live").size(), 1U);
}

// A restarted gang has no start deadline, and being spread over racks costs it
// several times as much time as waiting for a place in one rack.
TEST_F(GuaranteeTest, RestartsAFailedGangInOneRack) {
  scheduler.AddCustomer("acme", 16);
  scheduler.AddWorker("b1", "r2", kEight);
  scheduler.AddWorker("b2", "r2", kEight);
  workload::Job gang = scheduler.Job("gang", "live", "acme", 2, 8);
  gang.steps[0].gang = true;
  gang.steps[0].same_rack = true;
  scheduler.Submit(gang);
  scheduler.Run(2);
  scheduler.Submit(scheduler.Job("batch", "batch", "zenith", 1, 8));
  scheduler.Run(40);
  const std::string failing = scheduler.Running("gang").begin()->first;
  scheduler.End({JobId("gang"), 0, 0, 0}, workload::EndReason::kFailed);
  scheduler.Run(6);
  const std::map<std::string, int> running = scheduler.Running("gang");
  ASSERT_EQ(running.size(), 2U);
  EXPECT_EQ(running.begin()->first[0], running.rbegin()->first[0]);
  EXPECT_NE(running.begin()->first[0], failing[0]);
}

}  // namespace
}  // namespace shallotlug::scheduler
