#include <algorithm>

#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kEight{64'000, 64'000, 8};

class WaitsTest : public testing::Test {
 protected:
  WaitsTest() {
    scheduler.AddQueue("live", 0);
    scheduler.AddQueue("batch", 1);
    scheduler.AddCustomer("acme", 8);
    scheduler.AddWorker("a1", "r1", kEight);
    scheduler.AddWorker("a2", "r1", kEight);
  }

  /// @brief The fields of the newest log line of the event; empty if none.
  std::map<std::string, std::string> Newest(const std::string& event) {
    for (LogLine& it : scheduler.Get().TakeLog()) {
      lines.push_back(std::move(it));
    }
    std::map<std::string, std::string> fields;
    const auto it =
        std::find_if(lines.rbegin(), lines.rend(),
                     [&](const LogLine& line) { return line.event == event; });
    if (it != lines.rend()) {
      for (const Label& label : it->fields) {
        fields[label.name] = label.value;
      }
    }
    return fields;
  }

  TestScheduler scheduler;
  std::vector<LogLine> lines;
};

// Guards against a late start whose log does not tell for how long the
// scheduler has known the job.
TEST_F(WaitsTest, LogsTheStartOfAGuaranteedJob) {
  scheduler.Submit(scheduler.Job("live", "live", "acme", 2, 4));
  scheduler.Run(3);
  auto begun = Newest("urgent_begun");
  EXPECT_EQ(begun["job"], "live");
  EXPECT_EQ(begun["guaranteed"], "true");
  EXPECT_EQ(begun["known_after_ms"], "0");
  EXPECT_EQ(begun["known_ms"], "50");
  EXPECT_EQ(Newest("guarantee_changed")["need"], "8");
}

// Guards against an unplaced urgent job whose log does not tell whether it
// waits for preempted runs or has none to preempt.
TEST_F(WaitsTest, LogsWhatAnUrgentJobWaitsFor) {
  scheduler.AddCustomer("zenith", 16);
  scheduler.Submit(scheduler.Job("first", "live", "zenith", 2, 8));
  scheduler.Run(2);
  scheduler.Submit(scheduler.Job("second", "live", "acme", 1, 8));
  scheduler.Run(12);
  EXPECT_EQ(Newest("urgent_waiting")["reason"], "nothing_to_preempt");
  EXPECT_EQ(Newest("urgent_waiting")["job"], "second");
}

TEST_F(WaitsTest, LogsTheStopsThatAnUrgentJobWaitsFor) {
  scheduler.Submit(scheduler.Job("batch", "batch", "acme", 16, 1));
  scheduler.Run(2);
  scheduler.HoldStops("a1");
  scheduler.HoldStops("a2");
  scheduler.Submit(scheduler.Job("live", "live", "acme", 1, 8));
  scheduler.Run(12);
  auto waiting = Newest("urgent_waiting");
  EXPECT_EQ(waiting["reason"], "stops_pending");
  EXPECT_EQ(waiting["guaranteed"], "true");
  EXPECT_EQ(waiting["stops"], "8");
}

}  // namespace
}  // namespace shallotlug::scheduler
