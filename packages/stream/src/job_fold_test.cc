#include "shallotlug/stream/job_fold.h"

#include <gtest/gtest.h>

namespace shallotlug::stream {
namespace {

JobSubmitted Submitted(const std::string& job, bool repeatable = true) {
  JobSubmitted record;
  record.spec.id = JobId(job);
  record.spec.customer = CustomerName("c");
  record.spec.repeatable = repeatable;
  record.spec.body = "raw \xff bytes";
  record.key = "k-" + job;
  return record;
}

JobClaimed Claimed(const std::string& job, std::uint32_t number) {
  JobClaimed record;
  record.attempt = {JobId(job), number};
  record.coordinator = {AgentName("a1"), Incarnation{1}};
  record.members = {{record.coordinator, "127.0.0.1:1", {3, 12}}};
  return record;
}

JobAttemptEnded Ended(const std::string& job,
                      std::uint32_t number,
                      AttemptEnd end) {
  JobAttemptEnded record;
  record.attempt = {JobId(job), number};
  record.end = end;
  record.text = "t";
  return record;
}

JobSnapshot Snapshot(const std::string& job, std::uint64_t folded_to) {
  JobSnapshot record;
  record.row.spec = Submitted(job).spec;
  record.row.key = "k";
  record.folded_to = folded_to;
  return record;
}

class JobFoldTest : public testing::Test {
 protected:
  template <class Record>
  void Add(const Record& record) {
    const std::uint64_t n = next++;
    Apply(fold, {kJobStream,
                 true,
                 start,
                 n + 1,
                 {{n, "r" + std::to_string(n), Format(record)}}});
  }

  const JobRow& Row(const std::string& job = "j") {
    return fold.rows.at(JobId(job));
  }

  JobFold fold;
  std::uint64_t start = 0;
  std::uint64_t next = 0;
};

// Guards against two entries both believing that their claim won.
TEST_F(JobFoldTest, FirstClaimWins) {
  Add(Submitted("j"));
  Add(Claimed("j", 1));
  Add(Claimed("j", 1));
  Add(Claimed("j", 2));
  EXPECT_EQ(Row().claim_id, "r1");
  EXPECT_EQ(Row().attempt, 1U);
  Add(Ended("j", 1, AttemptEnd::kReleased));
  Add(Claimed("j", 2));
  EXPECT_EQ(Row().claim_id, "r5");
  EXPECT_EQ(Row().spec, Submitted("j").spec);
  EXPECT_EQ(Row().members, Claimed("j", 2).members);
}

// Guards against a job that must not run twice being claimed after an attempt
// that may have run.
TEST_F(JobFoldTest, UnrepeatableJobIsNotClaimedAfterAnUnreleasedClaim) {
  for (const AttemptEnd end : {AttemptEnd::kAbandoned, AttemptEnd::kFailed,
                               AttemptEnd::kCheckpointed}) {
    const std::string job = "j" + std::to_string(static_cast<int>(end));
    Add(Submitted(job, false));
    Add(Claimed(job, 1));
    Add(Ended(job, 1, end));
    EXPECT_TRUE(IsFinal(Row(job).standing));
    Add(Claimed(job, 2));
    EXPECT_EQ(Row(job).attempt, 1U);
  }
}

// Guards against a second result replacing the first one.
TEST_F(JobFoldTest, FirstFinishedCounts) {
  Add(Submitted("j"));
  Add(Claimed("j", 1));
  Add(Ended("j", 1, AttemptEnd::kAbandoned));
  Add(Claimed("j", 2));
  JobAttemptEnded late = Ended("j", 1, AttemptEnd::kFinished);
  late.text = "first";
  Add(late);
  Add(Ended("j", 2, AttemptEnd::kFinished));
  EXPECT_EQ(Row().standing, JobStanding::kFinished);
  EXPECT_EQ(Row().result, "first");
}

// Guards against a repeated submission creating a second job or reviving a
// cancelled one.
TEST_F(JobFoldTest, RepeatedSubmissionChangesNothing) {
  Add(Submitted("j"));
  Add(JobCancelled{JobId("j")});
  Add(Submitted("j"));
  Add(Claimed("j", 1));
  EXPECT_EQ(Row().standing, JobStanding::kCancelled);
}

// Guards against a snapshot that was written before the job finished reviving
// it for a reader that never saw the submission.
TEST_F(JobFoldTest, RecordsAfterASnapshotsPositionAreApplied) {
  JobSnapshot snapshot = Snapshot("j", 5);
  snapshot.row.standing = JobStanding::kClaimed;
  snapshot.row.attempt = 1;
  start = next = 5;
  Add(Ended("j", 1, AttemptEnd::kFinished));
  Add(snapshot);
  EXPECT_EQ(Row().standing, JobStanding::kFinished);
}

// Guards against a snapshot whose later records may already be dropped.
TEST_F(JobFoldTest, SnapshotFromBeforeTheStartIsIgnored) {
  start = next = 5;
  Add(Snapshot("j", 4));
  EXPECT_TRUE(fold.rows.empty());
}

}  // namespace
}  // namespace shallotlug::stream
