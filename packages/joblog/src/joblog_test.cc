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

  EntryName self{"self"};
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
  view.claim.entry = self;
  EXPECT_FALSE(ShouldClaim(view, self, kNow, kNow));
  view.heard_at = kNow - Millis(3'000);
  EXPECT_TRUE(ShouldClaim(view, self, kNow, kNow));
}

// The process that made the claim has ended and was replaced by this one.
TEST_F(ShouldClaimTest, ClaimsAtOnceFromItsFormerProcess) {
  AuthorityView view = View(Millis(0));
  view.claim.entry = self;
  EXPECT_TRUE(ShouldClaim(view, self, kNow, kNow));
}

}  // namespace
}  // namespace shallotlug::joblog
