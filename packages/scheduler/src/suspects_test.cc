#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kEight{64'000, 64'000, 8};
// A task may be started this often under which each worker crashes: two times
// after three workers have crashed.
constexpr std::size_t kMaxStarts = 5;

class SuspectsTest : public testing::Test {
 protected:
  SuspectsTest() {
    scheduler.AddQueue("live", 0);
    scheduler.AddQueue("batch", 1);
    scheduler.AddCustomer("acme", 0);
    for (int n = 1; n <= 6; ++n) {
      scheduler.AddWorker("a" + std::to_string(n), n <= 3 ? "r1" : "r2",
                          kEight);
    }
  }

  static workload::TaskRef Task(const std::string& job, int index = 0) {
    return {JobId(job), 0, 0, index};
  }

  /// @brief Jobs of one task each that do not end.
  void Fill(int jobs, std::int64_t accelerators) {
    for (int n = 0; n < jobs; ++n) {
      const std::string name = "other" + std::to_string(n);
      workload::Job job = scheduler.Job(name, "batch", "acme", 1, accelerators);
      job.steps[0].estimate = Millis(60'000);
      scheduler.Submit(job);
    }
    scheduler.Run(60);
  }

  workload::Outcome OutcomeOf(const std::string& job) const {
    const auto it = scheduler.Log().find("p/" + job + "/0");
    if (it == scheduler.Log().end()) {
      return workload::Outcome::kOpen;
    }
    const auto record = workload::Decode(it->first, it->second);
    return std::get<workload::OccurrenceProgress>(*record).progress.outcome;
  }

  TestScheduler scheduler;
};

// Guards against a task that crashes server after server.
TEST_F(SuspectsTest, GivesUpATaskThatCrashesItsWorkers) {
  scheduler.MakeDeadly(Task("bad"));
  scheduler.Submit(scheduler.Job("bad", "batch", "acme", 2, 1));
  scheduler.Run(400);
  EXPECT_EQ(OutcomeOf("bad"), workload::Outcome::kFailed);
  EXPECT_GE(scheduler.Starts(Task("bad")).size(), 2U);
  EXPECT_LE(scheduler.Starts(Task("bad")).size(), kMaxStarts);
}

// Guards against a count of crashes that is lost with the scheduler.
TEST_F(SuspectsTest, CountsCrashesAcrossSchedulers) {
  scheduler.MakeDeadly(Task("bad"));
  scheduler.Submit(scheduler.Job("bad", "batch", "acme", 1, 1));
  for (int n = 0; n < 200; ++n) {
    scheduler.Run(4);
    scheduler.Replace();
  }
  EXPECT_EQ(OutcomeOf("bad"), workload::Outcome::kFailed);
  EXPECT_LE(scheduler.Starts(Task("bad")).size(), kMaxStarts);
}

// Guards against a crash that is settled before it is recorded, and lost with
// the scheduler.
TEST_F(SuspectsTest, SettlesACrashWhenItIsRecorded) {
  scheduler.Submit(scheduler.Job("job", "batch", "acme", 1, 1));
  scheduler.Run(2);
  const std::string worker = scheduler.Running("job").begin()->first;
  scheduler.Crash(worker, true);
  scheduler.CallAgents();
  scheduler.CallAgents();
  EXPECT_EQ(scheduler.UnsettledCrashes(worker), 1U);
  scheduler.Replace();
  scheduler.Run(2);
  EXPECT_EQ(scheduler.UnsettledCrashes(worker), 0U);
  const auto it = scheduler.Log().find("p/job/0");
  const auto record = workload::Decode(it->first, it->second);
  const auto& progress =
      std::get<workload::OccurrenceProgress>(*record).progress;
  EXPECT_EQ(progress.steps[0][0].crashes.size(), 1U);
}

// Guards against other jobs that lose their work again with each try of a task
// that crashes its workers.
TEST_F(SuspectsTest, TriesASuspectAlone) {
  Fill(4, 2);
  scheduler.MakeDeadly(Task("bad"));
  scheduler.Submit(scheduler.Job("bad", "batch", "acme", 1, 1));
  scheduler.Run(1);
  ASSERT_EQ(scheduler.Starts(Task("bad")).size(), 1U);
  const int lost = scheduler.LostToOthers();
  scheduler.Run(400);
  EXPECT_EQ(OutcomeOf("bad"), workload::Outcome::kFailed);
  EXPECT_EQ(scheduler.LostToOthers(), lost);
}

TEST_F(SuspectsTest, TriesASuspectOnAnotherWorker) {
  scheduler.MakeDeadly(Task("bad"));
  scheduler.Submit(scheduler.Job("bad", "batch", "acme", 1, 1));
  scheduler.Run(400);
  const std::vector<std::string>& starts = scheduler.Starts(Task("bad"));
  EXPECT_EQ(std::set<std::string>(starts.begin(), starts.end()).size(),
            starts.size());
}

// Guards against work that is placed beside a suspect just after it has been
// started alone.
TEST_F(SuspectsTest, KeepsOthersAwayFromASuspect) {
  scheduler.Submit(scheduler.Job("suspect", "batch", "acme", 1, 1));
  scheduler.Run(2);
  scheduler.Crash(scheduler.Running("suspect").begin()->first, true);
  scheduler.Run(2);
  ASSERT_EQ(scheduler.Running("suspect").size(), 1U);
  const std::string worker = scheduler.Running("suspect").begin()->first;
  for (int n = 0; n < 12; ++n) {
    scheduler.Submit(
        scheduler.Job("other" + std::to_string(n), "live", "acme", 1, 1));
  }
  scheduler.Run(10);
  for (int n = 0; n < 12; ++n) {
    EXPECT_EQ(scheduler.Running("other" + std::to_string(n)).count(worker), 0U);
  }
}

// Guards against a suspect that never starts because no worker is empty.
TEST_F(SuspectsTest, StartsASuspectWhereNoWorkerIsEmpty) {
  Fill(12, 1);
  scheduler.Submit(scheduler.Job("suspect", "live", "acme", 1, 8));
  scheduler.Run(2);
  for (int n = 0; n < 6; ++n) {
    scheduler.Submit(
        scheduler.Job("more" + std::to_string(n), "batch", "acme", 1, 1));
  }
  scheduler.Run(4);
  scheduler.Crash(scheduler.Running("suspect").begin()->first, true);
  scheduler.Run(60);
  EXPECT_EQ(scheduler.Running("suspect").size(), 1U);
}

// Guards against a healthy job that is shown as failed because its workers were
// lost for other reasons.
TEST_F(SuspectsTest, KeepsATaskWhoseWorkersAreLostLaterOn) {
  scheduler.Submit(scheduler.Job("good", "batch", "acme", 1, 1));
  for (int n = 0; n < 3; ++n) {
    scheduler.Run(100);
    ASSERT_EQ(scheduler.Running("good").size(), 1U);
    scheduler.Crash(scheduler.Running("good").begin()->first, false);
  }
  scheduler.Run(100);
  EXPECT_EQ(scheduler.Running("good").size(), 1U);
  scheduler.End(Task("good"), workload::EndReason::kDone);
  scheduler.Run(2);
  EXPECT_EQ(OutcomeOf("good"), workload::Outcome::kCompleted);
}

TEST_F(SuspectsTest, KeepsATaskAfterOneCrashAlone) {
  scheduler.Submit(scheduler.Job("good", "batch", "acme", 1, 1));
  for (int n = 0; n < 2; ++n) {
    scheduler.Run(100);
    ASSERT_EQ(scheduler.Running("good").size(), 1U);
    scheduler.Crash(scheduler.Running("good").begin()->first, true);
  }
  scheduler.Run(100);
  EXPECT_EQ(scheduler.Running("good").size(), 1U);
}

// Guards against a crash that no agent reports, because its process was
// replaced while the worker was away.
TEST_F(SuspectsTest, CountsAnUnreportedCrashOfASuspect) {
  scheduler.MakeDeadly(Task("bad"));
  scheduler.Submit(scheduler.Job("bad", "batch", "acme", 1, 1));
  scheduler.Run(2);
  scheduler.LoseCrashReports();
  scheduler.Run(400);
  EXPECT_EQ(OutcomeOf("bad"), workload::Outcome::kFailed);
  EXPECT_LE(scheduler.Starts(Task("bad")).size(), kMaxStarts);
}

// Guards against a deadly member of a gang, which takes the other members with
// it each time.
TEST_F(SuspectsTest, GivesUpAGangWithADeadlyMember) {
  workload::Job gang = scheduler.Job("gang", "batch", "acme", 3, 4);
  gang.steps[0].gang = true;
  scheduler.MakeDeadly(Task("gang", 1));
  scheduler.Submit(gang);
  scheduler.Run(600);
  EXPECT_EQ(OutcomeOf("gang"), workload::Outcome::kFailed);
  EXPECT_LE(scheduler.Starts(Task("gang", 1)).size(), kMaxStarts);
}

}  // namespace
}  // namespace shallotlug::scheduler
