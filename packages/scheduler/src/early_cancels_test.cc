#include "early_cancels.h"

#include <gtest/gtest.h>

namespace shallotlug::scheduler {
namespace {

using workload::kEarlyCancelRetention;

class EarlyCancelsTest : public testing::Test {
 protected:
  void Cancel(const std::string& job) {
    const workload::RawRecord record =
        workload::Encode(workload::JobCancelled{JobId(job), now.wall});
    Apply(ledger, record.key, record.value, offset++);
  }

  void Wait(Millis time) {
    now.local += time;
    now.wall += time;
  }

  std::size_t Drops(CancelAges& by) {
    std::vector<workload::RawRecord> records;
    AddOldCancels(by, ledger, records, now);
    return records.size();
  }

  Now now{TimePoint(Millis(100'000)), workload::WallTime(Millis(100'000'000))};
  workload::Ledger ledger;
  std::uint64_t offset = 0;
  CancelAges ages;
};

// Guards against schedulers that succeed each other and each count anew.
TEST_F(EarlyCancelsTest, ASuccessorCountsFromWhenTheCancelWasStated) {
  Cancel("j");
  Wait(kEarlyCancelRetention - Millis(100'000));
  CancelAges successor;
  EXPECT_EQ(Drops(successor), 0U);
  Wait(Millis(100'000));
  EXPECT_EQ(Drops(successor), 1U);
}

// Guards against a cancel that is dropped while its job is on its way, because
// a wall clock was set forward.
TEST_F(EarlyCancelsTest, KeepsANewCancelWhenTheWallClockIsSetForward) {
  Cancel("j");
  EXPECT_EQ(Drops(ages), 0U);
  now.wall += Millis(86'400'000);
  Wait(Millis(30'000));
  EXPECT_EQ(Drops(ages), 0U);
}

// Guards against a cancel that is kept for a day, because it was stated by a
// wall clock that was set back since.
TEST_F(EarlyCancelsTest, DropsACancelOfTheFuture) {
  Cancel("j");
  now.wall -= Millis(86'400'000);
  EXPECT_EQ(Drops(ages), 0U);
  Wait(kEarlyCancelRetention);
  EXPECT_EQ(Drops(ages), 1U);
}

// Guards against an append that the store refuses because of its size.
TEST_F(EarlyCancelsTest, LimitsTheDropsOfOneAppend) {
  constexpr std::size_t kCancels = 2'000;
  for (std::size_t n = 0; n < kCancels; ++n) {
    Cancel("j" + std::to_string(n));
  }
  EXPECT_EQ(Drops(ages), 0U);
  Wait(kEarlyCancelRetention);
  const std::size_t alone = Drops(ages);
  EXPECT_GT(alone, 0U);
  EXPECT_LT(alone, kCancels);
  Wait(Millis(1'000));
  std::vector<workload::RawRecord> plan{{"p/1/0", "{}"}};
  AddOldCancels(ages, ledger, plan, now);
  EXPECT_GT(plan.size(), 1U);
  EXPECT_LT(plan.size(), alone);
}

}  // namespace
}  // namespace shallotlug::scheduler
