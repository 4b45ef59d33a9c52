#include <bit>

#include "test_gangs.h"

namespace shallotlug::agent {
namespace {

class ThrottlingTest : public GangTest {
 protected:
  StartRequest MakeStart(std::uint64_t n, int accelerators) const {
    StartRequest start;
    start.id = {cluster.nodes[0].options.self,
                AsPeerTime(cluster.now + Millis{60'000}),
                {n, n}};
    start.start_before = AsPeerTime(cluster.now + Millis{5000});
    start.finish_before = start.start_before;
    start.accelerators = accelerators;
    return start;
  }

  const FakeBackend::Entry* FindBatch() {
    for (const auto& [id, it] : ServerOf(0).running) {
      if (!it.start.live) {
        return &it;
      }
    }
    return nullptr;
  }

  std::vector<TaskId> LiveTasks() {
    std::vector<TaskId> ids;
    for (const auto& [id, it] : ServerOf(0).running) {
      if (it.start.live) {
        ids.push_back(id);
      }
    }
    return ids;
  }
};

// Guards against a live request that takes accelerators from a batch task
// while others are free.
TEST_F(ThrottlingTest, UsesFreeAcceleratorsFirst) {
  cluster.Start();
  Propose(MakeProposal("j", 1, {0}, 0x0F));
  cluster.Run(Millis{500});
  cluster.SendTo(0, MakeStart(1, 4));
  cluster.Run(Millis{200});
  ASSERT_EQ(LiveTasks().size(), 1U);
  EXPECT_EQ(ServerOf(0).running[LiveTasks()[0]].start.accelerators, 0xF0U);
  EXPECT_FALSE(FindBatch()->throttled);
}

// Guards against live work that waits for batch work, and against a batch task
// that stays throttled after live work has gone.
TEST_F(ThrottlingTest, ThrottlesAndResumesASingleTask) {
  StartGang({0});
  cluster.Take<AgentReport>(0);
  cluster.SendTo(0, MakeStart(1, 2));
  cluster.Run(Millis{300});
  ASSERT_EQ(LiveTasks().size(), 1U);
  EXPECT_TRUE(FindBatch()->throttled);
  const auto reports = cluster.Take<AgentReport>(0);
  ASSERT_FALSE(reports.empty());
  EXPECT_EQ(reports.back().accelerators[0], AcceleratorUse::kLive);
  EXPECT_EQ(reports.back().accelerators[7], AcceleratorUse::kThrottleable);
  cluster.Run(Millis{10'000});
  ServerOf(0).End(LiveTasks()[0], TaskEventKind::kFinished, "card");
  cluster.Run(Millis{200});
  ASSERT_NE(FindBatch(), nullptr);
  EXPECT_FALSE(FindBatch()->throttled);
}

// Guards against throttling a part of a gang.
TEST_F(ThrottlingTest, NeverThrottlesAGang) {
  StartGang();
  cluster.SendTo(0, MakeStart(1, 1));
  cluster.Run(Millis{500});
  EXPECT_TRUE(LiveTasks().empty());
  EXPECT_FALSE(FindBatch()->throttled);
}

// Guards against throttling that frees too few accelerators for the request.
TEST_F(ThrottlingTest, ThrottlesNothingIfTooFewCanBeFreed) {
  cluster.Start();
  Propose(MakeProposal("j", 1, {0}, 0x0F));
  Propose(MakeProposal("k", 1, {0, 1}, 0xF0));
  cluster.Run(Millis{1000});
  cluster.SendTo(0, MakeStart(1, 5));
  cluster.Run(Millis{500});
  EXPECT_TRUE(LiveTasks().empty());
  for (const auto& [id, it] : ServerOf(0).running) {
    EXPECT_FALSE(it.throttled);
  }
}

// Guards against live work that starts on accelerators reserved for a gang.
TEST_F(ThrottlingTest, DoesNotUseReservedAccelerators) {
  StartGang({0});
  ProposeJob gang = MakeProposal("k", 1, {0, 1});
  gang.victims = {{JobId("j"), 1}};
  Propose(gang);
  cluster.Run(Millis{500});
  cluster.SendTo(0, MakeStart(1, 1));
  cluster.Run(Millis{500});
  EXPECT_TRUE(LiveTasks().empty());
}

// Guards against a gang that starts while live requests still use its
// accelerators, and against one that is refused because of them.
TEST_F(ThrottlingTest, GangWaitsForLiveRequestsToEnd) {
  cluster.Start();
  cluster.SendTo(0, MakeStart(1, 8));
  cluster.Run(Millis{200});
  Propose(MakeProposal("j", 1, {0, 1}));
  cluster.Run(Millis{2000});
  EXPECT_EQ(FindBatch(), nullptr);
  ServerOf(0).EndAll(TaskEventKind::kFinished, "card");
  cluster.Run(Millis{1000});
  EXPECT_NE(FindBatch(), nullptr);
}

}  // namespace
}  // namespace shallotlug::agent
