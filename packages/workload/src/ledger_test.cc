#include "shallotlug/workload/ledger.h"

#include <gtest/gtest.h>

namespace shallotlug::workload {
namespace {

Job MakeJob(const std::string& id) {
  Job job;
  job.id = JobId(id);
  job.queue = "live";
  job.terms = {"pool", 0, 3, 1.5, Millis(250)};
  job.customer = CustomerName("acme");
  job.payload = "text";
  Step step;
  step.count = 2;
  step.need = {1'000, 2'000, 8};
  step.estimate = Millis(900);
  step.gang = true;
  step.same_rack = true;
  step.data_rack = "r1";
  job.steps.push_back(step);
  step.depends_on = {0};
  step.saves_checkpoints = true;
  job.steps.push_back(step);
  job.recurrence = {2, WallTime(Millis(50'000)), Millis(1'000)};
  job.accepted_at = WallTime(Millis(77));
  return job;
}

Applied ApplyRaw(Ledger& ledger,
                 const RawRecord& record,
                 std::uint64_t offset) {
  return Apply(ledger, record.key, record.value, offset);
}

OccurrenceProgress ProgressWith(const Job& job, int number, Outcome outcome) {
  OccurrenceProgress it{job.id, number, MakeProgress(job)};
  it.progress.outcome = outcome;
  it.progress.steps[0][1] = {TaskPhase::kAssigned,        3,       1, 1,
                             {AgentName("a"), {"w", 55}}, "saved", {}};
  return it;
}

TEST(RecordTest, DecodesEncodedRecords) {
  const Job job = MakeJob("j1");
  const RawRecord accepted = Encode(JobAccepted{job});
  EXPECT_EQ(std::get<JobAccepted>(*Decode(accepted.key, accepted.value)).job,
            job);
  const auto progress = ProgressWith(job, 1, Outcome::kOpen);
  const RawRecord raw = Encode(progress);
  const auto decoded =
      std::get<OccurrenceProgress>(*Decode(raw.key, raw.value));
  EXPECT_EQ(decoded.occurrence, 1);
  EXPECT_EQ(decoded.progress, progress.progress);
}

TEST(RecordTest, DecodesEncodedClaims) {
  for (const bool behind : {false, true}) {
    const RawRecord raw =
        Encode(SchedulerClaim{7, EntryName("e"), 5, true, behind});
    const auto claim = std::get<SchedulerClaim>(*Decode(raw.key, raw.value));
    EXPECT_EQ(claim.epoch, 7U);
    EXPECT_TRUE(claim.resigned);
    EXPECT_EQ(claim.behind, behind);
    EXPECT_FALSE(claim.agents_lost);
  }
  const RawRecord raw =
      Encode(SchedulerClaim{7, EntryName("e"), 5, true, false, true, 14'000});
  const auto claim = std::get<SchedulerClaim>(*Decode(raw.key, raw.value));
  EXPECT_TRUE(claim.agents_lost);
  EXPECT_EQ(claim.agents_heard, 14'000);
}

// The topic may contain records of other writers.
TEST(RecordTest, RejectsUnknownOrMalformedRecords) {
  EXPECT_FALSE(Decode("j/1", "not json"));
  EXPECT_FALSE(Decode("j/1", "{}"));
  EXPECT_FALSE(Decode("zzz", "{}"));
  EXPECT_FALSE(Decode("p/1/x", R"({"outcome":0,"counts":[],"tasks":[]})"));
  EXPECT_FALSE(Decode("p/1/0", R"({"outcome":0,"counts":[1],
      "tasks":[[0,9,0,1,0,""]]})"));
  EXPECT_FALSE(Decode("p/1/0", R"({"outcome":0,"counts":[99999999],
      "tasks":[]})"));
}

TEST(LedgerTest, IgnoresARepeatedSubmission) {
  Ledger ledger;
  Job job = MakeJob("j1");
  job.recurrence = {};
  ApplyRaw(ledger, Encode(JobAccepted{job}), 0);
  ApplyRaw(ledger, Encode(ProgressWith(job, 0, Outcome::kCompleted)), 1);
  ApplyRaw(ledger, Encode(JobAccepted{job}), 2);
  EXPECT_EQ(StateOf(ledger, job.id), JobState::kCompleted);
}

// The newest records of all keys and the tail of the log overlap.
TEST(LedgerTest, IgnoresAnOutdatedRecord) {
  Ledger ledger;
  Job job = MakeJob("j1");
  job.recurrence = {};
  ApplyRaw(ledger, Encode(JobAccepted{job}), 0);
  ApplyRaw(ledger, Encode(ProgressWith(job, 0, Outcome::kCompleted)), 5);
  EXPECT_EQ(ApplyRaw(ledger, Encode(ProgressWith(job, 0, Outcome::kOpen)), 3),
            Applied::kOutdated);
  EXPECT_EQ(StateOf(ledger, job.id), JobState::kCompleted);
}

TEST(LedgerTest, AppliesProgressThatIsReadBeforeItsJob) {
  Ledger ledger;
  Job job = MakeJob("j1");
  job.recurrence = {};
  ApplyRaw(ledger, Encode(ProgressWith(job, 0, Outcome::kOpen)), 4);
  EXPECT_FALSE(StateOf(ledger, job.id));
  ApplyRaw(ledger, Encode(JobAccepted{job}), 2);
  EXPECT_EQ(StateOf(ledger, job.id), JobState::kInProgress);
}

TEST(LedgerTest, EndsAJobWithItsLastOccurrence) {
  Ledger ledger;
  const Job job = MakeJob("j1");
  ApplyRaw(ledger, Encode(JobAccepted{job}), 0);
  ApplyRaw(ledger, Encode(ProgressWith(job, 0, Outcome::kCompleted)), 1);
  EXPECT_EQ(StateOf(ledger, job.id), JobState::kInProgress);
  ApplyRaw(ledger, Encode(ProgressWith(job, 1, Outcome::kFailed)), 2);
  EXPECT_EQ(StateOf(ledger, job.id), JobState::kFailed);
}

TEST(LedgerTest, CountsPendingJobs) {
  Ledger ledger;
  ApplyRaw(ledger, Encode(JobAccepted{MakeJob("j1")}), 0);
  ApplyRaw(ledger, Encode(JobAccepted{MakeJob("j2")}), 1);
  ApplyRaw(ledger, Encode(JobAccepted{MakeJob("j3")}), 2);
  ApplyRaw(ledger, Encode(JobCancelled{JobId("j2")}), 3);
  ApplyRaw(ledger, Encode(ProgressWith(MakeJob("j3"), 0, Outcome::kOpen)), 4);
  EXPECT_EQ(PendingJobs(ledger, "live"), 1);
  EXPECT_EQ(PendingJobs(ledger, "other"), 0);
}

TEST(LedgerTest, DropsAJob) {
  Ledger ledger;
  const Job job = MakeJob("j1");
  ApplyRaw(ledger, Encode(JobAccepted{job}), 0);
  std::uint64_t offset = 1;
  for (const RawRecord& it : DropJob(job)) {
    ApplyRaw(ledger, it, offset++);
  }
  EXPECT_FALSE(StateOf(ledger, job.id));
}

TEST(LedgerTest, CountsMalformedRecords) {
  Ledger ledger;
  EXPECT_EQ(Apply(ledger, "j/1", "garbage", 0), Applied::kMalformed);
  EXPECT_EQ(ledger.skipped, 1U);
}

}  // namespace
}  // namespace shallotlug::workload
