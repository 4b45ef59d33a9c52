#ifndef SHALLOTLUG_AGENT_SRC_TEST_GANGS_H_
#define SHALLOTLUG_AGENT_SRC_TEST_GANGS_H_

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

#include "log.h"
#include "test_cluster.h"

namespace shallotlug::agent {

/// @brief Agents that run gangs. After every tick it checks that no member
/// computes while another has released its accelerators, and that no
/// accelerator computes for two tasks.
class GangTest : public ::testing::Test {
 protected:
  GangTest() : cluster(3) {
    cluster.after_tick = [this] { CheckInvariants(); };
  }

  ProposeJob MakeProposal(const std::string& job,
                          std::uint32_t number,
                          const std::vector<std::size_t>& agents,
                          AcceleratorMask mask = 0xFF) {
    ProposeJob proposal;
    proposal.attempt = {JobId(job), number};
    proposal.spec.id = proposal.attempt.job;
    proposal.spec.shape.tasks = static_cast<int>(agents.size());
    proposal.spec.checkpointable = true;
    proposal.spec.body = ToText(proposal.attempt);
    for (const std::size_t i : agents) {
      proposal.members.push_back(
          {cluster.nodes[i].options.self, TestCluster::Address(i), {mask}});
    }
    return proposal;
  }

  void Propose(const ProposeJob& proposal) {
    const AgentName& name = proposal.members.front().agent.name;
    cluster.SendTo(static_cast<std::size_t>(name.value[1] - '0'), proposal);
  }

  FakeBackend& ServerOf(std::size_t i) { return cluster.nodes[i].backend; }
  State& StateOf(std::size_t i) { return *cluster.nodes[i].state; }

  std::size_t RunningTasks() const {
    std::size_t n = 0;
    for (const auto& node : cluster.nodes) {
      n += node.backend.running.size();
    }
    return n;
  }

  bool AllFree() {
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
      if (!StateOf(i).gangs.members.empty() ||
          !StateOf(i).backend.tasks.empty()) {
        return false;
      }
    }
    return RunningTasks() == 0;
  }

  /// @brief The last update of an attempt that a coordinator sent since the
  /// last call; kReserving when there is none.
  JobUpdate LastUpdate(std::size_t i, const std::string& job = "j") {
    JobUpdate last;
    for (const JobUpdate& update : cluster.Take<JobUpdate>(i)) {
      if (update.attempt.job.value == job) {
        last = update;
      }
    }
    return last;
  }

  void StartGang(const std::vector<std::size_t>& agents = {0, 1, 2}) {
    cluster.Start();
    Propose(MakeProposal("j", 1, agents));
    cluster.Run(Millis{2000});
    ASSERT_EQ(RunningTasks(), agents.size());
  }

  void CheckInvariants() {
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
      RecordMembers(i);
    }
    for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
      CheckNode(i);
    }
  }

  TestCluster cluster;
  std::map<std::string, std::set<std::size_t>> members;

 private:
  void RecordMembers(std::size_t i) {
    if (cluster.nodes[i].dead) {
      return;
    }
    for (const auto& [attempt, member] : StateOf(i).gangs.members) {
      members[ToText(attempt)].insert(i);
    }
  }

  void CheckNode(std::size_t i) {
    AcceleratorMask used = 0;
    for (const auto& [id, it] : ServerOf(i).running) {
      if (!it.throttled) {
        EXPECT_EQ(used & it.start.accelerators, 0U)
            << "accelerator used by two tasks";
        used |= it.start.accelerators;
      }
      if (!it.start.live) {
        CheckReservedOnAllMembers(it.start.body);
      }
    }
  }

  void CheckReservedOnAllMembers(const std::string& attempt) {
    for (const std::size_t j : members[attempt]) {
      if (cluster.nodes[j].dead) {
        continue;
      }
      bool held = false;
      for (const auto& [other, member] : StateOf(j).gangs.members) {
        held = held || ToText(other) == attempt;
      }
      EXPECT_TRUE(held) << attempt << " released at a" << j << " at "
                        << cluster.now.time_since_epoch().count();
    }
  }
};

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_TEST_GANGS_H_
