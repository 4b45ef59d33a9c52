#include "shallotlug/workload/ledger.h"

#include <set>
#include <string>

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

// Guards against a job that is open although its cancel was stored first, and
// against one that is shown because of its cancel alone.
TEST(LedgerTest, CancelsAJobWhoseCancelIsStoredFirst) {
  Ledger ledger;
  const Job job = MakeJob("j1");
  ApplyRaw(ledger, Encode(JobCancelled{job.id, WallTime(Millis(9))}), 0);
  EXPECT_FALSE(StateOf(ledger, job.id));
  EXPECT_TRUE(IsCancelledEarly(ledger, job.id));
  EXPECT_EQ(PendingJobs(ledger, "live"), 0);
  ApplyRaw(ledger, Encode(JobAccepted{job}), 1);
  EXPECT_EQ(StateOf(ledger, job.id), JobState::kCancelled);
  EXPECT_FALSE(IsCancelledEarly(ledger, job.id));
  EXPECT_EQ(PendingJobs(ledger, "live"), 0);
}

// Guards against cancels of unknown jobs that are kept for good.
TEST(LedgerTest, ForgetsADroppedCancelOfAnUnknownJob) {
  Ledger ledger;
  const JobId job("j1");
  ApplyRaw(ledger, Encode(JobCancelled{job, WallTime(Millis(9))}), 0);
  ApplyRaw(ledger, DropCancel(job), 1);
  EXPECT_FALSE(IsCancelledEarly(ledger, job));
  EXPECT_TRUE(ledger.jobs.empty());
  EXPECT_TRUE(ledger.offsets.empty());
}

// Guards against a job that runs because the record of its cancel was dropped
// just after its late submission was stored.
TEST(LedgerTest, KeepsAJobCancelledWhoseCancelIsDropped) {
  Ledger ledger;
  const Job job = MakeJob("j1");
  ApplyRaw(ledger, Encode(JobCancelled{job.id, WallTime(Millis(9))}), 0);
  ApplyRaw(ledger, Encode(JobAccepted{job}), 1);
  ApplyRaw(ledger, DropCancel(job.id), 2);
  EXPECT_EQ(StateOf(ledger, job.id), JobState::kCancelled);
}

TEST(LedgerTest, DropsAJob) {
  Ledger ledger;
  const Job job = MakeJob("j1");
  ApplyRaw(ledger, Encode(JobAccepted{job}), 0);
  std::uint64_t offset = 1;
  for (const RawRecord& it : DropJob(job, {{0, 1}, {1, 1}})) {
    ApplyRaw(ledger, it, offset++);
  }
  EXPECT_FALSE(StateOf(ledger, job.id));
}

constexpr std::size_t kSmallRecord = 40'000;

// Tasks in different states, so that each takes a row of its own.
OccurrenceProgress LargeProgress(int tasks) {
  OccurrenceProgress it;
  it.job = JobId("j1");
  it.progress.steps.resize(2);
  for (int n = 0; n < tasks; ++n) {
    TaskProgress task;
    task.phase = TaskPhase::kAssigned;
    task.run = 1;
    task.on = {AgentName("a" + std::to_string(n % 3)), {"w", 7}};
    task.checkpoint = std::to_string(n);
    it.progress.steps[n < tasks / 3 ? 0 : 1].push_back(task);
  }
  return it;
}

Progress ProgressIn(const Ledger& ledger) {
  return ledger.jobs.at(JobId("j1")).occurrences.at(0);
}

// Guards against tasks that are lost or moved where progress takes several
// records.
TEST(LedgerTest, AppliesProgressInParts) {
  OccurrenceProgress large = LargeProgress(2'500);
  const EncodedProgress encoded = EncodeProgress(large, kSmallRecord);
  ASSERT_TRUE(encoded.in_parts);
  ASSERT_EQ(encoded.records.size(), 3U);
  Ledger ledger;
  std::uint64_t offset = 0;
  for (const RawRecord& it : encoded.records) {
    EXPECT_LE(RecordBytes(it), kSmallRecord);
    EXPECT_TRUE(IsSchedulersRecord(it.key));
    ApplyRaw(ledger, it, offset++);
  }
  large.progress.in_parts = true;
  EXPECT_EQ(ProgressIn(ledger), large.progress);
}

// Guards against a reader that lets the older whole record replace parts, or
// the parts that it has read replace tasks of the others.
TEST(LedgerTest, AppliesPartsBesideAnOlderWholeRecord) {
  OccurrenceProgress large = LargeProgress(2'500);
  const RawRecord whole = Encode(large);
  large.progress.steps[1].back().phase = TaskPhase::kDone;
  large.progress.steps[1].back().on = {};
  const RawRecord last = EncodeProgress(large, kSmallRecord).records[0];
  large.progress.in_parts = true;
  Ledger in_order;
  ApplyRaw(in_order, whole, 0);
  ApplyRaw(in_order, last, 1);
  EXPECT_EQ(ProgressIn(in_order), large.progress);
  Ledger by_key;
  ApplyRaw(by_key, last, 1);
  ApplyRaw(by_key, whole, 0);
  EXPECT_EQ(ProgressIn(by_key), large.progress);
}

// Guards against a record that stays too large because of its checkpoints.
TEST(LedgerTest, LeavesOutCheckpointsThatNoPartHolds) {
  OccurrenceProgress large = LargeProgress(1'000);
  for (auto& step : large.progress.steps) {
    for (TaskProgress& it : step) {
      it.checkpoint += std::string(1'000, 'x');
    }
  }
  const EncodedProgress encoded = EncodeProgress(large, kSmallRecord);
  EXPECT_EQ(encoded.parts_without_checkpoints, 1);
  for (const RawRecord& it : encoded.records) {
    EXPECT_LE(RecordBytes(it), kSmallRecord);
  }
}

// Guards against parts of a job that stay in the log for ever.
TEST(LedgerTest, DropsAllPartsOfAJob) {
  const Job job = MakeJob("j1");
  std::set<std::string> keys;
  for (const RawRecord& it : DropJob(job, {{1, 3}})) {
    keys.insert(it.key);
  }
  OccurrenceProgress large = LargeProgress(2'500);
  large.occurrence = 1;
  for (const RawRecord& it : EncodeProgress(large, kSmallRecord).records) {
    EXPECT_TRUE(keys.contains(it.key)) << it.key;
  }
}

TEST(LedgerTest, CountsMalformedRecords) {
  Ledger ledger;
  EXPECT_EQ(Apply(ledger, "j/1", "garbage", 0), Applied::kMalformed);
  EXPECT_EQ(ledger.skipped, 1U);
}

}  // namespace
}  // namespace shallotlug::workload
