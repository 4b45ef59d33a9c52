#include "shallotlug/executor/executor.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace shallotlug::executor {
namespace {

using protocol::RefusalReason;
using protocol::RunPhase;
using protocol::SyncReply;
using protocol::SyncRequest;
using protocol::WorkerState;
using testing::IsEmpty;
using testing::SizeIs;
using workload::EndReason;
using workload::RunRef;

RunRef FirstRun() {
  return {{JobId("j"), 0, 0, 0}, 1};
}

class ExecutorTest : public testing::Test {
 protected:
  ExecutorTest()
      : subject({AgentName("agent"), Incarnation{1}, Millis(6'000)}) {
    facts.life = {"w", 100};
    facts.service = "pool";
    facts.capacity = {8'000, 8'000, 8};
  }

  void Connect() {
    subject.OnHeartbeat(facts, ++sequence, now);
    Sync({});
    Answer(subject.WatchCall(now), View({}));
  }

  WorkerView View(const std::vector<RunRef>& active,
                  const std::vector<workload::RunEnd>& ends = {}) {
    WorkerView view;
    view.status = OrderStatus::kDone;
    view.clock = WorkerTime(now.time_since_epoch());
    view.born = facts.life.born;
    for (const RunRef& it : active) {
      view.active.push_back({it, "", 0, 0});
    }
    view.ends = ends;
    return view;
  }

  void Answer(const WorkerQuery& look, const WorkerView& view) {
    subject.OnView(look.number, view, now);
  }

  /// @brief The next heartbeat, and the answer of a life that is heard of for
  /// the first time.
  void Beat() {
    subject.OnHeartbeat(facts, ++sequence, now);
    if (Reply().worker.life != facts.life) {
      Answer(subject.QuickCall(now).value(), View({}));
    }
  }

  SyncReply Sync(SyncRequest request) {
    request.epoch = 1;
    request.worker = facts.life;
    request.lease_from = {Incarnation{1}, AsPeerTime(now)};
    request.lease = Millis(5'000);
    const bool accepted = subject.OnSync(request, now);
    return subject.MakeReply(accepted, now);
  }

  SyncReply OrderStart(bool repeated = false) {
    SyncRequest request;
    request.starts.push_back({FirstRun(), "work", "", repeated});
    return Sync(request);
  }

  SyncReply Reply() { return subject.MakeReply(true, now); }

  void Wait(Millis time) { now += time; }

  /// @brief Lets time pass with the steps of a process that runs.
  void Step(Millis time) {
    for (Millis passed{0}; passed < time; passed += Millis(100)) {
      Wait(Millis(100));
      subject.TakeActions(now);
    }
  }

  TimePoint now{Millis(10'000)};
  std::uint64_t sequence = 0;
  workload::WorkerFacts facts;
  Executor subject;
};

TEST_F(ExecutorTest, StartsOrderedRuns) {
  Connect();
  OrderStart();
  const auto actions = subject.TakeActions(now);
  ASSERT_THAT(actions, SizeIs(1));
  EXPECT_EQ(std::get<StartAction>(actions[0]).order.run, FirstRun());
  subject.OnStartResult(FirstRun(), {OrderStatus::kDone, {}, ""}, now);
  ASSERT_THAT(Reply().runs, SizeIs(1));
  EXPECT_EQ(Reply().runs[0].phase, RunPhase::kRunning);
}

TEST_F(ExecutorTest, IgnoresARepeatedOrder) {
  Connect();
  OrderStart();
  subject.TakeActions(now);
  OrderStart(true);
  EXPECT_THAT(subject.TakeActions(now), IsEmpty());
}

// The run may have been started before the agent was restarted.
TEST_F(ExecutorTest, DefersStartsUntilTheWorkerListsAreRead) {
  subject.OnHeartbeat(facts, 1, now);
  EXPECT_EQ(OrderStart(true).worker_state, WorkerState::kUnknown);
  EXPECT_THAT(subject.TakeActions(now), IsEmpty());
  EXPECT_THAT(Reply().refusals, IsEmpty());
  Answer(subject.WatchCall(now), View({FirstRun()}));
  ASSERT_THAT(Reply().runs, SizeIs(1));
  EXPECT_EQ(Reply().runs[0].phase, RunPhase::kRunning);
}

TEST_F(ExecutorTest, RefusesStartsWhileTheWorkerDrains) {
  Connect();
  facts.draining = true;
  subject.OnHeartbeat(facts, ++sequence, now);
  const SyncReply reply = OrderStart();
  ASSERT_THAT(reply.refusals, SizeIs(1));
  EXPECT_EQ(reply.refusals[0].reason, RefusalReason::kDraining);
}

// Guards against rates that a scheduler measures from wrong times: of the reply
// in place of the read, or of the order in place of the start.
TEST_F(ExecutorTest, TellsWhenRunsWereStartedAndRead) {
  Connect();
  OrderStart();
  subject.TakeActions(now);
  Wait(Millis(70));
  const TimePoint started = now;
  subject.OnStartResult(FirstRun(), {OrderStatus::kDone, {}, ""}, now);
  Wait(Millis(900));
  const TimePoint read = now;
  Answer(subject.WatchCall(now), View({FirstRun()}));
  Wait(Millis(300));
  ASSERT_THAT(Reply().runs, SizeIs(1));
  EXPECT_EQ(Reply().runs[0].started_at, AsPeerTime(started));
  EXPECT_EQ(Reply().read_at, AsPeerTime(read));
}

// Guards against a speed that a scheduler's successor does not hear of, and
// against one that outlives the worker's life.
TEST_F(ExecutorTest, KeepsTheSpeedNotedForTheWorkersLife) {
  Connect();
  SyncRequest request;
  request.speed = {0.4, 20};
  EXPECT_EQ(Sync(request).speed, request.speed);
  EXPECT_EQ(Sync({}).speed, request.speed);
  ++facts.life.born;
  Beat();
  EXPECT_EQ(Reply().speed, protocol::SpeedNote{});
}

class CrashTest : public ExecutorTest {
 protected:
  static RunRef Run(const std::string& job, int index = 0) {
    return {{JobId(job), 0, 0, index}, 1};
  }

  void Start(const RunRef& run) {
    SyncRequest request;
    request.starts.push_back({run, "work", "", false});
    Sync(request);
    subject.TakeActions(now);
    subject.OnStartResult(run, {OrderStatus::kDone, {}, ""}, now);
  }

  void List(const std::vector<RunRef>& active) {
    Answer(subject.WatchCall(now), View(active));
  }

  /// @brief The worker starts again under its id.
  void Restart() {
    facts.life.born += 1'000;
    sequence = 0;
    Beat();
  }
};

// Guards against a crash that the scheduler cannot tell from a start that never
// reached the worker.
TEST_F(CrashTest, ReportsTheRunsOfACrashedWorker) {
  Connect();
  Start(Run("old"));
  for (int n = 0; n < 5; ++n) {
    Wait(Millis(900));
    List({Run("old")});
  }
  Start(Run("new"));
  Wait(Millis(3'400));
  Restart();
  EXPECT_THAT(Reply().crashes,
              testing::UnorderedElementsAre(
                  protocol::CrashReport{Run("old"), false, false},
                  protocol::CrashReport{Run("new"), true, false}));
}

TEST_F(CrashTest, TellsWhenOnlyOneJobWasOnTheWorker) {
  Connect();
  Start(Run("job", 0));
  Start(Run("job", 1));
  Wait(Millis(3'400));
  Restart();
  EXPECT_THAT(Reply().crashes,
              testing::UnorderedElementsAre(
                  protocol::CrashReport{Run("job", 0), true, true},
                  protocol::CrashReport{Run("job", 1), true, true}));
}

// Guards against a crash that is forgotten because the worker was away for
// longer than its lease.
TEST_F(CrashTest, ReportsRunsWhoseLeaseExpiredBeforeTheWorkerReturned) {
  Connect();
  Start(Run("job"));
  WorkerView no_answer;
  Step(Millis(3'000));
  Answer(subject.WatchCall(now), no_answer);
  Wait(Millis(6'000));
  subject.TakeActions(now);
  ASSERT_THAT(Reply().refusals, SizeIs(1));
  EXPECT_THAT(Reply().crashes, IsEmpty());
  Restart();
  EXPECT_THAT(Reply().crashes, SizeIs(1));
}

// Guards against healthy tasks that are blamed for workers that are taken away
// or cut off.
TEST_F(CrashTest, ReportsNoCrashOfAWorkerThatLeavesOrReturns) {
  Connect();
  Start(Run("job"));
  facts.draining = true;
  subject.OnHeartbeat(facts, ++sequence, now);
  facts.draining = false;
  Restart();
  EXPECT_THAT(Reply().crashes, IsEmpty());
  List({});
  SyncRequest request;
  request.starts.push_back({{Run("job").task, 2}, "work", "", false});
  Sync(request);
  subject.OnDeparture(facts.life.id, now);
  Restart();
  EXPECT_THAT(Reply().crashes, IsEmpty());
}

// Guards against a job that is given up because the workers that its orders
// were sent to had crashed before: none of them has confirmed the start.
TEST_F(CrashTest, ReportsNoCrashUnderAStartThatWasNeverConfirmed) {
  Connect();
  Start(Run("there"));
  SyncRequest request;
  request.starts.push_back({Run("sent"), "work", "", false});
  Sync(request);
  subject.TakeActions(now);
  subject.OnStartResult(Run("sent"), {OrderStatus::kNoAnswer, {}, ""}, now);
  Wait(Millis(500));
  Restart();
  // The unanswered start may have reached the former life.
  EXPECT_THAT(Reply().crashes, testing::ElementsAre(protocol::CrashReport{
                                   Run("there"), true, false}));
}

// As above, for a worker that was away for longer than its lease.
TEST_F(CrashTest, ReportsNoCrashUnderAnUnconfirmedStartAfterALapse) {
  Connect();
  SyncRequest request;
  request.starts.push_back({Run("sent"), "work", "", false});
  Sync(request);
  subject.TakeActions(now);
  subject.OnStartResult(Run("sent"), {OrderStatus::kNoAnswer, {}, ""}, now);
  Step(Millis(3'000));
  Answer(subject.WatchCall(now), WorkerView{});
  Wait(Millis(6'000));
  subject.TakeActions(now);
  Restart();
  EXPECT_THAT(Reply().crashes, IsEmpty());
}

TEST_F(CrashTest, ForgetsASettledCrash) {
  Connect();
  Start(Run("job"));
  Restart();
  ASSERT_THAT(Reply().crashes, SizeIs(1));
  SyncRequest request;
  request.settled = {Run("job")};
  EXPECT_THAT(Sync(request).crashes, IsEmpty());
}

// An unanswered start may take effect seconds later, so the run is refused only
// after its stop was answered.
TEST_F(ExecutorTest, StopsAnUnansweredStartBeforeRefusing) {
  Connect();
  OrderStart();
  for (int n = 0; n < 3; ++n) {
    ASSERT_THAT(subject.TakeActions(now), SizeIs(1));
    subject.OnStartResult(FirstRun(), {OrderStatus::kNoAnswer, {}, ""}, now);
    EXPECT_THAT(Reply().refusals, IsEmpty());
    Wait(Millis(200));
  }
  const auto actions = subject.TakeActions(now);
  ASSERT_THAT(actions, SizeIs(1));
  EXPECT_TRUE(std::holds_alternative<StopAction>(actions[0]));
  subject.OnStopResult(FirstRun(), {OrderStatus::kDone, {}, ""}, now);
  EXPECT_THAT(Reply().refusals, IsEmpty());
  Answer(*subject.QuickCall(now), View({}));
  ASSERT_THAT(Reply().refusals, SizeIs(1));
  EXPECT_EQ(Reply().refusals[0].reason, RefusalReason::kNoAnswer);
}

// The long poll is answered last although it was sent first.
TEST_F(ExecutorTest, AppliesAnEndFromTheLongPoll) {
  Connect();
  OrderStart();
  subject.TakeActions(now);
  subject.OnStartResult(FirstRun(), {OrderStatus::kDone, {}, ""}, now);
  const WorkerQuery watch = subject.WatchCall(now);
  Answer(subject.LastCall(), View({FirstRun()}));
  Wait(Millis(40));
  Answer(watch, View({}, {{1, FirstRun(), EndReason::kDone, ""}}));
  ASSERT_THAT(Reply().ends, SizeIs(1));
  EXPECT_EQ(Reply().ends[0].reason, EndReason::kDone);
}

// Guards against a run that is reported as lost, and run again, because its
// end is on a later page of the worker's list.
TEST_F(ExecutorTest, KeepsARunWhoseEndMayBeOnALaterPage) {
  Connect();
  OrderStart();
  subject.TakeActions(now);
  subject.OnStartResult(FirstRun(), {OrderStatus::kDone, {}, ""}, now);
  const RunRef other{{JobId("k"), 0, 0, 0}, 1};
  WorkerView page = View({}, {{1, other, EndReason::kDone, ""}});
  page.more_ends = true;
  Answer(subject.WatchCall(now), page);
  EXPECT_THAT(Reply().runs, SizeIs(1));
  EXPECT_TRUE(Reply().more_ends);
  Wait(Millis(10));
  Answer(subject.WatchCall(now),
         View({}, {{2, FirstRun(), EndReason::kDone, ""}}));
  EXPECT_THAT(Reply().runs, IsEmpty());
  EXPECT_THAT(Reply().ends, SizeIs(2));
  EXPECT_FALSE(Reply().more_ends);
}

// Guards against the same for a start that the worker refuses as old, and for a
// stop: that the run is not there does not tell how it has ended.
TEST_F(ExecutorTest, RefusesNoRunWhoseEndMayBeOnALaterPage) {
  Connect();
  OrderStart(true);
  subject.TakeActions(now);
  subject.OnStartResult(FirstRun(), {OrderStatus::kSuperseded, {}, ""}, now);
  WorkerView page = View({});
  page.more_ends = true;
  Answer(subject.WatchCall(now), page);
  EXPECT_THAT(Reply().refusals, IsEmpty());
  Wait(Millis(10));
  Answer(subject.WatchCall(now), View({}));
  EXPECT_THAT(Reply().refusals, SizeIs(1));
}

// Guards against a repeated start of a run that may have ended, while a first
// start is not delayed by the pages.
TEST_F(ExecutorTest, DefersRepeatedStartsUntilAllEndsAreListed) {
  Connect();
  WorkerView page = View({});
  page.more_ends = true;
  Answer(subject.WatchCall(now), page);
  EXPECT_THAT(OrderStart(true).runs, IsEmpty());
  EXPECT_THAT(OrderStart(false).runs, SizeIs(1));
}

TEST_F(ExecutorTest, IgnoresAnOutdatedView) {
  Connect();
  const WorkerQuery first = subject.WatchCall(now);
  const WorkerView old = View({FirstRun()});
  Wait(Millis(40));
  Answer(subject.LastCall(), View({}, {{1, FirstRun(), EndReason::kDone, ""}}));
  Answer(first, old);
  EXPECT_THAT(Reply().runs, IsEmpty());
  EXPECT_THAT(Reply().ends, SizeIs(1));
}

TEST_F(ExecutorTest, KeepsEndsOfAFormerLifeUntilSettled) {
  Connect();
  Answer(subject.LastCall(), View({}, {{1, FirstRun(), EndReason::kDone, ""}}));
  subject.OnDeparture("w", now);
  EXPECT_EQ(Reply().worker_state, WorkerState::kGone);
  ASSERT_THAT(Reply().former_ends, SizeIs(1));
  SyncRequest settle;
  settle.settled.push_back(FirstRun());
  EXPECT_THAT(Sync(settle).former_ends, IsEmpty());
}

TEST_F(ExecutorTest, DoesNotRenewTheLeaseOfASilentWorker) {
  Connect();
  OrderStart();
  subject.TakeActions(now);
  subject.OnStartResult(FirstRun(), {OrderStatus::kDone, {}, ""}, now);
  Answer(subject.WatchCall(now), View({FirstRun()}));
  Millis waited{0};
  while (Reply().refusals.empty() && waited < Millis(20'000)) {
    const WorkerQuery look = subject.WatchCall(now);
    Wait(Millis(500));
    waited += Millis(500);
    WorkerView lost;
    lost.status = OrderStatus::kNotReached;
    Answer(look, lost);
    // The scheduler keeps renewing the agent's lease.
    Sync({});
    subject.TakeActions(now);
    if (Reply().worker_state == WorkerState::kSilent) {
      EXPECT_FALSE(subject.WatchCall(now).context.lease_until);
    }
  }
  ASSERT_THAT(Reply().refusals, SizeIs(1));
  EXPECT_EQ(Reply().refusals[0].reason, RefusalReason::kLapsed);
  EXPECT_GE(waited, Millis(5'000));
}

// Guards against a healthy worker that counts as silent after its agent has
// stood still, so that its leases are not extended.
TEST_F(ExecutorTest, DoesNotCountItsOwnStandstillAsTheWorkersSilence) {
  Connect();
  OrderStart();
  subject.TakeActions(now);
  subject.OnStartResult(FirstRun(), {OrderStatus::kDone, {}, ""}, now);
  Answer(subject.WatchCall(now), View({FirstRun()}));
  Step(Millis(400));
  const auto lease = subject.WatchCall(now).context.lease_until;
  Wait(Millis(6'000));
  const WorkerView lost;
  Answer(subject.WatchCall(now), lost);
  EXPECT_EQ(Reply().worker_state, WorkerState::kPresent);
  EXPECT_EQ(subject.WatchCall(now).context.lease_until, lease);
  Step(Millis(2'000));
  Answer(subject.WatchCall(now), lost);
  EXPECT_EQ(Reply().worker_state, WorkerState::kPresent);
  Step(Millis(200));
  Answer(subject.WatchCall(now), lost);
  EXPECT_EQ(Reply().worker_state, WorkerState::kSilent);
}

// Guards against a lost worker whose agent hardly ever runs and extends its
// leases for ever.
TEST_F(ExecutorTest, ReportsASilentWorkerAlthoughItStandsStillAgainAndAgain) {
  Connect();
  Millis waited{0};
  while (Reply().worker_state == WorkerState::kPresent &&
         waited < Millis(60'000)) {
    const WorkerQuery look = subject.WatchCall(now);
    Wait(Millis(900));
    waited += Millis(900);
    Answer(look, {});
  }
  EXPECT_EQ(Reply().worker_state, WorkerState::kSilent);
  EXPECT_LE(waited, Millis(2'500 + 6'000 + 900));
}

// Guards against runs that are reported as lapsed, and start elsewhere, while
// the worker goes on under a lease that a former process of the agent granted.
TEST_F(ExecutorTest, WaitsForTheLeaseOfAFormerProcessBeforeAnAdoptedRunLapses) {
  Executor restarted({AgentName("agent"), Incarnation{2}, Millis(6'000)});
  restarted.OnHeartbeat(facts, 1, now);
  restarted.OnView(restarted.WatchCall(now).number, View({FirstRun()}), now);
  Millis waited{0};
  while (restarted.MakeReply(true, now).refusals.empty() &&
         waited < Millis(20'000)) {
    const WorkerQuery look = restarted.WatchCall(now);
    Wait(Millis(100));
    waited += Millis(100);
    WorkerView lost;
    lost.status = OrderStatus::kNoAnswer;
    restarted.OnView(look.number, lost, now);
    restarted.TakeActions(now);
  }
  const SyncReply reply = restarted.MakeReply(true, now);
  ASSERT_THAT(reply.refusals, SizeIs(1));
  EXPECT_EQ(reply.refusals[0].reason, RefusalReason::kLapsed);
  EXPECT_GE(waited, Millis(6'000));
  EXPECT_LE(waited, Millis(7'000));
}

// The scheduler considers a run ended when the lease of its order has expired,
// and a request delayed by a network partition may arrive after that.
TEST_F(ExecutorTest, IgnoresStartsWithAnExpiredLease) {
  Connect();
  SyncRequest late;
  late.epoch = 1;
  late.worker = facts.life;
  late.lease_from = {Incarnation{1}, AsPeerTime(now)};
  late.lease = Millis(5'000);
  late.starts.push_back({FirstRun(), "work", "", false});
  Wait(Millis(6'000));
  Sync({});
  EXPECT_TRUE(subject.OnSync(late, now));
  EXPECT_THAT(subject.TakeActions(now), IsEmpty());
  EXPECT_THAT(Reply().runs, IsEmpty());
}

// Guards against leases and starts that are counted from the clock of a former
// process of the agent, which has begun anew since.
TEST_F(ExecutorTest, IgnoresALeaseCountedFromAFormerIncarnationsClock) {
  for (const Millis ahead :
       {Millis(-60'000), Millis(-1'000), Millis(1'000), Millis(60'000)}) {
    Executor restarted({AgentName("agent"), Incarnation{2}});
    restarted.OnHeartbeat(facts, 1, now);
    restarted.OnView(restarted.WatchCall(now).number, View({}), now);
    SyncRequest request;
    request.epoch = 1;
    request.worker = facts.life;
    request.lease_from = {Incarnation{1}, AsPeerTime(now + ahead)};
    request.lease = Millis(5'000);
    request.starts.push_back({FirstRun(), "work", "", false});
    EXPECT_TRUE(restarted.OnSync(request, now));
    EXPECT_FALSE(restarted.WatchCall(now).context.lease_until);
    EXPECT_THAT(restarted.TakeActions(now), IsEmpty());
  }
}

// Guards against a run that starts after its task was placed elsewhere, by a
// copy of the order that another connection has delayed.
TEST_F(ExecutorTest, IgnoresALateOrderForASettledRefusal) {
  Connect();
  OrderStart();
  subject.TakeActions(now);
  subject.OnStartResult(FirstRun(), {OrderStatus::kNoRoom, {}, ""}, now);
  ASSERT_THAT(Reply().refusals, SizeIs(1));
  SyncRequest settles;
  settles.settled.push_back(FirstRun());
  EXPECT_THAT(Sync(settles).refusals, IsEmpty());
  Wait(Millis(1'000));
  OrderStart(true);
  EXPECT_THAT(subject.TakeActions(now), IsEmpty());
}

// Guards against a scheduler that waits for a run that will never be there: its
// predecessor had not recorded the refusal.
TEST_F(ExecutorTest, AnswersAnOrderForASettledRefusal) {
  Connect();
  OrderStart();
  subject.TakeActions(now);
  subject.OnStartResult(FirstRun(), {OrderStatus::kNoRoom, {}, ""}, now);
  SyncRequest settles;
  settles.settled.push_back(FirstRun());
  ASSERT_THAT(Sync(settles).refusals, IsEmpty());
  ASSERT_THAT(OrderStart(true).refusals, SizeIs(1));
  EXPECT_EQ(Reply().refusals[0].run, FirstRun());
  EXPECT_THAT(Sync(settles).refusals, IsEmpty());
}

// Guards against a scheduler that waits for the first answer of a new process
// whose version happens to equal the former one's.
TEST_F(ExecutorTest, DoesNotTakeAFormerIncarnationsVersionForItsOwn) {
  SyncRequest request;
  request.lease_from.incarnation = Incarnation{1};
  request.known_version = subject.Version();
  EXPECT_TRUE(subject.IsKnown(request));
  const Executor restarted({AgentName("agent"), Incarnation{2}});
  request.known_version = restarted.Version();
  EXPECT_FALSE(restarted.IsKnown(request));
}

TEST_F(ExecutorTest, RejectsALowerEpoch) {
  Connect();
  SyncRequest request;
  request.epoch = 7;
  EXPECT_TRUE(subject.OnSync(request, now));
  request.epoch = 6;
  request.starts.push_back({FirstRun(), "work", "", false});
  EXPECT_FALSE(subject.OnSync(request, now));
  EXPECT_THAT(subject.TakeActions(now), IsEmpty());
}

TEST_F(ExecutorTest, IgnoresAHeartbeatOfAFormerLife) {
  Connect();
  workload::WorkerFacts former = facts;
  former.life.born = 50;
  subject.OnHeartbeat(former, 99, now);
  EXPECT_EQ(Reply().worker.life.born, 100);
}

class LivesTest : public CrashTest {
 protected:
  /// @brief The clock of a new life of the worker begins anew.
  WorkerView ViewOfLife(std::int64_t born, Millis clock) {
    WorkerView view = View({});
    view.born = born;
    view.clock = WorkerTime(clock);
    return view;
  }
};

// Guards against leases by the clock of a worker's former life whose answer is
// late: the new life would outlast what agent and scheduler count.
TEST_F(LivesTest, IgnoresALateAnswerOfAFormerLife) {
  Connect();
  const WorkerQuery late = subject.WatchCall(now);
  Restart();
  Answer(late, ViewOfLife(100, Millis(500'000)));
  EXPECT_FALSE(subject.WatchCall(now).context.lease_until);
  Answer(subject.WatchCall(now), ViewOfLife(facts.life.born, Millis(30)));
  Start(FirstRun());
  ASSERT_THAT(Reply().runs, SizeIs(1));
  Answer(late, ViewOfLife(100, Millis(500'000)));
  EXPECT_THAT(Reply().runs, SizeIs(1));
  EXPECT_EQ(Reply().worker_state, WorkerState::kPresent);
  const auto lease = subject.WatchCall(now).context.lease_until;
  ASSERT_TRUE(lease);
  EXPECT_LE(*lease, WorkerTime(Millis(30) + Millis(5'000)));
}

// Guards against a former life that is taken for the newer one because nothing
// but calls that were sent before is known.
TEST_F(LivesTest, AsksAgainWhenAnswersToEarlierCallsNameAnotherLife) {
  Connect();
  const WorkerQuery first = subject.WatchCall(now);
  const WorkerQuery second = subject.WatchCall(now);
  Answer(second, ViewOfLife(200, Millis(20)));
  Answer(subject.WatchCall(now), ViewOfLife(200, Millis(30)));
  ASSERT_FALSE(subject.QuickCall(now));
  Answer(first, ViewOfLife(150, Millis(500'000)));
  EXPECT_TRUE(subject.QuickCall(now));
  const auto lease = subject.WatchCall(now).context.lease_until;
  ASSERT_TRUE(lease);
  EXPECT_LE(*lease, WorkerTime(Millis(30) + Millis(5'000)));
}

// The worker's wall clock may have stepped back between its lives.
TEST_F(LivesTest, FindsANewLifeThatIsDatedBeforeTheFormerOne) {
  Connect();
  Start(FirstRun());
  facts.life.born = 50;
  subject.OnHeartbeat(facts, 1, now);
  EXPECT_EQ(Reply().worker.life.born, 100);
  const auto look = subject.QuickCall(now);
  ASSERT_TRUE(look);
  Answer(*look, ViewOfLife(50, Millis(30)));
  EXPECT_THAT(Reply().crashes, SizeIs(1));
  subject.OnHeartbeat(facts, 2, now);
  EXPECT_EQ(Reply().worker.life.born, 50);
  Answer(subject.WatchCall(now), ViewOfLife(50, Millis(40)));
  EXPECT_EQ(Reply().worker_state, WorkerState::kPresent);
  // A delayed heartbeat of the former life.
  facts.life.born = 100;
  subject.OnHeartbeat(facts, 99, now);
  EXPECT_EQ(Reply().worker.life.born, 50);
}

// Guards against a done task that is started again: the new life numbers its
// ends anew and forgets those that the former life was told to forget.
TEST_F(LivesTest, NotesNoEndsOfTheFormerLifeOnANewOne) {
  Connect();
  Answer(subject.WatchCall(now),
         View({}, {{1, FirstRun(), EndReason::kDone, ""}}));
  // The new life answers before it sends a heartbeat.
  Answer(subject.WatchCall(now), ViewOfLife(200, Millis(30)));
  SyncRequest request;
  request.noted_ends = 1;
  Sync(request);
  EXPECT_EQ(subject.WatchCall(now).noted_ends, 0U);
}

// Guards against crashes that are reported, and stops that are dropped, because
// a life is ended again when the next one that has answered sends a heartbeat.
TEST_F(LivesTest, EndsALifeOnce) {
  Connect();
  Answer(subject.WatchCall(now), ViewOfLife(1'100, Millis(30)));
  SyncRequest request;
  request.stops = {FirstRun()};
  Sync(request);
  Restart();
  EXPECT_THAT(Reply().refusals, IsEmpty());
  EXPECT_THAT(Reply().crashes, IsEmpty());
  EXPECT_THAT(subject.TakeActions(now), SizeIs(1));
}

// Guards against a run that begins after it was refused: a former process of
// the agent may have sent the start, which may yet reach the new life.
TEST_F(LivesTest, StopsARepeatedStartForAFormerLifeBeforeRefusing) {
  Connect();
  SyncRequest request;
  request.epoch = 1;
  request.worker = {facts.life.id, 50};
  request.lease_from = {Incarnation{1}, AsPeerTime(now)};
  request.lease = Millis(5'000);
  request.starts.push_back({FirstRun(), "work", "", true});
  subject.OnSync(request, now);
  EXPECT_THAT(Reply().refusals, IsEmpty());
  const auto actions = subject.TakeActions(now);
  ASSERT_THAT(actions, SizeIs(1));
  EXPECT_TRUE(std::holds_alternative<StopAction>(actions[0]));
  subject.OnStopResult(FirstRun(), {OrderStatus::kDone, {}, ""}, now);
  Answer(*subject.QuickCall(now), View({}));
  ASSERT_THAT(Reply().refusals, SizeIs(1));
  EXPECT_EQ(Reply().refusals[0].reason, RefusalReason::kOtherLife);
}

// Guards against a run that has ended and begins again on the next life of its
// worker, by an earlier call that had no answer.
TEST_F(LivesTest, StopsAnEndedRunOnANewLifeThatAnEarlierStartMayReach) {
  Connect();
  OrderStart();
  subject.TakeActions(now);
  subject.OnStartResult(FirstRun(), {OrderStatus::kNoAnswer, {}, ""}, now);
  Wait(Millis(200));
  subject.TakeActions(now);
  subject.OnStartResult(FirstRun(), {OrderStatus::kDone, {}, ""}, now);
  Answer(subject.WatchCall(now),
         View({}, {{1, FirstRun(), EndReason::kDone, ""}}));
  for (int lives = 0; lives < 2; ++lives) {
    Restart();
    const auto actions = subject.TakeActions(now);
    ASSERT_THAT(actions, SizeIs(1));
    EXPECT_TRUE(std::holds_alternative<StopAction>(actions[0]));
    EXPECT_THAT(Reply().crashes, IsEmpty());
    subject.OnStopResult(FirstRun(), {OrderStatus::kDone, {}, ""}, now);
    Answer(*subject.QuickCall(now), View({}));
    EXPECT_THAT(Reply().runs, IsEmpty());
  }
  Wait(Millis(20'000));
  Restart();
  EXPECT_THAT(subject.TakeActions(now), IsEmpty());
}

// Guards against the same where the worker has left as planned and starts again
// under its id, whether its heartbeat or its lists tell so first.
TEST_F(LivesTest, StopsAnUnansweredStartOnALifeAfterAPlannedDeparture) {
  for (const bool lists_first : {false, true}) {
    subject = Executor({AgentName("agent"), Incarnation{1}, Millis(6'000)});
    Connect();
    OrderStart();
    subject.TakeActions(now);
    subject.OnStartResult(FirstRun(), {OrderStatus::kNoAnswer, {}, ""}, now);
    Wait(Millis(200));
    subject.TakeActions(now);
    subject.OnStartResult(FirstRun(), {OrderStatus::kDone, {}, ""}, now);
    Answer(subject.WatchCall(now),
           View({}, {{1, FirstRun(), EndReason::kStopped, ""}}));
    subject.OnDeparture(facts.life.id, now);
    EXPECT_THAT(subject.TakeActions(now), IsEmpty());
    Wait(Millis(4'000));
    ++facts.life.born;
    if (lists_first) {
      Answer(subject.WatchCall(now), ViewOfLife(facts.life.born, Millis(10)));
    }
    sequence = 0;
    Beat();
    const auto actions = subject.TakeActions(now);
    ASSERT_THAT(actions, SizeIs(1)) << "lists first: " << lists_first;
    EXPECT_TRUE(std::holds_alternative<StopAction>(actions[0]));
  }
}

/// A worker that answers for itself, and heartbeats of another writer.
class OtherWriterTest : public LivesTest {
 protected:
  struct Foreign {
    const char* what;
    workload::WorkerFacts facts;
    std::uint64_t sequence = 1;
  };

  static constexpr std::int64_t kHour = 3'600'000;

  std::vector<Foreign> ForeignHeartbeats() const {
    std::vector<Foreign> all;
    const auto add = [&](const char* what) -> Foreign& {
      all.push_back({what, facts, 1});
      all.back().facts.capacity = {1, 1, 0};
      return all.back();
    };
    Foreign* it = &add("other id, unknown service");
    it->facts.life = {"foreign", facts.life.born + 10};
    it->facts.service = "unknown";
    it = &add("other id, born an hour ahead");
    it->facts.life = {"foreign", facts.life.born + kHour};
    it = &add("other id, born as the worker");
    it->facts.life.id = "foreign";
    it = &add("id of the worker, born an hour ahead");
    it->facts.life.born += kHour;
    it = &add("id of the worker, born before");
    it->facts.life.born -= 1;
    it = &add("life of the worker, unknown service, high sequence number");
    it->facts.service = "unknown";
    it->sequence = 900'000;
    return all;
  }

  void Send(const Foreign& it) {
    subject.OnHeartbeat(it.facts, it.sequence, now);
  }

  /// @brief The worker's answer to a look.
  void AnswerAsWorker(const WorkerQuery& look) {
    if (look.context.worker.empty() || look.context.worker == facts.life.id) {
      Answer(look, View(at_work));
    } else {
      WorkerView denied;
      denied.status = OrderStatus::kOtherWorker;
      Answer(look, denied);
    }
  }

  /// @brief Scheduler, agent and worker go on.
  void GoOn(Millis time) {
    for (Millis passed{0}; passed < time; passed += kStep) {
      if (passed % kHeartbeat == Millis(0)) {
        subject.OnHeartbeat(facts, ++sequence, now);
      }
      Wait(kStep);
      Sync({});
      subject.TakeActions(now);
      if (const auto quick = subject.QuickCall(now)) {
        AnswerAsWorker(*quick);
      }
      AnswerAsWorker(subject.WatchCall(now));
    }
  }

  static constexpr Millis kStep{100};
  static constexpr Millis kHeartbeat{1'500};
  std::vector<RunRef> at_work;
};

// Guards against a worker that is never used again after one heartbeat of
// another writer, and against its runs, which lapse.
TEST_F(OtherWriterTest, KeepsItsWorkerAndItsRuns) {
  for (const Foreign& it : ForeignHeartbeats()) {
    SCOPED_TRACE(it.what);
    subject = Executor({AgentName("agent"), Incarnation{1}, Millis(6'000)});
    sequence = 0;
    at_work.clear();
    Connect();
    Start(FirstRun());
    at_work = {FirstRun()};
    GoOn(Millis(3'000));
    Send(it);
    GoOn(Millis(15'000));
    EXPECT_EQ(Reply().worker, facts);
    EXPECT_EQ(Reply().worker_state, WorkerState::kPresent);
    EXPECT_THAT(Reply().runs, SizeIs(1));
    EXPECT_THAT(Reply().refusals, IsEmpty());
    EXPECT_THAT(Reply().crashes, IsEmpty());
    ASSERT_TRUE(subject.WatchCall(now).context.lease_until);
    // Its own heartbeats are still heard.
    facts.draining = true;
    subject.OnHeartbeat(facts, ++sequence, now);
    EXPECT_TRUE(Reply().worker.draining);
    facts.draining = false;
  }
}

// Guards against an agent that knows its worker by the first heartbeat that
// comes, and holds on to it.
TEST_F(OtherWriterTest, FindsItsWorkerAfterAForeignHeartbeat) {
  for (const Foreign& it : ForeignHeartbeats()) {
    SCOPED_TRACE(it.what);
    subject = Executor({AgentName("agent"), Incarnation{1}, Millis(6'000)});
    sequence = 0;
    Send(it);
    GoOn(Millis(10'000));
    EXPECT_EQ(Reply().worker, facts);
    EXPECT_EQ(Reply().worker_state, WorkerState::kPresent);
  }
}

// Guards against the same for the next life of the worker: what another writer
// said of it before must not keep it out.
TEST_F(OtherWriterTest, FindsTheNextLifeOfItsWorker) {
  for (const bool keeps_id : {true, false}) {
    for (const Foreign& it : ForeignHeartbeats()) {
      SCOPED_TRACE(it.what);
      subject = Executor({AgentName("agent"), Incarnation{1}, Millis(6'000)});
      facts.life = {"w", 100};
      sequence = 0;
      at_work.clear();
      Connect();
      Start(FirstRun());
      at_work = {FirstRun()};
      GoOn(Millis(3'000));
      Send(it);
      GoOn(Millis(3'000));
      at_work.clear();
      facts.life = {keeps_id ? "w" : "w-2", 5'000};
      sequence = 0;
      GoOn(Millis(3'000));
      EXPECT_EQ(Reply().worker, facts);
      EXPECT_EQ(Reply().worker_state, WorkerState::kPresent);
      EXPECT_THAT(Reply().crashes, SizeIs(1));
    }
  }
}

// Guards against a late heartbeat that takes back what a later one has said.
TEST_F(OtherWriterTest, IgnoresLateHeartbeatsOfItsWorker) {
  Connect();
  facts.draining = true;
  sequence += 10;
  subject.OnHeartbeat(facts, sequence, now);
  facts.draining = false;
  Wait(Millis(3'000));
  for (std::uint64_t late = 3; late < 9; ++late) {
    subject.OnHeartbeat(facts, late, now);
  }
  EXPECT_TRUE(Reply().worker.draining);
}

// The worker's clock may run 2 % slow, and the lease must not end late.
TEST_F(ExecutorTest, ShortensTheLeaseForASlowWorkerClock) {
  Connect();
  const auto lease = subject.WatchCall(now).context.lease_until;
  ASSERT_TRUE(lease);
  EXPECT_LE(*lease - WorkerTime(now.time_since_epoch()),
            Millis(5'000) * 98 / 100);
}

}  // namespace
}  // namespace shallotlug::executor
