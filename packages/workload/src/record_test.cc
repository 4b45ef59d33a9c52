#include "shallotlug/workload/record.h"

#include <gtest/gtest.h>

namespace shallotlug::workload {
namespace {

OccurrenceProgress RunningGang(int workers, int tasks_each) {
  OccurrenceProgress record;
  record.job = JobId("5c0e7a21d94b36f8");
  std::vector<TaskProgress>& tasks = record.progress.steps.emplace_back();
  for (int n = 0; n < workers * tasks_each; ++n) {
    const std::string number = std::to_string(n / tasks_each);
    TaskProgress task;
    task.phase = TaskPhase::kAssigned;
    task.run = 1;
    task.on = {AgentName("side-stavanger-c-" + number),
               {"i-7f3a91c2d0" + number, 1'790'000'000'000}};
    tasks.push_back(task);
  }
  return record;
}

Progress Decoded(const RawRecord& raw) {
  const auto record = Decode(raw.key, raw.value);
  return record ? std::get<OccurrenceProgress>(*record).progress : Progress{};
}

// Guards against records that grow with each task of a job: every entry reads
// them, and may spend 7 KB a second on control.
TEST(ProgressRecordTest, OfTheLargestGangFitsIntoTheBytesOfASecond) {
  constexpr std::size_t kBytesPerSecond = 7'000;
  const RawRecord raw = Encode(RunningGang(32, 8));
  EXPECT_LE(raw.value.size(), kBytesPerSecond);
}

TEST(ProgressRecordTest, KeepsTheStateOfEachTask) {
  OccurrenceProgress record = RunningGang(3, 4);
  std::vector<TaskProgress>& tasks = record.progress.steps[0];
  tasks[0] = {};
  tasks[5].phase = TaskPhase::kDone;
  tasks[5].on = {};
  tasks[6].checkpoint = "00000bb87a21d94b";
  tasks[7].failures = 2;
  tasks[7].failed_run = 3;
  tasks[8].crashes = {{1, true, false}, {2, true, true}, {4, false, true}};
  tasks[9].checkpoint = "0000000000000001";
  tasks[9].crashes = {{3, false, false}};
  tasks[11] = {};
  EXPECT_EQ(Decoded(Encode(record)), record.progress);
}

// Guards against a malformed record of another writer that writes beyond the
// tasks of its step.
TEST(ProgressRecordTest, RejectsTasksBeyondTheStep) {
  const std::string key = Encode(RunningGang(1, 1)).key;
  for (const char* row : {"[0,1,2,2,1,0,0,-1]", "[0,3,1,2,1,0,0,-1]",
                          "[1,0,1,2,1,0,-1]", "[0,0,1,1,1,0,0]",
                          "[0,-1,1,2,1,0,0,-1]", "[0,0,99999999,2,1,0,0,-1]"}) {
    const std::string value =
        R"({"outcome":0,"counts":[2],"workers":[],"tasks":[)" +
        std::string(row) + "]}";
    EXPECT_FALSE(Decode(key, value)) << row;
  }
}

}  // namespace
}  // namespace shallotlug::workload
