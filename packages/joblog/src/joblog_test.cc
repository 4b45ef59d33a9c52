#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "shallotlug/joblog/authority.h"
#include "shallotlug/joblog/follower.h"

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

}  // namespace
}  // namespace shallotlug::joblog
