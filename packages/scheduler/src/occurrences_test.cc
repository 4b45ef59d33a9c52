#include <string>

#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kWorker{2'000'000, 2'000'000, 600};
constexpr int kWideTasks = 256;
constexpr int kHoursOfYear = 8'760;
constexpr Millis kHour{3'600'000};
constexpr int kRoundsOfSecond = 20;
// Longer than the state of a job is kept, in rounds of 50 ms.
constexpr int kRetentionRounds = 3'700;

class OccurrencesTest : public testing::Test {
 protected:
  OccurrencesTest() {
    scheduler.AddQueue("live", 0);
    scheduler.AddCustomer("acme", 0);
    scheduler.AddWorker("a1", "r1", kWorker);
    scheduler.Run(2);
  }

  void Submit(const std::string& id,
              int tasks,
              int count,
              workload::WallTime first,
              Millis interval) {
    workload::Job job = scheduler.Job(id, "live", "acme", tasks, 1);
    job.recurrence = {count, first, interval};
    scheduler.Submit(job);
  }

  // Open occurrences that a new scheduler has rows of.
  int OpenRows() {
    scheduler.Replace();
    scheduler.Run();
    for (const LogLine& it : scheduler.Get().TakeLog()) {
      for (const Label& field : it.fields) {
        if (it.event == "scheduler_started" && field.name == "open") {
          return std::stoi(field.value);
        }
      }
    }
    return -1;
  }

  int Starts(const std::string& id, int occurrence) {
    return static_cast<int>(
        scheduler.Starts({JobId(id), occurrence, 0, 0}).size());
  }

  TestScheduler scheduler;
};

// Guards against a scheduler whose memory holds a year of a wide job in
// advance.
TEST_F(OccurrencesTest, HasNoRowsOfOccurrencesThatAreNotDue) {
  Submit("year", kWideTasks, kHoursOfYear, scheduler.Clock().wall + kHour,
         kHour);
  scheduler.Run(2);
  EXPECT_EQ(OpenRows(), 1);
}

// Guards against the same where all of them are due, as after a long outage.
TEST_F(OccurrencesTest, HasRowsOfAsManyTasksAsTheLargestJob) {
  Submit("year", kWideTasks, kHoursOfYear,
         scheduler.Clock().wall - kHoursOfYear * kHour, kHour);
  scheduler.Run(2);
  EXPECT_LE(OpenRows(), workload::kMaxTasksPerJob / kWideTasks);
  EXPECT_GT(scheduler.Running("year")["a1"], kWideTasks);
}

// Guards against an occurrence that is started early, late, twice or never,
// also by a new scheduler.
TEST_F(OccurrencesTest, StartsEachOccurrenceWhenItIsDue) {
  constexpr int kCount = 6;
  constexpr Millis kInterval{1'000};
  Submit("j", 1, kCount, scheduler.Clock().wall + kInterval, kInterval);
  scheduler.Run(kRoundsOfSecond - 2);
  EXPECT_EQ(Starts("j", 0), 0);
  for (int n = 0; n < kCount; ++n) {
    scheduler.Run(4);
    EXPECT_EQ(Starts("j", n), 1) << n;
    EXPECT_EQ(Starts("j", n + 1), 0) << n;
    if (n % 2 == 1) {
      scheduler.Replace();
    }
    scheduler.End({JobId("j"), n, 0, 0}, workload::EndReason::kDone);
    scheduler.Run(kRoundsOfSecond - 4);
  }
  for (int n = 0; n < kCount; ++n) {
    EXPECT_EQ(Starts("j", n), 1) << n;
  }
}

// Guards against occurrences that begin after the cancel of their job, and
// against a cancelled job that stays in the log.
TEST_F(OccurrencesTest, EndsACancelledJobWithOccurrencesToCome) {
  Submit("j", 1, kHoursOfYear, scheduler.Clock().wall, Millis(1'000));
  scheduler.Run(kRoundsOfSecond / 2);
  scheduler.Get().CancelJob(JobId("j"));
  scheduler.Run(3 * kRoundsOfSecond);
  EXPECT_EQ(Starts("j", 0), 1);
  EXPECT_EQ(Starts("j", 1), 0);
  EXPECT_TRUE(scheduler.Running("j").empty());
  scheduler.Run(kRetentionRounds);
  for (const auto& [key, value] : scheduler.Log()) {
    EXPECT_EQ(value, "") << key;
  }
  EXPECT_EQ(scheduler.Log().count("j/j"), 1U);
}

}  // namespace
}  // namespace shallotlug::scheduler
