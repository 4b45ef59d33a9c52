#include <gtest/gtest.h>

#include "test_cluster.h"

namespace shallotlug::agent {
namespace {

VersionedTarget MakeTarget(const std::string& name, std::uint64_t version) {
  VersionedTarget target;
  target.target.name = ClassName(name);
  target.version = version;
  return target;
}

class ConfigTest : public ::testing::Test {
 protected:
  ConfigTest() : cluster(1) { cluster.Start(); }

  void Take(const ConfigUpdate& update) {
    cluster.SendTo(0, update);
    cluster.Tick();
  }

  const Targets& CurrentTargetsOf() {
    return CurrentTargets(*cluster.nodes[0].state);
  }

  TestCluster cluster;
};

// Guards against a configuration that goes back.
TEST_F(ConfigTest, TakesOnlyNewerRevisions) {
  Take({0, 5, {MakeTarget("b", 4)}});
  Take({0, 4, {MakeTarget("a", 3)}});
  EXPECT_EQ(CurrentTargetsOf().revision, 5U);
  ASSERT_EQ(CurrentTargetsOf().entries.size(), 1U);
  EXPECT_EQ(CurrentTargetsOf().entries[0].version, 4U);
}

// Guards against a change that is applied to a revision it was not made for.
TEST_F(ConfigTest, TakesChangesOnlyWithoutAGap) {
  Take({0, 5, {MakeTarget("b", 4)}});
  Take({6, 8, {MakeTarget("a", 7)}});
  EXPECT_EQ(CurrentTargetsOf().revision, 5U);
  Take({5, 8, {MakeTarget("a", 7), MakeTarget("b", 6)}});
  EXPECT_EQ(CurrentTargetsOf().revision, 8U);
  ASSERT_EQ(CurrentTargetsOf().entries.size(), 2U);
  EXPECT_EQ(CurrentTargetsOf().entries[0].target.name.value, "a");
  EXPECT_EQ(CurrentTargetsOf().entries[1].version, 6U);
}

// Guards against an entry that stays behind during a log outage.
TEST_F(ConfigTest, ForwardsToEntriesThatAreBehind) {
  Take({0, 5, {MakeTarget("b", 4)}});
  cluster.Take<ConfigUpdate>(0);
  cluster.SendTo(0, EntryHello{{EntryName("e"), Incarnation{1}}, {}, 3, {}});
  cluster.Tick();
  const auto updates = cluster.Take<ConfigUpdate>(0);
  ASSERT_FALSE(updates.empty());
  EXPECT_EQ(updates[0].base_revision, 0U);
  EXPECT_EQ(updates[0].revision, 5U);
  EXPECT_EQ(updates[0].entries.size(), 1U);
  cluster.Take<ConfigUpdate>(0);
}

// Guards against reports that hide the revision from entries.
TEST_F(ConfigTest, ReportsItsRevision) {
  Take({0, 5, {}});
  cluster.Run(Millis{1100});
  EXPECT_EQ(cluster.Take<AgentReport>(0).back().config_revision, 5U);
}

}  // namespace
}  // namespace shallotlug::agent
