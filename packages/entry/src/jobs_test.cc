#include "test_support.h"

namespace shallotlug::entry {
namespace {

class JobsTest : public EntryTest {
 protected:
  void SetUp() override {
    Run();
    Call(900, SetTarget("c1", BatchTarget()));
    Connect(1, "a1");
    Connect(2, "a2");
    Wait(Millis(3500));
  }

  JobId Accept(std::uint64_t call, const api::SubmitJobCall& submit) {
    Call(call, submit);
    const auto* reply = ReplyOf<api::JobReply>(call);
    return reply == nullptr ? JobId() : reply->spec.id;
  }

  ProposeJob Proposed() { return *LastSent<ProposeJob>(); }

  std::uint64_t LinkOf(const ProposeJob& proposal) {
    return proposal.members.front().agent.name.value == "a1" ? 1 : 2;
  }

  JobUpdate Update(const ProposeJob& proposal, JobPhase phase) {
    JobUpdate update;
    update.attempt = proposal.attempt;
    update.phase = phase;
    update.result = "result";
    update.checkpoint = "checkpoint";
    return update;
  }

  void Report(const ProposeJob& proposal, JobPhase phase) {
    Receive(LinkOf(proposal), Update(proposal, phase));
  }

  /// @brief Makes the coordinator list the attempt in its reports.
  void ReportRunning(const ProposeJob& proposal) {
    AgentReport& report = reports[LinkOf(proposal)];
    RunningAttempt running;
    running.attempt = proposal.attempt;
    running.coordinator = true;
    running.phase = JobPhase::kRunning;
    running.spec = proposal.spec;
    running.members = proposal.members;
    report.attempts = {running};
    report.accelerators[0] = AcceleratorUse::kThrottleable;
    report.accelerators[1] = AcceleratorUse::kThrottleable;
    Receive(LinkOf(proposal), report);
  }

  std::uint64_t next_get = 10'000;
  api::JobState StateOfJob(const JobId& id) {
    Call(++next_get, api::GetJobCall{id});
    return ReplyOf<api::JobReply>(next_get)->state;
  }
};

// Guards against a job that is accepted and then never started or reported.
TEST_F(JobsTest, JobIsPlacedRunsAndFinishes) {
  const JobId id = Accept(1, Submit("k"));
  ASSERT_FALSE(id.empty());
  EXPECT_TRUE(ReplyOf<api::JobReply>(1)->created);
  Wait(Millis(200));
  ASSERT_TRUE(LastSent<ProposeJob>());
  EXPECT_EQ(Proposed().attempt, (Attempt{id, 1}));
  EXPECT_EQ(Proposed().members.front().tasks, std::vector<AcceleratorMask>{3});
  ReportRunning(Proposed());
  EXPECT_EQ(StateOfJob(id), api::JobState::kRunning);
  Report(Proposed(), JobPhase::kFinished);
  Wait(Millis(100));
  EXPECT_EQ(StateOfJob(id), api::JobState::kFinished);
  ASSERT_TRUE(LastSent<JobUpdateAck>());
  EXPECT_EQ(LastSent<JobUpdateAck>()->attempt, Proposed().attempt);
  EXPECT_EQ(CountSent<ProposeJob>(), 1U);
}

// Guards against one submission key creating two jobs, or being accepted for a
// different job.
TEST_F(JobsTest, SubmissionIsIdempotentByCustomerAndKey) {
  const JobId id = Accept(1, Submit("k"));
  EXPECT_EQ(Accept(2, Submit("k")), id);
  EXPECT_FALSE(ReplyOf<api::JobReply>(2)->created);
  api::SubmitJobCall other = Submit("k");
  other.spec.body = "other";
  Call(3, other);
  EXPECT_EQ(ErrorOf(3), api::ErrorCode::kConflict);
}

// Guards against jobs waiting forever for a shape that no worker can provide.
TEST_F(JobsTest, ImpossibleShapeAndUnknownClassAreRejected) {
  api::SubmitJobCall submit = Submit("k");
  submit.spec.shape = {3, 8, Adjacency::kDataCentre};
  Call(1, submit);
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kCanNeverRun);
  submit = Submit("k");
  submit.spec.job_class = ClassName("other");
  Call(2, submit);
  EXPECT_EQ(ErrorOf(2), api::ErrorCode::kNotFound);
}

// Guards against reporting "not accepted" for a job that may be on the log, and
// against accepting a job that was not recorded.
TEST_F(JobsTest, LostAppendIsUnknownAndRefusedAppendIsNotAccepted) {
  append_outcome = stream::AppendOutcome::kUnknown;
  store_appended = false;
  Call(1, Submit("k"));
  Wait(Millis(3000));
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kOutcomeUnknown);
  log_up = false;
  Wait(Millis(1000));
  Call(2, Submit("k2"));
  EXPECT_EQ(ErrorOf(2), api::ErrorCode::kNotAccepted);
}

// Guards against a lost answer of the log turning into an unknown outcome
// although the record can be read back.
TEST_F(JobsTest, AmbiguousAppendThatIsReadBackIsAccepted) {
  append_outcome = stream::AppendOutcome::kUnknown;
  const JobId id = Accept(1, Submit("k"));
  Wait(Millis(600));
  EXPECT_NE(ReplyOf<api::JobReply>(1), nullptr);
  EXPECT_EQ(log[stream::kJobStream].size(), 2U);  // Submitted and claimed.
}

// Guards against an unrepeatable job starting under a claim that another entry
// has won.
TEST_F(JobsTest, UnrepeatableJobStartsOnlyWithTheWinningClaim) {
  Entry().jobs.plan_not_before = now + Millis(300);
  const JobId id = Accept(1, Submit("k", false));
  stream::JobClaimed other;
  other.attempt = {id, 1};
  other.coordinator = {AgentName("a2"), Incarnation{1}};
  other.members = {{other.coordinator, "127.0.0.1:9", {3}}};
  concurrent_records[stream::kJobStream] = {{"x", stream::Format(other)}};
  Wait(Millis(1000));
  EXPECT_EQ(log[stream::kJobStream].size(), 3U);
  EXPECT_EQ(CountSent<ProposeJob>(), 0U);
}

// Guards against an unrepeatable job starting while its claim is not known to
// be on the log; a repeatable one starts despite the outage.
TEST_F(JobsTest, LogOutageDelaysOnlyUnrepeatableJobs) {
  Entry().jobs.plan_not_before = now + Millis(1500);
  const JobId repeatable = Accept(1, Submit("k1", true));
  const JobId unrepeatable = Accept(2, Submit("k2", false));
  log_up = false;
  Wait(Millis(3000));
  ASSERT_EQ(CountSent<ProposeJob>(), 1U);
  EXPECT_EQ(Proposed().attempt.job, repeatable);
  log_up = true;
  Wait(Millis(3000));
  EXPECT_EQ(Proposed().attempt.job, unrepeatable);
}

// Guards against a repeatable job that finishes during an outage being lost or
// run again.
TEST_F(JobsTest, ResultDuringLogOutageIsRecordedAfterwards) {
  const JobId id = Accept(1, Submit("k"));
  log_up = false;
  Wait(Millis(1000));
  Report(Proposed(), JobPhase::kFinished);
  Wait(Millis(2000));
  EXPECT_EQ(CountSent<ProposeJob>(), 1U);
  EXPECT_EQ(CountSent<JobUpdateAck>(), 0U);
  log_up = true;
  Wait(Millis(1500));
  EXPECT_EQ(StateOfJob(id), api::JobState::kFinished);
  EXPECT_EQ(CountSent<JobUpdateAck>(), 1U);
}

// Guards against a refused attempt being retried without a back-off or under
// the same attempt number.
TEST_F(JobsTest, RefusedAttemptIsReplannedAfterABackOff) {
  Accept(1, Submit("k"));
  Wait(Millis(200));
  Report(Proposed(), JobPhase::kNotStarted);
  EXPECT_EQ(CountSent<ProposeJob>(), 1U);
  Wait(Millis(500));
  ASSERT_EQ(CountSent<ProposeJob>(), 2U);
  EXPECT_EQ(Proposed().attempt.number, 2U);
}

// Guards against a claimed attempt that nobody runs blocking its job.
TEST_F(JobsTest, UnreportedAttemptIsResolvedAndReleased) {
  const JobId id = Accept(1, Submit("k", false));
  Wait(Millis(200));
  ASSERT_TRUE(LastSent<ProposeJob>());
  Wait(Millis(3000));
  ASSERT_TRUE(LastSent<StopJob>());
  EXPECT_EQ(LastSent<StopJob>()->reason, StopReason::kSuperseded);
  Report(Proposed(), JobPhase::kNotStarted);
  Wait(Millis(1000));
  EXPECT_EQ(Proposed().attempt, (Attempt{id, 2}));
}

// Guards against a lost coordinator holding a job forever, and against a job
// that must not run twice being started again after it.
TEST_F(JobsTest, AttemptOfLostCoordinatorIsAbandonedAfterTimeout) {
  const JobId repeatable = Accept(1, Submit("k1", true));
  const JobId unrepeatable = Accept(2, Submit("k2", false));
  Wait(Millis(300));
  ASSERT_EQ(CountSent<ProposeJob>(), 2U);
  LinkDownAt(1);
  LinkDownAt(2);
  Wait(Millis(14'000));
  EXPECT_EQ(StateOfJob(unrepeatable), api::JobState::kRunning);
  Connect(3, "a3");
  Wait(Millis(2500));
  EXPECT_EQ(StateOfJob(unrepeatable), api::JobState::kOutcomeUnknown);
  EXPECT_EQ(CountSent<ProposeJob>(), 3U);
  EXPECT_EQ(Proposed().attempt, (Attempt{repeatable, 2}));
}

// Guards against a newly started entry claiming a job that is already running.
TEST_F(JobsTest, NewEntryWaitsForReportsAndKeepsRunningJobs) {
  Accept(1, Submit("k"));
  Wait(Millis(200));
  const ProposeJob proposal = Proposed();
  entry.reset();
  options.self.incarnation = Incarnation{8};
  sends.clear();
  Run();
  Connect(1, "a1");
  Connect(2, "a2");
  ReportRunning(proposal);
  Wait(Millis(6000));
  EXPECT_EQ(CountSent<ProposeJob>(), 0U);
  EXPECT_EQ(CountSent<StopJob>(), 0U);
}

// Guards against an entry planning before agents report what runs: an attempt
// whose claim was lost with another entry in an outage is kept and claimed.
TEST_F(JobsTest, RunningAttemptWithLostClaimIsKept) {
  Entry().jobs.plan_not_before = now + Millis(300);
  const JobId id = Accept(1, Submit("k"));
  log_up = false;
  Wait(Millis(1000));
  const ProposeJob proposal = Proposed();
  log_up = true;
  entry.reset();
  options.self.incarnation = Incarnation{8};
  sends.clear();
  Run();
  Connect(1, "a1");
  Connect(2, "a2");
  ReportRunning(proposal);
  Wait(Millis(5000));
  EXPECT_EQ(CountSent<ProposeJob>(), 0U);
  EXPECT_EQ(CountSent<StopJob>(), 0U);
  EXPECT_EQ(StateOfJob(id), api::JobState::kRunning);
}

// Guards against a cancelled job that keeps its accelerators, and against a job
// of the call being counted more than once.
TEST_F(JobsTest, CancelledJobsAreStoppedAndStayCancelled) {
  const JobId running = Accept(1, Submit("k1"));
  Wait(Millis(200));
  ReportRunning(Proposed());
  Call(5, api::CancelJobsCall{
              CustomerName("salon"), {running, JobId("none")}, ClassName()});
  const auto* reply = ReplyOf<api::CancelJobsReply>(5);
  ASSERT_NE(reply, nullptr);
  EXPECT_EQ(reply->cancelled, 1U);
  EXPECT_EQ(reply->unknown, 1U);
  ASSERT_TRUE(LastSent<StopJob>());
  EXPECT_EQ(LastSent<StopJob>()->reason, StopReason::kCancelled);
  Report(Proposed(), JobPhase::kCheckpointed);
  EXPECT_EQ(LastSent<JobUpdateAck>()->attempt, Proposed().attempt);
  EXPECT_EQ(StateOfJob(running), api::JobState::kCancelled);
}

// Guards against super-linear cost of cancelling many jobs: every job is
// visited once and all end.
TEST_F(JobsTest, CancellingManyJobsEndsThemAll) {
  Entry().jobs.plan_not_before = now + Millis(600'000);
  Inbox inbox;
  for (std::uint64_t n = 0; n < 10'000; ++n) {
    inbox.calls.push_back({CallId{n + 1}, Submit("k" + std::to_string(n))});
  }
  Run(inbox);
  Wait(Millis(500));
  EXPECT_EQ(Entry().jobs.tracks.size(), 10'000U);
  Call(50'000, api::CancelJobsCall{CustomerName("salon"), {}, ClassName()});
  Wait(Millis(500));
  ASSERT_NE(ReplyOf<api::CancelJobsReply>(50'000), nullptr);
  EXPECT_EQ(ReplyOf<api::CancelJobsReply>(50'000)->cancelled, 10'000U);
  EXPECT_TRUE(Entry().jobs.tracks.empty());
}

// Guards against accelerators that stay in use in the planner's tables after
// the reports say that they are free.
TEST_F(JobsTest, AcceleratorsOfFinishedJobAreReleased) {
  api::SubmitJobCall whole = Submit("k1");
  whole.spec.shape = {2, 8, Adjacency::kAny};
  Accept(1, whole);
  Wait(Millis(200));
  const ProposeJob first = Proposed();
  for (auto& [link, report] : reports) {
    report.accelerators.assign(8, AcceleratorUse::kGang);
    Receive(link, report);
  }
  Report(first, JobPhase::kFinished);
  for (auto& [link, report] : reports) {
    report.accelerators.assign(8, AcceleratorUse::kFree);
  }
  whole.key = "k2";
  const JobId second = Accept(2, whole);
  Wait(Millis(500));
  EXPECT_EQ(Proposed().attempt.job, second);
}

// Guards against a shape being rejected after a suitable worker has joined.
TEST_F(JobsTest, ShapeIsAcceptedAfterSuitableWorkerJoins) {
  api::SubmitJobCall submit = Submit("k");
  submit.spec.shape = {3, 8, Adjacency::kAny};
  Call(1, submit);
  EXPECT_EQ(ErrorOf(1), api::ErrorCode::kCanNeverRun);
  Connect(3, "a3");
  Call(2, submit);
  EXPECT_NE(ReplyOf<api::JobReply>(2), nullptr);
}

// Guards against a checkpointed job being restarted from the beginning.
TEST_F(JobsTest, CheckpointIsPassedToTheNextAttempt) {
  Accept(1, Submit("k"));
  Wait(Millis(200));
  Report(Proposed(), JobPhase::kCheckpointed);
  Wait(Millis(300));
  EXPECT_EQ(Proposed().attempt.number, 2U);
  EXPECT_EQ(Proposed().checkpoint, "checkpoint");
}

// Guards against a job that always fails being retried forever.
TEST_F(JobsTest, JobThatAlwaysFailsEndsAsFailed) {
  const JobId id = Accept(1, Submit("k"));
  for (int n = 0; n < 8; ++n) {
    Wait(Millis(11'000));
    JobUpdate failed = Update(Proposed(), JobPhase::kFailed);
    failed.reason = "bad_body";
    Receive(LinkOf(Proposed()), failed);
  }
  EXPECT_EQ(StateOfJob(id), api::JobState::kFailed);
  EXPECT_LE(CountSent<ProposeJob>(), 5U);
}

// Guards against live jobs being dropped by log retention.
TEST_F(JobsTest, LiveJobsAreSnapshottedBeforeRetention) {
  Entry().options.log_retention = Millis(60'000);
  Entry().jobs.plan_not_before = now + Millis(600'000);
  Accept(1, Submit("k"));
  Wait(Millis(40'000));
  int snapshots = 0;
  for (const stream::LogRecord& it : log[stream::kJobStream]) {
    const stream::JobRecord record = stream::ParseJobRecord(it.data);
    snapshots += std::holds_alternative<stream::JobSnapshot>(record) ? 1 : 0;
  }
  EXPECT_EQ(snapshots, 1);
}

// Guards against an attempt of an earlier, lost claim running alongside the
// current one.
TEST_F(JobsTest, UnexpectedAttemptIsStopped) {
  Accept(1, Submit("k"));
  Wait(Millis(200));
  ProposeJob unexpected = Proposed();
  const std::uint64_t other = 3 - LinkOf(unexpected);
  unexpected.members.front().agent.name = AgentName(other == 1 ? "a1" : "a2");
  ReportRunning(unexpected);
  ASSERT_TRUE(LastSent<StopJob>());
  EXPECT_EQ(LastSent<StopJob>()->reason, StopReason::kSuperseded);
}

}  // namespace
}  // namespace shallotlug::entry
