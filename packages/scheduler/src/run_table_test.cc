#include "run_table.h"

#include <random>

#include <gtest/gtest.h>

namespace shallotlug::scheduler {
namespace {

using workload::Resources;
using workload::TaskRef;

// Drives a RunTable with random events and derives its sums from nothing.
class RunTableModel {
 public:
  explicit RunTableModel(std::uint32_t seed) : random_(seed) {}

  void Step() {
    const TaskRef task{JobId("job-" + std::to_string(RandomBelow(3))),
                       RandomBelow(2), RandomBelow(2), RandomBelow(4)};
    if (RandomBelow(3) == 0) {
      table_.Erase(task);
      return;
    }
    RunRow row;
    row.run = RandomBelow(5);
    row.on.agent = AgentName("agent-" + std::to_string(RandomBelow(4)));
    row.need = {RandomBelow(8), RandomBelow(8), RandomBelow(8)};
    row.urgent = RandomBelow(2) == 0;
    table_.Put(task, row);
  }

  void Check() const {
    std::map<AgentName, Resources> used;
    std::map<AgentName, std::size_t> counts;
    std::int64_t urgent = 0;
    for (const auto& [task, row] : table_.All()) {
      used[row.on.agent] += row.need;
      ++counts[row.on.agent];
      urgent += row.urgent ? row.need.accelerators : 0;
      EXPECT_EQ(table_.On(row.on.agent).rows.at(task), &row);
    }
    EXPECT_EQ(table_.ByAgent().size(), used.size());
    for (const auto& [agent, resources] : used) {
      EXPECT_EQ(table_.On(agent).used, resources);
      EXPECT_EQ(table_.On(agent).rows.size(), counts[agent]);
    }
    EXPECT_EQ(table_.UrgentAccelerators(), urgent);
  }

 private:
  int RandomBelow(int limit) {
    return static_cast<int>(random_() % static_cast<unsigned>(limit));
  }

  std::mt19937 random_;
  RunTable table_;
};

// Guards against an index or a sum that some order of events leaves wrong, so
// that a worker is filled twice or never again.
TEST(RunTableTest, AgreesWithItsRowsAfterAnyEvents) {
  constexpr std::uint32_t kSequences = 10'000;
  constexpr int kEvents = 30;
  for (std::uint32_t seed = 0; seed < kSequences; ++seed) {
    RunTableModel model(seed);
    for (int n = 0; n < kEvents; ++n) {
      model.Step();
    }
    model.Check();
    ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << seed;
  }
}

TEST(RunTableTest, FindsTheRunsOfAStepAndOfAnOccurrence) {
  RunTable table;
  const JobId job("j");
  for (const TaskRef& it :
       {TaskRef{job, 0, 0, 0}, TaskRef{job, 0, 1, 3}, TaskRef{job, 0, 1, 5},
        TaskRef{job, 1, 1, 3}, TaskRef{JobId("k"), 0, 1, 3}}) {
    table.Put(it, {});
  }
  const auto step = table.OfStep(job, 0, 1);
  EXPECT_EQ(std::distance(step.begin(), step.end()), 2);
  const auto occurrence = table.OfOccurrence(job, 0);
  EXPECT_EQ(std::distance(occurrence.begin(), occurrence.end()), 3);
  EXPECT_FALSE(table.HasJob(JobId("i")));
  EXPECT_TRUE(table.HasJob(JobId("k")));
}

}  // namespace
}  // namespace shallotlug::scheduler
