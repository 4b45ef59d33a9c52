#include <set>
#include <string>

#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kWorker{128'000, 262'144, 8};
constexpr int kWorkers = 11;
constexpr int kWorkersOfRack = 3;
constexpr int kFullRacks = 3;
constexpr int kGang = 3;
constexpr int kRoundsOfSecond = 20;
constexpr Millis kGangEstimate{10'000};

// Eleven workers, three a rack, and a gang that one rack could hold.
class RackWaitTest : public testing::Test {
 protected:
  RackWaitTest() {
    scheduler.AddQueue("live", 0);
    scheduler.AddQueue("batch", 1);
    scheduler.AddCustomer("acme", 0);
    for (int n = 0; n < kWorkers; ++n) {
      scheduler.AddWorker("a" + std::to_string(100 + n), RackOf(n), kWorker);
    }
    scheduler.Run(2);
  }

  static std::string RackOf(int worker) {
    return "r" + std::to_string(worker / kWorkersOfRack);
  }

  // A task of one accelerator in the rack of its data. It is urgent, so that
  // no worker of the rack is reserved from it.
  void SubmitSmall(const std::string& id, int rack, Millis work, bool lasting) {
    workload::Job job = scheduler.Job(id, "live", "acme", 1, 1);
    job.steps[0].data_rack = "r" + std::to_string(rack);
    job.steps[0].estimate = work;
    job.steps[0].lasting = lasting;
    if (!lasting) {
      scheduler.SetWork(id, work);
    }
    scheduler.Submit(job);
  }

  void SubmitSmallInEachRack(const std::string& prefix,
                             Millis work,
                             bool lasting) {
    for (int rack = 0; rack < kFullRacks; ++rack) {
      SubmitSmall(prefix + std::to_string(rack), rack, work, lasting);
    }
  }

  void SubmitGang(const std::string& id, Millis estimate, int tasks = kGang) {
    workload::Job job = scheduler.Job(id, "batch", "acme", tasks, 8);
    job.steps[0].need = {100'000, 200'000, 8};
    job.steps[0].gang = true;
    job.steps[0].same_rack = true;
    job.steps[0].estimate = estimate;
    scheduler.Submit(job);
  }

  bool Runs(const std::string& job) const {
    return !scheduler.Running(job).empty();
  }

  std::set<std::string> Racks(const std::string& job) const {
    std::set<std::string> racks;
    for (const auto& [agent, tasks] : scheduler.Running(job)) {
      racks.insert(RackOf(std::stoi(agent.substr(1)) - 100));
    }
    return racks;
  }

  TestScheduler scheduler;
};

// Guards against a gang that waits without end for a rack in which a task
// lasts, beside enough empty workers in several racks.
TEST_F(RackWaitTest, SpreadsAGangWhereNoRackComesFree) {
  SubmitSmallInEachRack("small", Millis(10'000), true);
  scheduler.Run(kRoundsOfSecond);
  SubmitGang("gang", kGangEstimate);
  scheduler.Run(3 * kRoundsOfSecond);
  EXPECT_TRUE(Runs("gang"));
}

// Guards against the same wait of a gang whose own run time is not known.
TEST_F(RackWaitTest, SpreadsAGangWithoutAnEstimate) {
  SubmitSmallInEachRack("small", Millis(10'000), true);
  scheduler.Run(kRoundsOfSecond);
  SubmitGang("gang", Millis(0));
  scheduler.Run(3 * kRoundsOfSecond);
  EXPECT_TRUE(Runs("gang"));
}

// Guards against a gang that is spread over racks, where it runs slower, just
// before a rack comes free.
TEST_F(RackWaitTest, WaitsForARackThatComesFreeSoon) {
  SubmitSmallInEachRack("small", Millis(9'000), false);
  scheduler.Run(3 * kRoundsOfSecond);
  SubmitGang("gang", kGangEstimate);
  scheduler.Run(5 * kRoundsOfSecond);
  EXPECT_FALSE(Runs("gang"));
  scheduler.Run(2 * kRoundsOfSecond);
  ASSERT_TRUE(Runs("gang"));
  EXPECT_EQ(Racks("gang").size(), 1U);
}

// Guards against a wait for a rack that takes longer than the spread gang would
// lose.
TEST_F(RackWaitTest, SpreadsAGangWhereTheWaitCostsMoreThanTheSpread) {
  SubmitSmallInEachRack("small", Millis(120'000), false);
  scheduler.Run(3 * kRoundsOfSecond);
  SubmitGang("gang", kGangEstimate);
  scheduler.Run(3 * kRoundsOfSecond);
  EXPECT_TRUE(Runs("gang"));
}

// Guards against a gang that starves beside short jobs that keep arriving: some
// rack is always about to come free, and never does.
TEST_F(RackWaitTest, DoesNotStarveBesideShortJobsThatKeepArriving) {
  constexpr Millis kShort{6'000};
  constexpr int kRoundsBetween = kRoundsOfSecond * 5 / 2;
  // Spread, the gang takes three times as long: it loses this time.
  constexpr Millis kLost = 2 * kGangEstimate;
  int batch = 0;
  for (; batch < 3; ++batch) {
    SubmitSmallInEachRack("s" + std::to_string(batch) + "-", kShort, false);
    scheduler.Run(kRoundsBetween);
  }
  SubmitGang("gang", kGangEstimate);
  const TimePoint until = scheduler.Clock().local + kLost;
  for (; !Runs("gang") && scheduler.Clock().local < until; ++batch) {
    SubmitSmallInEachRack("s" + std::to_string(batch) + "-", kShort, false);
    scheduler.Run(kRoundsBetween);
  }
  EXPECT_TRUE(Runs("gang"));
}

// Guards against the same of a gang that came later and of one that no rack
// holds.
TEST_F(RackWaitTest, StartsLaterAndLargerGangsBesideShortJobs) {
  constexpr Millis kShort{6'000};
  constexpr int kRoundsBetween = kRoundsOfSecond * 5 / 2;
  constexpr int kBatches = 8;  // 20 s, what a spread gang loses.
  SubmitSmallInEachRack("first", kShort, false);
  scheduler.Run(2);
  SubmitGang("gang", kGangEstimate);
  SubmitGang("large", kGangEstimate, kWorkersOfRack + 1);
  for (int batch = 0; batch < kBatches; ++batch) {
    SubmitSmallInEachRack("s" + std::to_string(batch) + "-", kShort, false);
    scheduler.Run(kRoundsBetween);
  }
  EXPECT_TRUE(Runs("gang"));
  EXPECT_TRUE(Runs("large"));
}

// A pool of which more than half is in use: each full rack has one free worker.
class BusyPoolTest : public RackWaitTest {
 protected:
  void FillUntil(Millis work) {
    for (int rack = 0; rack < kFullRacks; ++rack) {
      const std::string id = "fill" + std::to_string(rack);
      workload::Job job = scheduler.Job(id, "live", "acme", 2, 8);
      job.steps[0].need = kWorker;
      job.steps[0].data_rack = "r" + std::to_string(rack);
      job.steps[0].estimate = work;
      scheduler.SetWork(id, work);
      scheduler.Submit(job);
    }
    scheduler.Run(2);
  }

  // Its caller gets full credit within 20 s, and late credit within 60 s.
  void SubmitUrgentGang() {
    workload::Job job = scheduler.Job("gang", "live", "acme", kGang, 8);
    job.steps[0].gang = true;
    job.steps[0].same_rack = true;
    job.steps[0].estimate = kGangEstimate;
    scheduler.Submit(job);
  }
};

// Guards against a gang that takes three times the time of workers that others
// want, while a rack comes free in time.
TEST_F(BusyPoolTest, WaitsWhileTheRackIsWorthMoreToTheCaller) {
  FillUntil(Millis(8'000));
  SubmitUrgentGang();
  scheduler.Run(7 * kRoundsOfSecond);
  EXPECT_FALSE(Runs("gang"));
  scheduler.Run(2 * kRoundsOfSecond);
  ASSERT_TRUE(Runs("gang"));
  EXPECT_EQ(Racks("gang").size(), 1U);
}

// Guards against a caller who gets nothing for a gang that would be in time
// when spread.
TEST_F(BusyPoolTest, SpreadsWhenTheCallerGainsByIt) {
  FillUntil(Millis(120'000));
  SubmitUrgentGang();
  scheduler.Run(2);
  EXPECT_TRUE(Runs("gang"));
}

// Guards against a wait without end where the caller gains nothing by a spread.
TEST_F(BusyPoolTest, SpreadsAfterTheLongestWait) {
  FillUntil(Millis(40'000));
  SubmitUrgentGang();
  scheduler.Run(29 * kRoundsOfSecond);
  EXPECT_FALSE(Runs("gang"));
  scheduler.Run(2 * kRoundsOfSecond);
  EXPECT_TRUE(Runs("gang"));
}

// Guards against an urgent gang that waits for a rack while it might preempt
// runs in several.
TEST_F(RackWaitTest, PreemptsInSeveralRacksWhereNoRackComesFree) {
  SubmitSmallInEachRack("small", Millis(10'000), true);
  scheduler.Run(kRoundsOfSecond);
  workload::Job fill = scheduler.Job("fill", "batch", "acme", kWorkers, 7);
  fill.steps[0].saves_checkpoints = true;
  fill.steps[0].estimate = Millis(600'000);
  scheduler.Submit(fill);
  scheduler.Run(kRoundsOfSecond);
  workload::Job urgent = scheduler.Job("urgent", "live", "acme", kGang, 8);
  urgent.steps[0].gang = true;
  urgent.steps[0].same_rack = true;
  urgent.steps[0].estimate = Millis(60'000);
  scheduler.Submit(urgent);
  scheduler.Run(3 * kRoundsOfSecond);
  EXPECT_TRUE(Runs("urgent"));
}

}  // namespace
}  // namespace shallotlug::scheduler
