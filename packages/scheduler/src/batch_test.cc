#include <string>

#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kWorker{64'000, 64'000, 40};
constexpr int kJobs = 8;
constexpr int kHoursOfYear = 8'760;
constexpr std::int64_t kTooMany = 1'000;  // Accelerators.
constexpr int kRoundsOfSecond = 20;
// Longer than the state of a job is kept, in rounds of 50 ms.
constexpr int kRetentionRounds = 3'700;

int Outcomes(const TestScheduler& scheduler, workload::Outcome outcome) {
  int count = 0;
  for (const auto& [key, value] : scheduler.Log()) {
    const auto record = workload::Decode(key, value);
    const auto* progress =
        record ? std::get_if<workload::OccurrenceProgress>(&*record) : nullptr;
    count += progress != nullptr && progress->progress.outcome == outcome;
  }
  return count;
}

class BatchTest : public testing::Test {
 protected:
  explicit BatchTest(const joblog::StoreLimits& store = {})
      : limits(store), scheduler({false, false, store}) {
    scheduler.AddQueue("live", 0);
    scheduler.AddCustomer("acme", 0);
    scheduler.AddWorker("a1", "r1", kWorker);
    scheduler.Run(2);
  }

  // Jobs whose occurrences of a year are all due, and fit nowhere.
  void SubmitYears() {
    for (int n = 0; n < kJobs; ++n) {
      workload::Job job = scheduler.Job("year" + std::to_string(n), "live",
                                        "acme", 1, kTooMany);
      job.recurrence.count = kHoursOfYear;
      job.recurrence.interval = Millis(3'600'000);
      job.recurrence.first =
          scheduler.Clock().wall - kHoursOfYear * job.recurrence.interval;
      scheduler.Submit(job);
    }
  }

  void CancelYears() {
    for (int n = 0; n < kJobs; ++n) {
      scheduler.Get().CancelJob(JobId("year" + std::to_string(n)));
    }
  }

  const joblog::StoreLimits limits;
  TestScheduler scheduler;
};

// Guards against one append with the records of a whole wave of cancels, which
// the store refuses, while a start waits behind them.
TEST_F(BatchTest, RecordsAWaveOfCancelsWithinTheLimitOfAnAppend) {
  SubmitYears();
  scheduler.Run();
  CancelYears();
  scheduler.Run();
  scheduler.Submit(scheduler.Job("plain", "live", "acme", 1, 1));
  scheduler.Run();
  EXPECT_EQ(scheduler.Running("plain").size(), 1U);
  scheduler.Run(kRoundsOfSecond);
  EXPECT_EQ(Outcomes(scheduler, workload::Outcome::kCancelled),
            kJobs * kHoursOfYear);
  EXPECT_LE(scheduler.LargestPlan(), limits.request_bytes);
}

// Guards against the same when the state of these jobs is no longer kept.
TEST_F(BatchTest, DropsOldJobsWithinTheLimitOfAnAppend) {
  SubmitYears();
  scheduler.Run();
  CancelYears();
  scheduler.Run(kRetentionRounds + kJobs * kRoundsOfSecond);
  int left = 0;
  for (const auto& [key, value] : scheduler.Log()) {
    left += value.empty() ? 0 : 1;
  }
  EXPECT_EQ(left, 0);
  EXPECT_LE(scheduler.LargestPlan(), limits.request_bytes);
}

class LargeJobTest : public BatchTest {
 protected:
  LargeJobTest() : BatchTest({20'000, 22'000}) {}
};

// Guards against jobs that are never recorded beside one whose changes fill
// more than an append all the time, whatever their order.
TEST_F(LargeJobTest, RecordsOthersBesideAJobThatFillsAllAppends) {
  constexpr int kTasks = 3'000;
  constexpr int kStride = 50;
  constexpr int kRounds = 30;
  scheduler.AddWorker("a2", "r1", {4'000'000, 4'000'000, 4'000});
  scheduler.Run(2);
  scheduler.Submit(scheduler.Job("large", "live", "acme", kTasks, 1));
  scheduler.Run(4);
  const auto fail_some = [&](int round) {
    for (int n = round % kStride; n < kTasks; n += kStride) {
      scheduler.End({JobId("large"), 0, 0, n}, workload::EndReason::kFailed);
    }
  };
  // Tasks in different states take a row each.
  for (int round = 0; round < kStride; round += 2) {
    fail_some(round);
  }
  scheduler.Run();
  scheduler.Submit(scheduler.Job("before", "live", "acme", 1, 1));
  scheduler.Submit(scheduler.Job("later", "live", "acme", 1, 1));
  for (int round = 0; round < kRounds; ++round) {
    fail_some(round);
    scheduler.Run();
  }
  EXPECT_LE(scheduler.LargestPlan(), limits.request_bytes);
  EXPECT_EQ(scheduler.Log().count("p/before/0"), 1U);
  EXPECT_EQ(scheduler.Log().count("p/later/0"), 1U);
}

class SmallAppendsTest : public BatchTest {
 protected:
  SmallAppendsTest() : BatchTest({1'000, 1'000}) {}
};

// Guards against a worker that forgets an end whose record waits for a later
// append: a new scheduler would run the task again.
TEST_F(SmallAppendsTest, AcknowledgesAnEndOnlyWithItsRecord) {
  constexpr int kShortJobs = 30;
  for (int n = 0; n < kShortJobs; ++n) {
    scheduler.Submit(
        scheduler.Job("j" + std::to_string(n), "live", "acme", 1, 1));
  }
  scheduler.Run(kRoundsOfSecond);
  for (int n = 0; n < kShortJobs; ++n) {
    scheduler.End({JobId("j" + std::to_string(n)), 0, 0, 0},
                  workload::EndReason::kDone);
  }
  int plans = 0;
  while (scheduler.UnnotedEnds("a1") > 0 && plans < 10 * kRoundsOfSecond) {
    scheduler.Run();
    ++plans;
    const auto noted =
        kShortJobs - static_cast<int>(scheduler.UnnotedEnds("a1"));
    ASSERT_LE(noted, Outcomes(scheduler, workload::Outcome::kCompleted));
  }
  EXPECT_GT(plans, 1);
  EXPECT_EQ(scheduler.UnnotedEnds("a1"), 0U);
  EXPECT_LE(scheduler.LargestPlan(), limits.request_bytes);
}

}  // namespace
}  // namespace shallotlug::scheduler
