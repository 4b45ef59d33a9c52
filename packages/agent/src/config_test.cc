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
  ConfigTest() : cluster_(1) { cluster_.Start(); }

  void Take(const ConfigUpdate& update) {
    cluster_.SendTo(0, update);
    cluster_.Tick();
  }

  const Targets& targets() { return CurrentTargets(*cluster_.nodes[0].state); }

  TestCluster cluster_;
};

// Guards against a configuration that goes back.
TEST_F(ConfigTest, TakesOnlyNewerRevisions) {
  Take({0, 5, {MakeTarget("b", 4)}});
  Take({0, 4, {MakeTarget("a", 3)}});
  EXPECT_EQ(targets().revision, 5U);
  ASSERT_EQ(targets().entries.size(), 1U);
  EXPECT_EQ(targets().entries[0].version, 4U);
}

// Guards against a change that is applied to a revision it was not made for.
TEST_F(ConfigTest, TakesChangesOnlyWithoutAGap) {
  Take({0, 5, {MakeTarget("b", 4)}});
  Take({6, 8, {MakeTarget("a", 7)}});
  EXPECT_EQ(targets().revision, 5U);
  Take({5, 8, {MakeTarget("a", 7), MakeTarget("b", 6)}});
  EXPECT_EQ(targets().revision, 8U);
  ASSERT_EQ(targets().entries.size(), 2U);
  EXPECT_EQ(targets().entries[0].target.name.value, "a");
  EXPECT_EQ(targets().entries[1].version, 6U);
}

// Guards against an entry that stays behind during a log outage.
TEST_F(ConfigTest, ForwardsToEntriesThatAreBehind) {
  Take({0, 5, {MakeTarget("b", 4)}});
  cluster_.Take<ConfigUpdate>(0);
  cluster_.SendTo(0, EntryHello{{EntryName("e"), Incarnation{1}}, {}, 3, {}});
  cluster_.Tick();
  const auto updates = cluster_.Take<ConfigUpdate>(0);
  ASSERT_FALSE(updates.empty());
  EXPECT_EQ(updates[0].base_revision, 0U);
  EXPECT_EQ(updates[0].revision, 5U);
  EXPECT_EQ(updates[0].entries.size(), 1U);
  cluster_.Take<ConfigUpdate>(0);
}

// Guards against reports that hide the revision from entries.
TEST_F(ConfigTest, ReportsItsRevision) {
  Take({0, 5, {}});
  cluster_.Run(Millis{1100});
  EXPECT_EQ(cluster_.Take<AgentReport>(0).back().config_revision, 5U);
}

}  // namespace
}  // namespace shallotlug::agent
