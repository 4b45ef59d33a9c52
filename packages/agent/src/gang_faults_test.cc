#include <random>

#include "test_gangs.h"

namespace shallotlug::agent {
namespace {

/// @brief Random faults on a cluster that runs overlapping gangs.
class GangFaultsTest : public GangTest {
 protected:
  void Prepare(std::uint32_t seed) {
    random_.seed(seed);
    number_ = 0;
    members_.clear();
    cluster_ = TestCluster(3);
    cluster_.after_tick = [this] { CheckInvariants(); };
    cluster_.drop = [this](std::size_t, std::size_t, const Message&) {
      return faults_ && Chance(loss_percent_);
    };
    cluster_.Start();
  }

  bool Chance(std::uint32_t percent) { return random_() % 100 < percent; }

  std::size_t AnyNode() { return random_() % cluster_.nodes.size(); }

  void ProposeAny() {
    std::vector<std::size_t> agents;
    for (std::size_t i = 0; i < cluster_.nodes.size(); ++i) {
      if (Chance(60)) {
        agents.push_back(i);
      }
    }
    if (!agents.empty()) {
      const AcceleratorMask mask = Chance(50) ? 0x0F : 0x3C;
      Propose(MakeProposal("j" + std::to_string(++number_), 1, agents, mask));
    }
  }

  void StopAny() {
    const JobId job("j" + std::to_string(1 + random_() % (number_ + 1)));
    const StopReason reasons[] = {StopReason::kCancelled,
                                  StopReason::kPreempted,
                                  StopReason::kSuperseded};
    cluster_.SendTo(AnyNode(), StopJob{{job, 1}, reasons[random_() % 3]});
  }

  void InjectFault() {
    const std::size_t i = AnyNode();
    TestCluster::Node& node = cluster_.nodes[i];
    switch (random_() % 6) {
      case 0:
        node.paused = !node.paused;
        return;
      case 1:
        cluster_.BreakLinks(i);
        return;
      case 2:
        node.backend.Restart();
        return;
      case 3:
        node.backend.reachable = !node.backend.reachable;
        return;
      case 4:
        node.backend.EndAll(
            Chance(80) ? TaskEventKind::kFinished : TaskEventKind::kFailed,
            "x");
        return;
      default:
        StopAny();
    }
  }

  void Heal() {
    faults_ = false;
    for (TestCluster::Node& node : cluster_.nodes) {
      node.paused = false;
      node.backend.reachable = true;
    }
  }

  std::mt19937 random_;
  std::uint32_t loss_percent_ = 10;
  std::uint32_t number_ = 0;
  bool faults_ = true;
};

// Guards against combinations of faults that let one member compute without
// another, give an accelerator to two holders, or leave accelerators held for
// good.
TEST_F(GangFaultsTest, InvariantsHoldAndEverythingIsReleased) {
  for (std::uint32_t seed = 1; seed <= 60 && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    faults_ = true;
    Prepare(seed);
    for (int i = 0; i < 1200; ++i) {
      if (Chance(5)) {
        ProposeAny();
      }
      if (Chance(3)) {
        InjectFault();
      }
      cluster_.Tick();
    }
    Heal();
    for (std::uint32_t n = 1; n <= number_; ++n) {
      for (std::size_t i = 0; i < cluster_.nodes.size(); ++i) {
        cluster_.SendTo(i, StopJob{{JobId("j" + std::to_string(n)), 1}});
      }
    }
    cluster_.Run(Millis{20'000});
    EXPECT_TRUE(AllFree());
  }
}

// Guards against a member that mistakes a repeated or overtaken message for a
// new one.
TEST_F(GangFaultsTest, RepeatedAndOvertakenMessagesAreHarmless) {
  Prepare(1);
  faults_ = false;
  std::vector<Message> old;
  cluster_.drop = [&](std::size_t, std::size_t to, const Message& message) {
    if (to == 1) {
      old.push_back(message);
    }
    return false;
  };
  Propose(MakeProposal("j", 1, {0, 1}));
  cluster_.Run(Millis{3000});
  ASSERT_EQ(RunningTasks(), 2U);
  for (int i = 0; i < 40; ++i) {
    const std::vector<Message> repeated = old;
    for (auto it = repeated.rbegin(); it != repeated.rend(); ++it) {
      cluster_.SendTo(1, *it);
    }
    cluster_.Run(Millis{250});
  }
  EXPECT_EQ(RunningTasks(), 2U);
  EXPECT_EQ(backend(1).started.size(), 1U);
  cluster_.SendTo(0, StopJob{{JobId("j"), 1}});
  cluster_.Run(Millis{1000});
  EXPECT_TRUE(AllFree());
  for (const Message& message : old) {
    cluster_.SendTo(1, message);
  }
  cluster_.Run(Millis{1000});
  EXPECT_TRUE(AllFree());
}

// Shows that the invariant check notices members that compute without regard
// to the permission of their coordinator.
TEST_F(GangFaultsTest, CheckCatchesAMissingRunUntil) {
  Prepare(1);
  faults_ = false;
  for (std::size_t i = 0; i < 3; ++i) {
    state(i).options.guards.run_until = false;
  }
  bool overlap = false;
  cluster_.after_tick = [&] {
    overlap = overlap ||
              (!backend(2).running.empty() && state(1).gangs.members.empty());
  };
  Propose(MakeProposal("j", 1, {0, 1, 2}));
  cluster_.Run(Millis{2000});
  ASSERT_EQ(RunningTasks(), 3U);
  cluster_.drop = [](std::size_t from, std::size_t to, const Message&) {
    return from == 2 || to == 2;
  };
  cluster_.Run(Millis{9000});
  EXPECT_TRUE(overlap);
}

}  // namespace
}  // namespace shallotlug::agent
