#include "avoidance.h"

#include <map>
#include <string>

#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kLarge{64'000, 64'000, 16};
constexpr Millis kRound{50};
constexpr Millis kWork{2'500};
// A job that could run may have nothing running for this long.
constexpr Millis kLongestIdleTime{3'000};
constexpr Millis kBadStretch{5'700};
constexpr const char* kWorker = "b1";

// Workers that take no job of the tests, and one that takes all of them.
class OnlyWorkerTest : public testing::Test {
 protected:
  OnlyWorkerTest() {
    scheduler.AddQueue("batch", 0);
    scheduler.Policy().queues[0].terms.max_attempts = 4;
    scheduler.AddCustomer("acme", 0);
    scheduler.AddWorker("a1", "r1", kLarge);
    scheduler.AddWorker("a2", "r1", kLarge);
    scheduler.AddWorker(kWorker, "r1", kLarge);
    scheduler.SetLabel(kWorker, "b");
    scheduler.Run(2);
  }

  /// @brief A job for this worker alone, with tasks of `kWork`.
  void Submit(const std::string& id, int tasks, bool fails = false) {
    workload::Job job = scheduler.Job(id, "batch", "acme", tasks, 1);
    job.steps[0].required_label = "b";
    scheduler.Submit(job);
    if (!fails) {
      scheduler.SetWork(id, kWork);
    }
    jobs[id] = {fails, scheduler.Clock().local, Millis{0}};
  }

  /// @brief Lets time pass. Runs end failed on a bad worker, and those of jobs
  /// that fail by themselves everywhere.
  void Pass(Millis time, bool bad) {
    for (Millis passed{0}; passed < time; passed += kRound) {
      scheduler.Run(1);
      if (bad) {
        scheduler.EndAll(kWorker, workload::EndReason::kFailed);
      }
      for (auto& [id, job] : jobs) {
        if (job.fails) {
          scheduler.EndAllOf(id, workload::EndReason::kFailed);
        }
        NoteIdleTime(id, job);
      }
    }
  }

  /// @brief Counts the times in which jobs have nothing running from now on.
  void ForgetIdleTimes() {
    for (auto& [id, job] : jobs) {
      job.running_at = scheduler.Clock().local;
      job.idle = Millis{0};
    }
  }

  void ExpectAllServed() {
    for (const auto& [id, job] : jobs) {
      if (!job.fails) {
        EXPECT_TRUE(scheduler.EndOf(id)) << id;
        EXPECT_LT(job.idle, kLongestIdleTime) << id;
      }
    }
  }

  struct JobUnderTest {
    bool fails = false;
    TimePoint running_at{};
    Millis idle{0};
  };

  void NoteIdleTime(const std::string& id, JobUnderTest& job) {
    const TimePoint now = scheduler.Clock().local;
    if (scheduler.EndOf(id) || !scheduler.Running(id).empty()) {
      job.running_at = now;
    }
    job.idle = std::max(job.idle, now - job.running_at);
  }

  TestScheduler scheduler;
  std::map<std::string, JobUnderTest> jobs;
};

// Guards against a sound worker that is left out for a minute, because each of
// the runs that failed in one moment doubled the time.
TEST_F(OnlyWorkerTest, IsTriedAgainAfterABadStretch) {
  Submit("first", 2);
  Submit("second", 6);
  Pass(kBadStretch, true);
  ForgetIdleTimes();
  Pass(Millis(20'000), false);
  ExpectAllServed();
}

// As above, for failures that come one after the other.
TEST_F(OnlyWorkerTest, IsTriedAgainAfterJobsThatFailedInTurn) {
  constexpr Millis kInterval{600};
  for (int n = 0; n < 9; ++n) {
    Submit("job" + std::to_string(n), 1);
    Pass(kInterval, true);
  }
  Pass(kBadStretch - 9 * kInterval, true);
  ForgetIdleTimes();
  Pass(Millis(20'000), false);
  ExpectAllServed();
}

// As above, for a worker that turns bad again.
TEST_F(OnlyWorkerTest, IsTriedAgainAfterASecondBadStretch) {
  Submit("first", 2);
  Submit("second", 2);
  Pass(kBadStretch, true);
  Pass(Millis(6'000), false);
  Submit("third", 6);
  Submit("fourth", 6);
  Pass(kBadStretch, true);
  Submit("fifth", 1);
  ForgetIdleTimes();
  Pass(Millis(20'000), false);
  ExpectAllServed();
}

// Guards against a job that waits beside a sound worker because the tasks of
// others fail by their own fault.
TEST_F(OnlyWorkerTest, ServesAJobBesideJobsThatFailByThemselves) {
  Submit("faulty1", 1, true);
  Submit("faulty2", 3, true);
  Pass(Millis(500), false);
  Submit("sound", 2);
  Pass(Millis(20'000), false);
  ExpectAllServed();
}

// Guards against attempts that are used up at once on the only worker for a
// task, which is bad for some seconds.
TEST_F(OnlyWorkerTest, PausesBeforeATaskIsTriedAgain) {
  Submit("job", 1);
  Pass(Millis(1'500), true);
  EXPECT_EQ(scheduler.Starts({JobId("job"), 0, 0, 0}).size(), 1U);
  Pass(kBadStretch - Millis(1'500), true);
  ForgetIdleTimes();
  Pass(Millis(10'000), false);
  ExpectAllServed();
}

// One worker that fails what it starts, and others.
class AvoidanceTest : public testing::Test {
 protected:
  AvoidanceTest() {
    agent.address.agent = AgentName("a");
    state.agents[agent.address.agent] = agent;
  }

  Trust TrustNow() { return TrustIn(state, agent, now); }

  void PlaceRun(const std::string& job) {
    RunRow row;
    row.run = 1;
    row.on.agent = agent.address.agent;
    row.placed_at = now;
    state.runs.Put({JobId(job), 0, 0, 0}, row);
  }

  void Fail(const std::string& job, TimePoint placed_at) {
    const workload::TaskRef task{JobId(job), 0, 0, 0};
    state.failed_on[task][agent.address.agent] = now;
    state.runs.Erase(task);
    CountFailure(state, agent, task, placed_at, now);
  }

  TimePoint now{Millis(100'000)};
  State state;
  AgentRow agent;
};

// Guards against a time that is doubled by each end of one report.
TEST_F(AvoidanceTest, CountsTheFaultsOfOneMomentOnce) {
  const TimePoint placed_at = now - Millis(100);
  for (int n = 0; n < 10; ++n) {
    Fail("job" + std::to_string(n), placed_at);
  }
  for (int n = 0; n < 10; ++n) {
    AvoidWorker(state, agent, "unhealthy", placed_at, now);
  }
  EXPECT_EQ(agent.avoidance.until, now + Millis(15'000));
}

// Guards against many runs that are lost on a worker that is still bad.
TEST_F(AvoidanceTest, TriesAWorkerWithOneRun) {
  AvoidWorker(state, agent, "unhealthy", now, now);
  EXPECT_EQ(TrustNow(), Trust::kNone);
  now = agent.avoidance.until;
  EXPECT_EQ(TrustNow(), Trust::kTrial);
  now += Millis(10);
  PlaceRun("trial");
  EXPECT_EQ(TrustNow(), Trust::kLastResort);
  const TimePoint placed_at = now;
  now += Millis(100);
  Fail("trial", placed_at);
  EXPECT_EQ(TrustNow(), Trust::kNone);
  EXPECT_EQ(agent.avoidance.until, now + Millis(30'000));
  CountSuccess(state, agent);
  EXPECT_EQ(TrustNow(), Trust::kFull);
}

}  // namespace
}  // namespace shallotlug::scheduler
