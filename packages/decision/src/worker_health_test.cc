#include "shallotlug/decision/worker_health.h"

#include <gtest/gtest.h>

namespace shallotlug::decision {
namespace {

constexpr TimePoint kNow{Millis(1000)};

AgentName Worker(int n) {
  return AgentName("w" + std::to_string(n));
}

JobId Job(int n) {
  return JobId("j" + std::to_string(n));
}

// Guards against a worker that fails all work and is sent all of it, because it
// is always free.
TEST(WorkerHealthTest, WorkerThatFailsEverythingIsQuarantinedAndProbed) {
  HealthTable table;
  for (int n = 0; n < 3; ++n) {
    RecordOutcome(table, Worker(0), Job(n), false, kNow);
  }
  EXPECT_EQ(StateOf(table, Worker(0)), HealthState::kQuarantined);
  const TimePoint probe_at = table.workers[Worker(0)].probe_at;
  UpdateHealth(table, probe_at);
  EXPECT_EQ(StateOf(table, Worker(0)), HealthState::kProbing);
  RecordOutcome(table, Worker(0), Job(9), false, probe_at);
  EXPECT_EQ(StateOf(table, Worker(0)), HealthState::kQuarantined);
  EXPECT_GT(table.workers[Worker(0)].probe_at - probe_at, probe_at - kNow);
}

// Guards against healthy workers that leave service because of one bad job.
TEST(WorkerHealthTest, JobThatFailsEverywhereIsBlamedRatherThanWorkers) {
  HealthTable table;
  for (int n = 0; n < 5; ++n) {
    for (int attempt = 0; attempt < 4; ++attempt) {
      RecordOutcome(table, Worker(n), Job(0), false, kNow);
    }
    EXPECT_EQ(StateOf(table, Worker(n)), HealthState::kHealthy);
  }
  EXPECT_TRUE(JobIsToBlame(table, Job(0)));
}

// Guards against blaming a job for workers that fail everything.
TEST(WorkerHealthTest, FailuresAtQuarantinedWorkersDoNotBlameTheJob) {
  HealthTable table;
  for (int n = 0; n < 3; ++n) {
    for (int other = 1; other < 4; ++other) {
      RecordOutcome(table, Worker(n), Job(10 * n + other), false, kNow);
    }
    RecordOutcome(table, Worker(n), Job(0), false, kNow);
  }
  EXPECT_FALSE(JobIsToBlame(table, Job(0)));
}

// Guards against a worker that stays in quarantine for failures that turn out
// to be a job's fault.
TEST(WorkerHealthTest, QuarantineEndsWhenTheJobsAreBlamed) {
  HealthTable table;
  for (int n = 0; n < 3; ++n) {
    RecordOutcome(table, Worker(0), Job(n), false, kNow);
  }
  ASSERT_EQ(StateOf(table, Worker(0)), HealthState::kQuarantined);
  for (int job = 0; job < 2; ++job) {
    for (int n = 1; n < 4; ++n) {
      RecordOutcome(table, Worker(n), Job(job), false, kNow);
      RecordOutcome(table, Worker(n), Job(50), true, kNow);
    }
  }
  EXPECT_EQ(StateOf(table, Worker(0)), HealthState::kHealthy);
}

// Guards against a worker that is never trusted again when no work that may be
// repeated comes to probe it, and against trusting it fully.
TEST(WorkerHealthTest, ProbeWithoutWorkEndsAfterTheLimit) {
  HealthTable table;
  const AgentName agent("a");
  TimePoint now(Millis(1'000));
  for (int n = 0; n < 3; ++n) {
    RecordOutcome(table, agent, {}, false, now);
  }
  now = table.workers[agent].probe_at;
  UpdateHealth(table, now);
  EXPECT_EQ(StateOf(table, agent), HealthState::kProbing);
  UpdateHealth(table, now + std::chrono::minutes(1));
  EXPECT_EQ(StateOf(table, agent), HealthState::kHealthy);
  RecordOutcome(table, agent, {}, false, now);
  EXPECT_EQ(StateOf(table, agent), HealthState::kQuarantined);
}

}  // namespace
}  // namespace shallotlug::decision
