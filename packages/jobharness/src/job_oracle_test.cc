#include "shallotlug/jobharness/job_oracle.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "shallotlug/jobharness/job_simulation.h"

namespace shallotlug::jobharness {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;
using workload::EndReason;
using workload::RunRef;

constexpr TimePoint kNow{Millis(10'000)};

RunRef RunOf(int index, int run, int step = 0) {
  return {{JobId("j"), 0, step, index}, run};
}

// Each test violates one promise and expects the oracle to report it.
class JobOracleTest : public testing::Test {
 protected:
  JobOracleTest() {
    workload::Step next = job.steps[0];
    next.depends_on = {0};
    job.steps.push_back(next);
    oracle.OnAccepted(job);
  }

  void Start(const std::string& worker, const RunRef& run) {
    oracle.OnStarted(worker, run, job.payload, kNow);
  }

  void ExpectViolation(const std::string& rule) {
    EXPECT_THAT(oracle.Violations(), ElementsAre(HasSubstr(rule)));
  }

  workload::Job job = MakeJob("j", 2, "100");
  JobOracle oracle;
};

TEST_F(JobOracleTest, AcceptsAnOrdinaryLife) {
  Start("w1", RunOf(0, 1));
  Start("w2", RunOf(1, 1));
  oracle.OnEnded("w1", RunOf(0, 1), EndReason::kDone);
  oracle.OnEnded("w2", RunOf(1, 1), EndReason::kDone);
  Start("w1", RunOf(0, 1, 1));
  EXPECT_THAT(oracle.Violations(), IsEmpty());
}

TEST_F(JobOracleTest, SeesTwoRunsAtTheSameTime) {
  Start("w1", RunOf(0, 1));
  Start("w2", RunOf(0, 2));
  ExpectViolation("two runs at the same time");
}

TEST_F(JobOracleTest, SeesARunThatGoesOnAfterTheCancel) {
  Start("w1", RunOf(0, 1));
  oracle.OnCancelled(job.id, kNow);
  oracle.CheckCancelled(kNow, kNow + Millis(3'400));
  EXPECT_THAT(oracle.Violations(), IsEmpty());
  oracle.CheckCancelled(kNow + Millis(1'000), kNow + Millis(4'400));
  EXPECT_THAT(oracle.Violations(), IsEmpty());
  oracle.CheckCancelled(kNow, kNow + Millis(3'401));
  ExpectViolation("runs on after its job was cancelled");
}

TEST_F(JobOracleTest, SeesAStartAfterANotedEnd) {
  Start("w1", RunOf(0, 1));
  oracle.OnEnded("w1", RunOf(0, 1), EndReason::kDone);
  oracle.OnNoted(RunOf(0, 1), EndReason::kDone);
  Start("w2", RunOf(0, 2));
  ExpectViolation("started again after it was done");
}

TEST_F(JobOracleTest, SeesAStepBeforeWhatItDependsOn) {
  Start("w1", RunOf(0, 1, 1));
  ExpectViolation("before a step that it depends on");
}

TEST_F(JobOracleTest, SeesAnotherPayload) {
  oracle.OnStarted("w1", RunOf(0, 1), "other", kNow);
  ExpectViolation("without being asked for");
}

TEST_F(JobOracleTest, SeesAnUnknownJob) {
  oracle.OnStarted("w1", {{JobId("k"), 0, 0, 0}, 1}, "100", kNow);
  ExpectViolation("without being asked for");
}

TEST_F(JobOracleTest, SeesAStartLongAfterTheCancel) {
  oracle.OnCancelled(JobId("j"), kNow - Millis(5'000));
  Start("w1", RunOf(0, 1));
  ExpectViolation("after its job was cancelled");
}

TEST_F(JobOracleTest, SeesARefusedJobThatRuns) {
  workload::Job other = MakeJob("k", 1, "100");
  oracle.OnSent(other);
  oracle.OnRefused(other.id);
  oracle.OnStarted("w1", {{JobId("k"), 0, 0, 0}, 1}, "100", kNow);
  ExpectViolation("refused but run");
}

TEST_F(JobOracleTest, SeesAStartBeyondTheAttempts) {
  for (int run = 1; run <= 3; ++run) {
    Start("w1", RunOf(0, run));
    oracle.OnEnded("w1", RunOf(0, run), EndReason::kFailed);
    oracle.OnNoted(RunOf(0, run), EndReason::kFailed);
  }
  Start("w1", RunOf(0, 4));
  ExpectViolation("after its attempts were used up");
}

TEST_F(JobOracleTest, SeesALoneMember) {
  Start("w1", RunOf(0, 1));
  oracle.OnEnded("w1", RunOf(0, 1), EndReason::kAlone);
  ExpectViolation("waited alone");
}

TEST_F(JobOracleTest, SeesAnOverloadedWorker) {
  oracle.OnCapacity("w1", {0, 0, -1});
  ExpectViolation("more than a worker's room");
}

TEST_F(JobOracleTest, SeesAJobCompletedTooSoon) {
  oracle.OnShown(JobId("j"), "completed", kNow);
  ExpectViolation("before all was done");
}

TEST_F(JobOracleTest, SeesALostJob) {
  oracle.OnShown(JobId("j"), "unknown", kNow);
  oracle.Finish();
  ExpectViolation("lost");
}

TEST_F(JobOracleTest, SeesStartsAfterThreeCrashes) {
  for (int run = 1; run <= 5; ++run) {
    Start("w", RunOf(0, run));
    oracle.OnWorkerCrashed("w");
  }
  EXPECT_THAT(oracle.Violations(), IsEmpty());
  Start("w", RunOf(0, 6));
  ExpectViolation("started again although it crashes its workers");
}

TEST_F(JobOracleTest, SeesAFailureWithoutACause) {
  Start("w", RunOf(0, 1));
  oracle.OnWorkerCrashed("w");
  oracle.OnShown(job.id, "failed", kNow);
  ExpectViolation("shown as failed without cause");
}

TEST_F(JobOracleTest, AcceptsAFailureAfterTwoCrashes) {
  for (int run = 1; run <= 2; ++run) {
    Start("w", RunOf(0, run));
    oracle.OnWorkerCrashed("w");
  }
  oracle.OnShown(job.id, "failed", kNow);
  EXPECT_THAT(oracle.Violations(), IsEmpty());
}

}  // namespace
}  // namespace shallotlug::jobharness
