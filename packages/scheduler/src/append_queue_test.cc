#include "append_queue.h"

#include <algorithm>
#include <string>

#include <gtest/gtest.h>

namespace shallotlug::scheduler {
namespace {

std::vector<workload::RawRecord> Records(int count) {
  std::vector<workload::RawRecord> records;
  for (int n = 0; n < count; ++n) {
    records.push_back({"k" + std::to_string(n), "v"});
  }
  return records;
}

bool Contains(const std::vector<workload::RawRecord>& records,
              const std::string& key) {
  return std::any_of(records.begin(), records.end(),
                     [&](const auto& it) { return it.key == key; });
}

// Guards against records that are left out, sent twice or sent in another order
// because the store refuses one of them.
TEST(AppendQueueTest, TakesAllButTheRefusedRecordInOrder) {
  AppendQueue queue = MakeAppendQueue(Records(13));
  std::vector<std::string> taken;
  bool more = true;
  for (int appends = 0; more && appends < 50; ++appends) {
    if (Contains(queue.sending, "k5")) {
      more = OnRefused(queue);
      continue;
    }
    for (const workload::RawRecord& it : queue.sending) {
      taken.push_back(it.key);
    }
    more = OnTaken(queue);
  }
  EXPECT_FALSE(more);
  EXPECT_EQ(queue.refused, std::set<std::string>{"k5"});
  std::vector<std::string> expected;
  for (const workload::RawRecord& it : Records(13)) {
    if (it.key != "k5") {
      expected.push_back(it.key);
    }
  }
  EXPECT_EQ(taken, expected);
}

// Guards against thousands of calls to a store that refuses everything.
TEST(AppendQueueTest, TellsAStoreThatRefusesAll) {
  AppendQueue queue = MakeAppendQueue(Records(1'000));
  int appends = 0;
  while (!RefusesAll(queue) && OnRefused(queue)) {
    ++appends;
  }
  EXPECT_TRUE(RefusesAll(queue));
  EXPECT_LT(appends, 50);
}

TEST(AppendQueueTest, DoesNotTakeOneRefusalForARefusalOfAll) {
  AppendQueue queue = MakeAppendQueue(Records(1));
  EXPECT_FALSE(OnRefused(queue));
  EXPECT_FALSE(RefusesAll(queue));
}

}  // namespace
}  // namespace shallotlug::scheduler
