#include <iterator>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "test_gangs.h"

namespace shallotlug::agent {
namespace {

/// @brief Random faults on a cluster that runs overlapping gangs.
class GangFaultsTest : public GangTest {
 protected:
  void Prepare(std::uint32_t seed) {
    random.seed(seed);
    number = 0;
    members.clear();
    sent.clear();
    cluster = TestCluster(3);
    cluster.after_tick = [this] { CheckInvariants(); };
    cluster.drop = [this](std::size_t, std::size_t, const Message&) {
      return faults && Chance(loss_percent);
    };
    cluster.Start();
  }

  bool Chance(std::uint32_t percent) { return random() % 100 < percent; }

  std::size_t AnyNode() { return random() % cluster.nodes.size(); }

  void ProposeAny() {
    std::vector<std::size_t> agents;
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
      if (Chance(60)) {
        agents.push_back(i);
      }
    }
    if (!agents.empty()) {
      const AcceleratorMask mask = Chance(50) ? 0x0F : 0x3C;
      Propose(MakeProposal("j" + std::to_string(++number), 1, agents, mask));
    }
  }

  void SendLive() {
    const std::size_t i = AnyNode();
    StartRequest start;
    start.id = {cluster.nodes[i].options.self,
                AsPeerTime(cluster.NodeNow(i) + Millis{30'000}),
                {++live_number, 0}};
    start.start_before = AsPeerTime(cluster.NodeNow(i) + Millis{3000});
    start.finish_before = start.start_before;
    start.accelerators = static_cast<int>(1 + random() % 4);
    start.body = ToString(start.id);
    sent.emplace_back(i, start);
    cluster.SendTo(i, start);
  }

  void RepeatOrResolve() {
    if (sent.empty()) {
      return;
    }
    const auto& [i, start] = sent[random() % sent.size()];
    if (Chance(50)) {
      cluster.SendTo(i, start);
    } else {
      cluster.SendTo(i, ResolveRequest{start.id, {}, Chance(50)});
    }
  }

  void CheckRequests() {
    std::map<std::string, int> starts;
    for (TestCluster::Node& node : cluster.nodes) {
      for (const StartTask& it : node.backend.started) {
        starts[it.body] += it.live ? 1 : 0;
      }
    }
    for (const auto& [body, n] : starts) {
      EXPECT_LE(n, 1) << body << " started twice";
    }
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
      for (const RequestOutcome& it : cluster.Take<RequestOutcome>(i)) {
        EXPECT_FALSE(it.result == RequestResult::kNotRun &&
                     starts.contains(ToString(it.id)))
            << ToString(it.id) << " was started and reported as not run";
      }
    }
  }

  void EndAnyTask() {
    FakeBackend& backend = ServerOf(AnyNode());
    if (!backend.running.empty()) {
      auto it = backend.running.begin();
      std::advance(it, random() % backend.running.size());
      backend.End(it->first, TaskEventKind::kFinished, "x");
    }
  }

  void StopAny() {
    const JobId job("j" + std::to_string(1 + random() % (number + 1)));
    const StopReason reasons[] = {StopReason::kCancelled,
                                  StopReason::kPreempted,
                                  StopReason::kSuperseded};
    cluster.SendTo(AnyNode(), StopJob{{job, 1}, reasons[random() % 3]});
  }

  // The agent loses its reservations; its tasks keep running.
  void ReplaceAgent(std::size_t i) {
    TestCluster::Node& node = cluster.nodes[i];
    cluster.BreakLinks(i);
    node.options.self.incarnation = Incarnation{random()};
    node.state = MakeState(node.options, cluster.NodeNow(i));
    node.next = {};
    cluster.ConnectEntry(i);
    for (auto& [attempt, agents] : members) {
      agents.erase(i);
    }
  }

  void InjectFault() {
    const std::size_t i = AnyNode();
    TestCluster::Node& node = cluster.nodes[i];
    switch (random() % 7) {
      case 0:
        node.paused = !node.paused;
        return;
      case 1:
        cluster.BreakLinks(i);
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
      case 5:
        ReplaceAgent(i);
        return;
      default:
        StopAny();
    }
  }

  void Heal() {
    faults = false;
    for (TestCluster::Node& node : cluster.nodes) {
      node.paused = false;
      node.backend.reachable = true;
    }
  }

  std::vector<std::pair<std::size_t, StartRequest>> sent;
  std::uint64_t live_number = 0;
  std::mt19937 random;
  std::uint32_t loss_percent = 10;
  std::uint32_t number = 0;
  bool faults = true;
};

// Guards against combinations of faults that let one member compute without
// another, assign an accelerator to two tasks, never release accelerators,
// start a live request twice, or start one that was reported as not run.
TEST_F(GangFaultsTest, InvariantsHoldAndEverythingIsReleased) {
  for (std::uint32_t seed = 1; seed <= 60 && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    faults = true;
    Prepare(seed);
    for (int i = 0; i < 1200; ++i) {
      if (Chance(5)) {
        ProposeAny();
      }
      if (Chance(3)) {
        InjectFault();
      }
      if (Chance(20)) {
        SendLive();
        RepeatOrResolve();
      }
      if (Chance(10)) {
        EndAnyTask();
      }
      cluster.Tick();
    }
    Heal();
    for (std::uint32_t n = 1; n <= number; ++n) {
      for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
        cluster.SendTo(i, StopJob{{JobId("j" + std::to_string(n)), 1}});
      }
    }
    cluster.Run(Millis{20'000});
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
      ServerOf(i).EndAll(TaskEventKind::kFinished, "x");
    }
    cluster.Run(Millis{200});
    EXPECT_TRUE(AllFree());
    CheckRequests();
  }
}

// Guards against a member that handles a repeated or reordered message as a new
// one.
TEST_F(GangFaultsTest, RepeatedAndOvertakenMessagesAreHarmless) {
  Prepare(1);
  faults = false;
  std::vector<Message> old;
  cluster.drop = [&](std::size_t, std::size_t to, const Message& message) {
    if (to == 1) {
      old.push_back(message);
    }
    return false;
  };
  Propose(MakeProposal("j", 1, {0, 1}));
  cluster.Run(Millis{3000});
  ASSERT_EQ(RunningTasks(), 2U);
  for (int i = 0; i < 40; ++i) {
    for (auto it = old.rbegin(); it != old.rend(); ++it) {
      cluster.SendTo(1, *it);
    }
    cluster.Run(Millis{250});
  }
  EXPECT_EQ(RunningTasks(), 2U);
  EXPECT_EQ(ServerOf(1).started.size(), 1U);
  cluster.SendTo(0, StopJob{{JobId("j"), 1}});
  cluster.Run(Millis{1000});
  EXPECT_TRUE(AllFree());
  for (const Message& message : old) {
    cluster.SendTo(1, message);
  }
  cluster.Run(Millis{1000});
  EXPECT_TRUE(AllFree());
}

// Guards against a member that computes under a permission counted on the clock
// of a former incarnation.
TEST_F(GangFaultsTest, AFormerIncarnationsPermissionStartsNothing) {
  for (const Millis step : {Millis{-600'000}, Millis{-1000}, Millis{1000}}) {
    Prepare(1);
    faults = false;
    std::vector<Message> old;
    cluster.drop = [&](std::size_t, std::size_t to, const Message& message) {
      if (to == 1) {
        old.push_back(message);
      }
      return false;
    };
    Propose(MakeProposal("j", 1, {0, 1}));
    cluster.Run(Millis{3000});
    ASSERT_EQ(RunningTasks(), 2U);
    const std::vector<Message> late = old;
    cluster.LosePower(1, step);
    members["j/1"].erase(1);  // The former agent's hold ended with it.
    cluster.Tick();
    ASSERT_EQ(ServerOf(1).started.size(), 1U);
    // Before the attempt ends, so that a clock one second behind matters.
    for (const Message& message : late) {
      cluster.SendTo(1, message);
    }
    cluster.Run(Millis{500});
    EXPECT_EQ(ServerOf(1).started.size(), 1U) << step.count();
  }
}

// Shows that the invariant check notices members that compute without regard
// to the permission of their coordinator.
TEST_F(GangFaultsTest, CheckCatchesAMissingRunUntil) {
  Prepare(1);
  faults = false;
  for (std::size_t i = 0; i < 3; ++i) {
    StateOf(i).options.guards.run_until = false;
  }
  bool overlap = false;
  cluster.after_tick = [&] {
    overlap = overlap || (!ServerOf(2).running.empty() &&
                          StateOf(1).gangs.members.empty());
  };
  Propose(MakeProposal("j", 1, {0, 1, 2}));
  cluster.Run(Millis{2000});
  ASSERT_EQ(RunningTasks(), 3U);
  cluster.drop = [](std::size_t from, std::size_t to, const Message&) {
    return from == 2 || to == 2;
  };
  cluster.Run(Millis{9000});
  EXPECT_TRUE(overlap);
}

}  // namespace
}  // namespace shallotlug::agent
