#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "shallotlug/joblog/authority.h"
#include "shallotlug/joblog/follower.h"
#include "shallotlug/joblog/registration.h"

namespace shallotlug::joblog {
namespace {

using testing::ElementsAre;

constexpr TimePoint kNow{Millis(100'000)};

class FollowerTest : public testing::Test {
 protected:
  FollowerTest()
      : follower([this](const StoredRecord& it) {
          keys.push_back(it.record.key);
        }) {}

  static StoredRecord Record(std::uint64_t offset, const std::string& key) {
    return {offset, {key, "{}"}};
  }

  static NewestResult DonePage() {
    NewestResult page;
    page.status = ReadStatus::kDone;
    return page;
  }

  std::vector<std::string> keys;
  Follower follower;
};

// Pages are not a snapshot: records appended between them must be read too.
TEST_F(FollowerTest, ReadsFromTheEndOffsetOfTheFirstPage) {
  NewestResult page;
  page.status = ReadStatus::kDone;
  page.end_offset = 7;
  page.has_more = true;
  page.records = {Record(3, "a")};
  follower.OnNewest(page, kNow);
  EXPECT_EQ(follower.Next().kind, FollowCall::Kind::kNewest);
  EXPECT_EQ(follower.Next().after_key, "a");
  page.end_offset = 9;
  page.has_more = false;
  page.records = {Record(8, "b")};
  follower.OnNewest(page, kNow);
  EXPECT_EQ(follower.Next().kind, FollowCall::Kind::kRead);
  EXPECT_EQ(follower.Next().from, 7U);
  EXPECT_FALSE(follower.Loaded());
  ReadResult tail;
  tail.status = ReadStatus::kDone;
  tail.records = {Record(7, "c"), Record(8, "b")};
  tail.next_offset = 9;
  tail.end_offset = 9;
  follower.OnRead(tail, kNow);
  EXPECT_TRUE(follower.Loaded());
  EXPECT_EQ(follower.CurrentAt(), kNow);
  EXPECT_THAT(keys, ElementsAre("a", "b", "c", "b"));
}

TEST_F(FollowerTest, RestartsWhenTheLogWasTrimmed) {
  NewestResult page;
  page.status = ReadStatus::kDone;
  follower.OnNewest(page, kNow);
  ReadResult gone;
  gone.status = ReadStatus::kTrimmed;
  follower.OnRead(gone, kNow);
  EXPECT_EQ(follower.Next().kind, FollowCall::Kind::kNewest);
  EXPECT_EQ(follower.Next().after_key, "");
  EXPECT_EQ(follower.Restarts(), 1U);
}

TEST_F(FollowerTest, RetriesAFailedCall) {
  follower.OnNewest(NewestResult{}, kNow);
  EXPECT_EQ(follower.Next().kind, FollowCall::Kind::kNewest);
}

// Guards against a reader on a slow machine or link whose page times out and is
// asked for again, larger each time, while the log grows.
TEST_F(FollowerTest, CatchesUpWhereTheWholeBacklogTimesOut) {
  constexpr std::uint64_t kRecordKilobytes = 4;
  constexpr std::uint64_t kKilobytesWithinTimeout = 150;
  constexpr std::uint64_t kAppendedPerRead = 10;
  follower.OnNewest(DonePage(), kNow);
  std::uint64_t end = 500;
  for (int n = 0; n < 60 && !follower.Loaded(); ++n) {
    const FollowCall call = follower.Next();
    const std::uint64_t count = std::min(
        end - call.from,
        static_cast<std::uint64_t>(call.max_kilobytes) / kRecordKilobytes);
    ReadResult page;
    page.next_offset = call.from;
    if (count * kRecordKilobytes <= kKilobytesWithinTimeout) {
      page.status = ReadStatus::kDone;
      page.next_offset += count;
      page.end_offset = end;
    }
    follower.OnRead(page, kNow);
    end += kAppendedPerRead;
  }
  EXPECT_TRUE(follower.Loaded());
}

// Guards against pages that stay small after an outage of the store.
TEST_F(FollowerTest, RaisesThePageLimitWhilePagesAreFull) {
  follower.OnNewest(DonePage(), kNow);
  for (int n = 0; n < 10; ++n) {
    follower.OnRead(ReadResult{}, kNow);
  }
  const int smallest = follower.Next().max_kilobytes;
  EXPECT_GT(smallest, 0);
  ReadResult page;
  page.status = ReadStatus::kDone;
  page.end_offset = 1'000;
  for (int n = 0; n < 20; ++n) {
    page.next_offset += 10;
    follower.OnRead(page, kNow);
  }
  EXPECT_GT(follower.Next().max_kilobytes, 16 * smallest);
}

// Guards against a reader that asks again and again for a page that cannot hold
// the next record.
TEST_F(FollowerTest, RaisesThePageLimitUntilALargeRecordFits) {
  constexpr int kRecordKilobytes = 257;
  follower.OnNewest(DonePage(), kNow);
  for (int n = 0; n < 10; ++n) {
    follower.OnRead(ReadResult{}, kNow);
  }
  ASSERT_LT(follower.Next().max_kilobytes, kRecordKilobytes);
  ReadResult empty;
  empty.status = ReadStatus::kDone;
  empty.end_offset = 1;
  int reads = 0;
  while (follower.Next().max_kilobytes < kRecordKilobytes && reads < 50) {
    follower.OnRead(empty, kNow);
    ++reads;
  }
  EXPECT_LT(reads, 50);
}

class ShouldClaimTest : public testing::Test {
 protected:
  AuthorityView View(Millis silence, bool resigned = false) const {
    AuthorityView view;
    view.claim.epoch = 3;
    view.claim.entry = EntryName("other");
    view.claim.resigned = resigned;
    view.heard_at = kNow - silence;
    return view;
  }

  Claimant self{EntryName("self"), Millis(0)};
};

TEST_F(ShouldClaimTest, DoesNotClaimFromAnActiveScheduler) {
  EXPECT_FALSE(ShouldClaim(View(Millis(400)), self, kNow, kNow));
}

TEST_F(ShouldClaimTest, ClaimsFromASilentScheduler) {
  EXPECT_TRUE(ShouldClaim(View(kAuthorityTimeout), self, kNow, kNow));
  EXPECT_FALSE(
      ShouldClaim(View(kAuthorityTimeout - Millis(1)), self, kNow, kNow));
}

// While the log cannot be read, silence does not imply a failed scheduler.
TEST_F(ShouldClaimTest, DoesNotClaimAfterAStaleRead) {
  EXPECT_FALSE(
      ShouldClaim(View(Millis(9'000)), self, kNow - Millis(900), kNow));
}

TEST_F(ShouldClaimTest, ClaimsAtOnceAfterAResignation) {
  EXPECT_TRUE(ShouldClaim(View(Millis(0), true), self, kNow, kNow));
}

TEST_F(ShouldClaimTest, DelaysAClaimAfterItsOwnResignation) {
  AuthorityView view = View(Millis(1'000), true);
  view.claim.entry = self.entry;
  EXPECT_FALSE(ShouldClaim(view, self, kNow, kNow));
  view.heard_at = kNow - Millis(3'000);
  EXPECT_TRUE(ShouldClaim(view, self, kNow, kNow));
}

// The process that made the claim has ended and was replaced by this one.
TEST_F(ShouldClaimTest, ClaimsAtOnceFromItsFormerProcess) {
  AuthorityView view = View(Millis(0));
  view.claim.entry = self.entry;
  EXPECT_TRUE(ShouldClaim(view, self, kNow, kNow));
}

// Guards against a first scheduler on a weak machine, because all entries start
// at the same moment and the first append wins.
TEST_F(ShouldClaimTest, LetsTheEntriesRegisterBeforeTheFirstClaim) {
  AuthorityView view;
  view.heard_at = kNow;
  EXPECT_FALSE(ShouldClaim(view, self, kNow, kNow));
  view.heard_at = kNow - kFirstClaimDelay;
  EXPECT_TRUE(ShouldClaim(view, self, kNow, kNow));
}

// Guards against a lost scheduler that is replaced by a machine too weak for
// the role while stronger ones are there.
TEST_F(ShouldClaimTest, ClaimsLaterThanAStrongerEntry) {
  self.delay = kWeakClaimDelay;
  EXPECT_FALSE(ShouldClaim(View(kAuthorityTimeout), self, kNow, kNow));
  EXPECT_TRUE(
      ShouldClaim(View(kAuthorityTimeout + kWeakClaimDelay), self, kNow, kNow));
  EXPECT_FALSE(ShouldClaim(View(Millis(0), true), self, kNow, kNow));
  EXPECT_TRUE(ShouldClaim(View(kWeakClaimDelay, true), self, kNow, kNow));
}

TEST(ClaimDelayTest, DelaysOnlyEntriesWeakerThanAnother) {
  workload::Ledger ledger;
  const auto add = [&](const char* name, std::int64_t cpu_millis) {
    const EntryName entry(name);
    ledger.entries[entry] = {entry, "127.0.0.1:1", {}, cpu_millis};
  };
  add("weak", 120);
  EXPECT_EQ(ClaimDelay(ledger, EntryName("weak")), Millis(0));
  add("peer", 130);
  EXPECT_EQ(ClaimDelay(ledger, EntryName("weak")), Millis(0));
  add("strong", 500);
  EXPECT_EQ(ClaimDelay(ledger, EntryName("weak")), kWeakClaimDelay);
  EXPECT_EQ(ClaimDelay(ledger, EntryName("strong")), Millis(0));
}

// Guards against claims of all entries at the same moment: on a store that
// needs 60 ms for an append, those of 50 entries held it up for 3 s.
TEST(ClaimTurnTest, GivesEachEntryATurnOfItsOwn) {
  workload::Ledger ledger;
  constexpr int kEntries = 20;
  for (int n = 0; n < kEntries; ++n) {
    const EntryName entry("entry" + std::to_string(n));
    ledger.entries[entry] = {entry, "127.0.0.1:1", {}, 500};
  }
  ledger.claim.epoch = 1;
  ledger.claim.entry = EntryName("entry7");
  const auto turns = [&ledger] {
    std::map<Millis, EntryName> out;
    for (const auto& [name, entry] : ledger.entries) {
      if (name != ledger.claim.entry) {
        out.emplace(ClaimTurn(ledger, name), name);
      }
    }
    return out;
  };
  const std::map<Millis, EntryName> first = turns();
  EXPECT_EQ(first.size(), kEntries - 1U);
  EXPECT_EQ(first.begin()->first, Millis(0));
  EXPECT_EQ(first.rbegin()->first, kClaimTurn * (kEntries - 2));
  // Lost entries must not come first in each election.
  ledger.claim.epoch = 2;
  EXPECT_NE(turns().begin()->second, first.begin()->second);
}

// Guards against a scheduler on a weak machine that had an early turn, while
// the strong entries had late ones: its urgent jobs waited for 7 s.
TEST(ClaimTurnTest, PutsWeakEntriesBehindAllStrongOnes) {
  workload::Ledger ledger;
  for (int n = 0; n < 55; ++n) {
    const EntryName entry("entry" + std::to_string(n));
    ledger.entries[entry] = {entry, "127.0.0.1:1", {}, n < 15 ? 500 : 120};
  }
  for (ledger.claim.epoch = 0; ledger.claim.epoch < 200; ++ledger.claim.epoch) {
    Millis last_strong{0};
    Millis first_weak = Millis::max();
    for (const auto& [name, entry] : ledger.entries) {
      const Millis at = ClaimDelay(ledger, name) + ClaimTurn(ledger, name);
      if (entry.cpu_millis == 500) {
        last_strong = std::max(last_strong, at);
      } else {
        first_weak = std::min(first_weak, at);
      }
    }
    ASSERT_LT(last_strong, first_weak) << "epoch " << ledger.claim.epoch;
  }
}

// Guards against an election of 12 s where most of 300 entries were lost.
TEST(ClaimTurnTest, HasALimit) {
  workload::Ledger ledger;
  Millis longest{0};
  for (int n = 0; n < 300; ++n) {
    const EntryName entry("entry" + std::to_string(n));
    ledger.entries[entry] = {entry, "127.0.0.1:1", {}, 500};
  }
  for (const auto& [name, entry] : ledger.entries) {
    longest = std::max(longest, ClaimTurn(ledger, name));
  }
  EXPECT_EQ(longest, kMaxClaimTurns);
}

class RegistrationTest : public testing::Test {
 protected:
  workload::EntryAddress own{EntryName("self"), "127.0.0.1:1",
                             workload::WallTime(Millis(5'000'000)), 500};
  workload::Ledger ledger;
};

// Guards against an entry that the others cannot reach after it was dropped or
// has moved.
TEST_F(RegistrationTest, IsDueWithoutTheOwnAddress) {
  EXPECT_TRUE(RegistrationIsDue(ledger, own));
  workload::EntryAddress former = own;
  former.address = "127.0.0.1:2";
  ledger.entries[own.entry] = former;
  EXPECT_TRUE(RegistrationIsDue(ledger, own));
}

// Guards against an entry that the others drop while it runs, also after the
// time of day of its machine was set back.
TEST_F(RegistrationTest, IsDueLongBeforeItExpires) {
  workload::EntryAddress stated = own;
  ledger.entries[own.entry] = stated;
  EXPECT_FALSE(RegistrationIsDue(ledger, own));
  stated.stated_at = own.stated_at - kRegistrationLifetime / 4;
  ledger.entries[own.entry] = stated;
  EXPECT_TRUE(RegistrationIsDue(ledger, own));
  stated.stated_at = own.stated_at + kRegistrationLifetime / 4;
  ledger.entries[own.entry] = stated;
  EXPECT_TRUE(RegistrationIsDue(ledger, own));
}

// Guards against the appends of all entries at the same moment, 30 s after they
// were started together.
TEST_F(RegistrationTest, IsCheckedAtDifferentTimes) {
  EXPECT_EQ(RegistrationCheckDelay(0), kLongestRegistrationCheck / 2);
  EXPECT_LE(RegistrationCheckDelay(~std::uint64_t{0}),
            kLongestRegistrationCheck);
  std::set<Millis> delays;
  for (std::uint64_t n = 0; n < 55; ++n) {
    delays.insert(RegistrationCheckDelay(n * 0x9e3779b97f4a7c15));
  }
  EXPECT_GE(delays.size(), 50U);
}

// Guards against the appends of all agents at the same moment, 6 s after they
// lost their scheduler, and again every 6 s.
TEST_F(RegistrationTest, IsRepeatedByAgentsAtDifferentTimes) {
  constexpr int kAgents = 240;
  std::set<Millis> delays;
  for (std::uint64_t n = 0; n < kAgents; ++n) {
    delays.insert(AgentRegistrationDelay(0, n * 0x9e3779b97f4a7c15));
  }
  EXPECT_GE(delays.size(), kAgents * 9U / 10);
  EXPECT_GE(*delays.begin(), kMinAgentRegistration);
  EXPECT_GT(*delays.rbegin() - *delays.begin(), kMinAgentRegistration / 2);
  EXPECT_EQ(AgentRegistrationDelay(1, 0), 2 * kMinAgentRegistration);
  EXPECT_EQ(AgentRegistrationDelay(100, 0), kMaxAgentRegistration);
  EXPECT_EQ(AgentRegistrationDelay(100, 12'345), kMaxAgentRegistration);
}

}  // namespace
}  // namespace shallotlug::joblog
