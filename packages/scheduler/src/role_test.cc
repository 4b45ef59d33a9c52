#include "shallotlug/scheduler/role.h"

#include <gtest/gtest.h>

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

// Guards against two entries that alternately take the role from each other.
TEST_F(RoleTest, YieldsTheRoleToAnotherClaim) {
  ASSERT_TRUE(role.NextAppend(kNonce, now));
  now.local += Millis(20);
  Read({workload::Encode(
      workload::SchedulerClaim{1, EntryName("other"), 3, false})});
  role.OnAppended(Moved(), now);
  EXPECT_FALSE(role.NextAppend(kNonce, now));
}

}  // namespace
}  // namespace shallotlug::scheduler
