#include "shallotlug/scheduler/role.h"

#include <set>
#include <string>

#include <gtest/gtest.h>

#include "fleet_reach.h"
#include "shallotlug/joblog/authority.h"

namespace shallotlug::scheduler {
namespace {

constexpr std::uint64_t kNonce = std::uint64_t{7} << 20;

class RoleTest : public testing::Test {
 protected:
  RoleTest() {
    policy.version = 1;
    follower.OnNewest(Page(), now.local);
    Read({});
    now.local += joblog::kFirstClaimDelay;
    Read({});
  }

  static joblog::NewestResult Page() {
    joblog::NewestResult page;
    page.status = joblog::ReadStatus::kDone;
    return page;
  }

  // The log is read to its end, with these new records.
  void Read(const std::vector<workload::RawRecord>& records) {
    joblog::ReadResult result;
    result.status = joblog::ReadStatus::kDone;
    for (const workload::RawRecord& it : records) {
      result.records.push_back({end++, it});
    }
    result.next_offset = end;
    result.end_offset = end;
    follower.OnRead(result, now.local);
    role.OnPage(follower, now);
  }

  joblog::AppendResult Moved() const {
    joblog::AppendResult result;
    result.status = joblog::AppendStatus::kMoved;
    result.end_offset = end;
    return result;
  }

  static joblog::AppendResult Appended(std::uint64_t offset) {
    joblog::AppendResult result;
    result.status = joblog::AppendStatus::kDone;
    result.first_offset = offset;
    result.end_offset = offset + 1;
    return result;
  }

  // Others append before each of this entry's claims arrives.
  std::optional<RoleAppend> LoseConditionalClaims() {
    std::optional<RoleAppend> claim = role.NextAppend(kNonce, now);
    for (int n = 0; n < 9 && claim && claim->options.at; ++n) {
      Read({unrelated});
      role.OnAppended(Moved(), now);
      claim = role.NextAppend(kNonce, now);
    }
    return claim;
  }

  const workload::RawRecord unrelated = workload::Encode(
      workload::AgentAddress{AgentName("a"), "127.0.0.1:1", Incarnation{1}});
  Now now{TimePoint(Millis(100'000)), workload::WallTime(Millis(100'000))};
  workload::Ledger ledger;
  workload::Policy policy;
  SchedulerOptions options{EntryName("self")};
  Role role{options, ledger, policy};
  std::uint64_t end = 0;
  joblog::Follower follower{[this](const joblog::StoredRecord& it) {
    Apply(ledger, it.record.key, it.record.value, it.offset);
    role.OnRecord(it, now);
  }};
};

// Guards against a delay without a scheduler until the next read of the log,
// after an agent has published its address while the claim was in flight.
TEST_F(RoleTest, ClaimsAgainAtOnceAfterAnUnrelatedRecord) {
  ASSERT_EQ(role.NextAppend(kNonce, now)->options.at, 0U);
  Read({workload::Encode(
      workload::AgentAddress{AgentName("a"), "127.0.0.1:1", Incarnation{1}})});
  role.OnAppended(Moved(), now);
  const auto again = role.NextAppend(kNonce, now);
  ASSERT_TRUE(again);
  EXPECT_EQ(again->options.at, 1U);
}

// Guards against leases that are extended long after the store has last heard
// of the scheduler, because it stood still before it read an answer.
TEST_F(RoleTest, CountsItsAuthorityFromWhenTheAppendWasSent) {
  Read({unrelated});
  ASSERT_TRUE(role.NextAppend(kNonce, now));
  role.OnAppended(Appended(end), now);
  Read({workload::Encode(ledger.claim)});
  protocol::SyncReply reply;
  reply.agent = AgentName("a");
  reply.incarnation = Incarnation{1};
  reply.accepted = true;
  now.local += Millis(1'000);
  ASSERT_TRUE(role.NextAppend(kNonce, now));
  now.local += Millis(13'000);
  role.OnAppended(Appended(end), now);
  role.Active()->OnReply(AgentName("a"), Incarnation{}, reply, now);
  EXPECT_EQ(role.Active()->MakeSync(AgentName("a"), Millis{0}, now).lease,
            Millis{0});
}

// Guards against two entries that alternately take the role from each other.
TEST_F(RoleTest, YieldsTheRoleToAnotherClaim) {
  ASSERT_TRUE(role.NextAppend(kNonce, now));
  now.local += Millis(20);
  Read({workload::Encode(
      workload::SchedulerClaim{1, EntryName("other"), 3, false, false})});
  role.OnAppended(Moved(), now);
  EXPECT_FALSE(role.NextAppend(kNonce, now));
}

// Guards against entries that cannot elect a scheduler while a slow store is
// written to: in each round other records came before the claim. The election
// took 3.5 s on a store with answers of 240 ms.
TEST_F(RoleTest, ClaimsWithoutAConditionWhileOthersAppend) {
  const auto claim = LoseConditionalClaims();
  ASSERT_TRUE(claim);
  EXPECT_FALSE(claim->options.at);
  // Two records came before it that were not read when it was sent.
  role.OnAppended(Appended(end + 2), now);
  EXPECT_EQ(role.Epoch(), 0U);
  Read({unrelated});
  EXPECT_EQ(role.Epoch(), 0U);
  EXPECT_FALSE(role.NextAppend(kNonce + 1, now));
  Read({unrelated, claim->records.front()});
  EXPECT_EQ(role.Epoch(), 1U);
}

// Guards against two schedulers: a higher claim was appended before the records
// up to the own one were read.
TEST_F(RoleTest, YieldsToAHigherClaimAfterItsOwn) {
  const auto claim = LoseConditionalClaims();
  ASSERT_TRUE(claim);
  role.OnAppended(Appended(end + 1), now);
  Read({unrelated, claim->records.front(),
        workload::Encode(
            workload::SchedulerClaim{2, EntryName("other"), 3, false, false})});
  EXPECT_EQ(role.Epoch(), 0U);
}

// Guards against a claim in the moment in which the store is back: the living
// scheduler had no time to record the ends that it knows, and those of a worker
// that has left meanwhile were lost with its role.
TEST_F(RoleTest, LetsTheSchedulerReturnAfterAnOutage) {
  Read({workload::Encode(
      workload::SchedulerClaim{1, EntryName("other"), 3, false, false})});
  now.local += Millis(4'200);
  Read({});
  EXPECT_FALSE(role.NextAppend(kNonce, now));
  constexpr Millis kReadEvery{300};
  for (Millis passed{0}; passed < joblog::kAuthorityTimeout;
       passed += kReadEvery) {
    EXPECT_FALSE(role.NextAppend(kNonce, now));
    now.local += kReadEvery;
    Read({});
  }
  EXPECT_TRUE(role.NextAppend(kNonce, now));
}

// Guards against an odd record of another writer among the workers' or the
// jobs' that ends the scheduler, and each of its successors.
TEST_F(RoleTest, KeepsTheRoleAfterOddRecords) {
  const auto claim = role.NextAppend(kNonce, now);
  role.OnAppended(Appended(claim->options.at.value()), now);
  ++end;
  const std::string job =
      R"({"queue":"q","customer":"c","pool":"p","slack":1,"payload":"","steps":)";
  Read({{"j/00000000000000a1", job + R"([{"count":-1}]})"},
        {"j/00000000000000a2", job + R"([{"count":1000000000000}]})"},
        {"j/00000000000000a3", job + R"([{"count":1,"after":[7]}]})"},
        {"j/00000000000000a4", job + R"([{"count":1}],"repeats":2000000000})"},
        {"n/a", R"({"address":"10.0.0.1:99999"})"},
        {"e/a", R"({"address":"10.0.0.1:70","cpu":9000000000000000000})"},
        {"a", R"({"epoch":9223372036854775807,"entry":"x"})"}});
  now.local += Millis(100);
  role.NextAppend(kNonce, now);
  EXPECT_EQ(role.Epoch(), 1U);
  EXPECT_TRUE(role.Active()->Agents().empty());
  EXPECT_TRUE(ledger.jobs.empty());
}

class AgentReachTest : public RoleTest {
 protected:
  AgentReachTest() {
    for (int n = 0; n < kAgents; ++n) {
      present.insert("a" + std::to_string(n));
    }
  }

  // Registers the agents that are there, and has this entry claim the role.
  void BeginTerm() {
    for (const std::string& it : present) {
      Register(it);
    }
    for (Millis passed{0}; passed < Millis(5'000) && role.Epoch() == 0;
         passed += Millis(100)) {
      now.local += Millis(100);
      Read({});
      if (const auto claim = role.NextAppend(kNonce, now)) {
        role.OnAppended(Appended(claim->options.at.value()), now);
        ++end;
      }
    }
  }

  void Register(const std::string& name) {
    Read({workload::Encode(workload::AgentAddress{
        AgentName(name), "127.0.0.1:1", Incarnation{1}})});
  }

  // Others' claims that say how many agents their schedulers heard.
  void Claim(std::uint64_t epoch, bool agents_lost, int heard) {
    Read({workload::Encode(workload::SchedulerClaim{epoch, EntryName("other"),
                                                    3, agents_lost, false,
                                                    agents_lost, heard})});
  }

  // The agents that are there and reached answer; whether the role is kept.
  bool Pass(Millis time) {
    for (Millis passed{0}; passed < time && role.Epoch() != 0;
         passed += Millis(100)) {
      now.local += Millis(100);
      now.wall += Millis(100);
      for (const std::string& it : present) {
        protocol::SyncReply reply;
        reply.agent = AgentName(it);
        reply.incarnation = Incarnation{1};
        reply.accepted = true;
        reply.version = ++version;
        role.Active()->OnReply(reply.agent, Incarnation{1}, reply, now);
      }
      Read({});
      if (const auto append = role.NextAppend(kNonce, now)) {
        const std::vector<workload::RawRecord> records = append->records;
        role.OnAppended(Appended(end), now);
        // The entry reads its own records back as well.
        Read(records);
      }
    }
    return role.Epoch() != 0;
  }

  static constexpr int kAgents = 11;
  std::set<std::string> present;
  std::uint64_t version = 1;
};

// Guards against schedulers that all resign after 4.5 s, because most machines
// of the last ten minutes were replaced one by one (review/2).
TEST_F(AgentReachTest, KeepsTheRoleWhileMachinesAreReplaced) {
  BeginTerm();
  ASSERT_TRUE(Pass(Millis(5'000)));
  for (int n = 0; n < 2 * kAgents; ++n) {
    present.erase(present.begin());
    present.insert("b" + std::to_string(n));
    Register("b" + std::to_string(n));
    ASSERT_TRUE(Pass(Millis(2'200))) << n;
  }
}

// The same for a successor, which knows how many agents its predecessor heard.
TEST_F(AgentReachTest, SucceedsAfterMachinesWereReplaced) {
  for (int n = 0; n < 3 * kAgents; ++n) {
    Register("gone" + std::to_string(n));
  }
  Claim(1, false, kAgents);
  BeginTerm();
  ASSERT_EQ(role.Epoch(), 2U);
  EXPECT_TRUE(Pass(Millis(10'000)));
}

// Guards against a scheduler that is cut off from most agents and keeps the
// role.
TEST_F(AgentReachTest, ResignsWhenItHearsFewOfTheAgentsHeardOfLate) {
  BeginTerm();
  ASSERT_TRUE(Pass(Millis(5'000)));
  present = {"a0", "a1"};
  EXPECT_FALSE(Pass(Millis(8'000)));
}

// Guards against a cut-off scheduler that takes the few agents that it hears
// for the fleet, because no claim of late tells of more.
TEST_F(AgentReachTest, ResignsWhenItHearsFewOfTheRegisteredAgents) {
  BeginTerm();
  present = {"a0", "a1"};
  EXPECT_FALSE(Pass(Millis(60'000)));
}

// Most of the agents were lost, and these entries have resigned for it.
class AgentsGoneTest : public AgentReachTest {
 protected:
  void LoseAgents(const std::vector<std::string>& resigned) {
    for (const char* it : {"self", "e1", "e2", "e3", "e4"}) {
      ledger.entries[EntryName(it)] = {EntryName(it), "127.0.0.1:1", {}, 100};
    }
    std::uint64_t epoch = 1;
    Claim(epoch++, false, kAgents);
    for (const std::string& it : resigned) {
      Read({workload::Encode(workload::SchedulerClaim{epoch++, EntryName(it), 3,
                                                      true, false, true, 3})});
    }
    for (const std::string& it : present) {
      Register(it);
    }
    present = {"a0", "a1", "a2"};
    BeginTerm();
  }
};

// Guards against a role that goes round for ever after most machines were lost
// at once.
TEST_F(AgentsGoneTest, StaysAfterThreeOthersHeardNoMore) {
  LoseAgents({"e1", "e2", "e3"});
  EXPECT_TRUE(Pass(Millis(100'000)));
}

// Guards against a cut-off scheduler that keeps the role before entries
// elsewhere had their turn.
TEST_F(AgentsGoneTest, ResignsAfterOneOtherHeardNoMore) {
  LoseAgents({"e1", "e1", "e1"});
  EXPECT_FALSE(Pass(Millis(10'000)));
}

// Guards against a chain of resignations while agents go on failing.
TEST_F(AgentsGoneTest, StaysWithSlightlyFewerAgentsThanTheOthers) {
  FleetReach reach;
  for (const char* it : {"e1", "e2", "e3"}) {
    NoteClaim(reach, {1, EntryName(it), 3, true, false, true, 100}, now.local);
  }
  EXPECT_EQ(JudgeReach(reach, {95, 300, 4}, now.local),
            ReachVerdict::kNoneHearMore);
  EXPECT_EQ(JudgeReach(reach, {50, 300, 4}, now.local), ReachVerdict::kTooFew);
}

class LogLagTest : public RoleTest {
 protected:
  LogLagTest() {
    Register("self", 120);
    const auto claim = role.NextAppend(kNonce, now);
    role.OnAppended(Appended(claim->options.at.value()), now);
    ++end;
  }

  void Register(const std::string& name, std::int64_t cpu_millis) {
    ledger.entries[EntryName(name)] = {
        EntryName(name), "127.0.0.1:1", {}, cpu_millis};
  }

  /// @brief Another scheduler resigns, and this entry claims the role.
  void ClaimAfterAResignation(bool behind) {
    Read({workload::Encode(
        workload::SchedulerClaim{2, EntryName("other"), 3, true, behind})});
    for (Millis passed{0}; passed < Millis(5'000); passed += Millis(300)) {
      now.local += Millis(300);
      Read({});
    }
    const auto claim = role.NextAppend(kNonce + 100'000, now);
    ASSERT_TRUE(claim);
    role.OnAppended(Appended(claim->options.at.value()), now);
    ++end;
  }

  /// @brief Appends succeed for this time, but no read is answered.
  /// @return Whether the entry has resigned.
  bool FallBehind(Millis time) {
    bool resigned = false;
    for (Millis passed{0}; passed < time; passed += Millis(100)) {
      now.local += Millis(100);
      now.wall += Millis(100);
      const auto append = role.NextAppend(kNonce, now);
      if (append) {
        const auto record = workload::Decode(append->records.front().key,
                                             append->records.front().value);
        const auto* claim = std::get_if<workload::SchedulerClaim>(&*record);
        resigned = resigned || (claim != nullptr && claim->resigned);
        role.OnAppended(Appended(end++), now);
      }
    }
    return resigned;
  }
};

// Guards against urgent jobs that wait for seconds, because the scheduler's
// machine is too weak to read of them in time while stronger ones are there.
TEST_F(LogLagTest, HandsOverToAStrongerEntry) {
  Register("strong", 500);
  EXPECT_TRUE(FallBehind(Millis(1'300)));
  EXPECT_EQ(role.Epoch(), 0U);
}

TEST_F(LogLagTest, KeepsTheRoleWithoutAStrongerEntry) {
  Register("peer", 130);
  EXPECT_FALSE(FallBehind(Millis(2'000)));
  EXPECT_EQ(role.Epoch(), 1U);
}

// Guards against a scheduler that can append but no longer read, and places
// nothing until it is restarted.
TEST_F(LogLagTest, HandsOverToAnEqualEntryInTheEnd) {
  Register("peer", 130);
  EXPECT_TRUE(FallBehind(Millis(3'500)));
}

TEST_F(LogLagTest, KeepsTheRoleAlone) {
  EXPECT_FALSE(FallBehind(Millis(5'000)));
}

// Guards against a change of the scheduler after each outage of the store, when
// an append is answered before the first read.
TEST_F(LogLagTest, DoesNotCountAnOutageOfTheStore) {
  Register("strong", 500);
  for (Millis passed{0}; passed < Millis(5'000); passed += Millis(100)) {
    now.local += Millis(100);
    if (role.NextAppend(kNonce, now)) {
      joblog::AppendResult refused;
      refused.status = joblog::AppendStatus::kNotDone;
      role.OnAppended(refused, now);
    }
  }
  EXPECT_FALSE(FallBehind(Millis(800)));
  EXPECT_EQ(role.Epoch(), 1U);
}

// Guards against starts of a job whose cancel was stored during an outage: the
// first append after it is answered before the first read.
TEST_F(LogLagTest, PlacesNothingAfterAnOutageUntilTheLogIsRead) {
  Read({});
  for (Millis passed{0}; passed < Millis(5'000); passed += Millis(100)) {
    now.local += Millis(100);
    if (role.NextAppend(kNonce, now)) {
      joblog::AppendResult refused;
      refused.status = joblog::AppendStatus::kNotDone;
      role.OnAppended(refused, now);
    }
  }
  const auto logged = [&](const std::string& event) {
    const std::vector<LogLine> lines = role.TakeLog();
    return std::any_of(lines.begin(), lines.end(),
                       [&](const LogLine& it) { return it.event == event; });
  };
  role.TakeLog();
  FallBehind(Millis(200));
  EXPECT_TRUE(logged("placement_held"));
  Read({});
  FallBehind(Millis(100));
  EXPECT_TRUE(logged("placement_resumed"));
}

// Guards against a log that keeps the cancels of jobs that never come.
TEST_F(LogLagTest, DropsCancelsOfUnknownJobsAfterTheirRetention) {
  Read({workload::Encode(workload::JobCancelled{JobId("gone"), now.wall})});
  Read({workload::Encode(workload::JobCancelled{JobId("j1"), now.wall})});
  workload::Job job;
  job.id = JobId("j1");
  job.steps.emplace_back();
  Read({workload::Encode(workload::JobAccepted{job})});
  std::optional<Millis> dropped_after;
  const TimePoint began = now.local;
  while (now.local - began < Millis(200'000)) {
    now.local += Millis(500);
    now.wall += Millis(500);
    Read({});
    const auto append = role.NextAppend(kNonce, now);
    if (!append) {
      continue;
    }
    for (const workload::RawRecord& it : append->records) {
      if (it.key == "c/gone" && it.value.empty()) {
        dropped_after = now.local - began;
      }
    }
    role.OnAppended(Appended(end), now);
    end += append->records.size();
  }
  ASSERT_TRUE(dropped_after);
  EXPECT_GE(*dropped_after, workload::kEarlyCancelRetention);
  EXPECT_TRUE(ledger.early_cancels.empty());
}

// Guards against a role that goes back and forth between weak entries while the
// strong ones are lost.
TEST_F(LogLagTest, KeepsTheRoleAfterAnotherHasHandedItOver) {
  Register("strong", 500);
  ASSERT_TRUE(FallBehind(Millis(1'300)));
  ClaimAfterAResignation(true);
  ASSERT_EQ(role.Epoch(), 3U);
  EXPECT_FALSE(FallBehind(Millis(5'000)));
}

// Guards against a weak scheduler that keeps the role because a strong one has
// resigned at its shutdown.
TEST_F(LogLagTest, HandsOverAfterTheShutdownOfAnother) {
  Register("strong", 500);
  Read({workload::Encode(
      workload::SchedulerClaim{2, EntryName("other"), 3, false, false})});
  ClaimAfterAResignation(false);
  ASSERT_EQ(role.Epoch(), 3U);
  EXPECT_TRUE(FallBehind(Millis(1'300)));
}

// Guards against a claim without a condition that deposes a scheduler whose
// records were only late.
TEST_F(RoleTest, ClaimsWithAConditionAfterARecordOfTheScheduler) {
  ASSERT_TRUE(LoseConditionalClaims());
  joblog::AppendResult refused;
  refused.status = joblog::AppendStatus::kNotDone;
  role.OnAppended(refused, now);
  now.local += Millis(20);
  Read({workload::Encode(
      workload::SchedulerClaim{1, EntryName("other"), 3, false, false})});
  now.local += joblog::kAuthorityTimeout;
  Read({});
  const auto claim = role.NextAppend(kNonce, now);
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->options.at, end);
}

}  // namespace
}  // namespace shallotlug::scheduler
