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

std::string Job(const std::string& step, const std::string& more = "") {
  return R"({"queue":"q","customer":"c","pool":"p","slack":1.5,"payload":"",)" +
         more + R"("steps":[)" + step + "]}";
}

std::string Nested(int depth) {
  const auto n = static_cast<std::size_t>(depth);
  return R"({"address":)" + std::string(n, '[') + std::string(n, ']') + "}";
}

// Guards against an odd record of another writer that ends every process that
// reads it, or each that places what it names.
TEST(RecordTest, RejectsRecordsWithNumbersOutOfRange) {
  ASSERT_TRUE(Decode("j/1", Job(R"({"count":2,"cpu":1})")));
  for (const char* step :
       {R"({"count":-1})", R"({"count":0})", R"({"count":4294967297})",
        R"({"count":1000000000000})", R"({"count":1e400})",
        R"({"count":1,"cpu":-1})", R"({"count":1,"accelerators":9e18})",
        R"({"count":1,"estimate":9223372036854775807})",
        R"({"count":1,"after":[0]})", R"({"count":1,"after":[-1]})",
        R"({"count":1,"per_worker":-1})", ""}) {
    EXPECT_FALSE(Decode("j/1", Job(step))) << step;
  }
  for (const char* more :
       {R"("repeats":2000000000,)", R"("repeats":-1,)",
        R"("first":9223372036854775807,)", R"("interval":9223372036854775807,)",
        R"("priority":-1,)", R"("accepted":-9223372036854775807,)"}) {
    EXPECT_FALSE(Decode("j/1", Job(R"({"count":1})", more))) << more;
  }
}

TEST(RecordTest, RejectsClaimsAndAddressesWithNumbersOutOfRange) {
  EXPECT_TRUE(Decode("a", R"({"epoch":7,"entry":"e","nonce":5})"));
  EXPECT_FALSE(Decode("a", R"({"epoch":9223372036854775807,"entry":"e"})"));
  EXPECT_FALSE(Decode("a", R"({"epoch":-1,"entry":"e"})"));
  EXPECT_TRUE(Decode("e/1", R"({"address":"10.0.0.1:70","cpu":500})"));
  EXPECT_FALSE(
      Decode("e/1", R"({"address":"10.0.0.1:70","cpu":9000000000000000000})"));
  EXPECT_FALSE(
      Decode("e/1", R"({"address":"10.0.0.1:70","stated":-9000000000000000})"));
  for (const char* address :
       {"10.0.0.1:99999", "10.0.0.1:-1", "10.0.0.1:", "10.0.0.1", "", ":70"}) {
    const std::string value = R"({"address":")" + std::string(address) + "\"}";
    EXPECT_FALSE(Decode("n/1", value)) << address;
    EXPECT_FALSE(Decode("e/1", value)) << address;
  }
}

TEST(RecordTest, RejectsDeeplyNestedRecords) {
  for (const char* key : {"n/1", "e/1", "j/1", "p/1/0", "a"}) {
    EXPECT_FALSE(Decode(key, Nested(200'000))) << key;
  }
}

TEST(ProgressRecordTest, RejectsUnknownPhasesAndOutcomes) {
  const std::string key = Encode(RunningGang(1, 1)).key;
  const auto decode = [&](const std::string& row, int outcome) {
    return Decode(key, R"({"outcome":)" + std::to_string(outcome) +
                           R"(,"counts":[1],"workers":[],"tasks":[)" + row +
                           "]}");
  };
  ASSERT_TRUE(decode("[0,0,1,2,1,0,0,-1]", 0));
  EXPECT_FALSE(decode("[0,0,1,9,1,0,0,-1]", 0));
  EXPECT_FALSE(decode("[0,0,1,2,-1,0,0,-1]", 0));
  EXPECT_FALSE(decode("[0,0,1,2,1,-1,0,-1]", 0));
  EXPECT_FALSE(decode("[0,0,1,2,1,0,0,-1]", 17));
  EXPECT_FALSE(decode("[0,0,1,2,2147483647,0,0,-1]", 0));
}

}  // namespace
}  // namespace shallotlug::workload
