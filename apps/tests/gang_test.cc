#include <array>
#include <csignal>

#include <gtest/gtest.h>
#include <boost/json/serialize.hpp>

#include "processes.h"

namespace shallotlug::apps {
namespace {

namespace json = boost::json;

// An installation with one entry and two workers.
class GangTest : public testing::Test {
 protected:
  void SetUp() override {
    entry = &installation.AddEntry();
    for (AgentProcess*& it : agents) {
      it = &installation.AddAgent({entry->peers});
    }
    ASSERT_TRUE(installation.WaitReady(*entry));
    ASSERT_TRUE(installation.SetBatchTarget(*entry, "sweep"));
    ASSERT_TRUE(WaitFor([this] { return Submit(); }));
  }

  // Submits a job that needs all accelerators of both workers.
  bool Submit() {
    const json::object job{{"key", "k"},
                           {"customer", "c"},
                           {"class", "sweep"},
                           {"tasks", 2},
                           {"accelerators_per_task", 8},
                           {"adjacency", "any"},
                           {"declared_run_time_ms", 3000},
                           {"repeatable", true},
                           {"body", kBody}};
    const auto response =
        Call(entry->callers, "POST", "/v1/jobs", json::serialize(job));
    if (!response || response.value().status / 100 != 2) {
      return false;
    }
    id = std::string(ParseBody(response.value().body).at("id").as_string());
    return true;
  }

  std::string State() const {
    const auto response = Call(entry->callers, "GET", "/v1/jobs/" + id);
    if (!response || response.value().status != 200) {
      return "";
    }
    return std::string(
        ParseBody(response.value().body).at("state").as_string());
  }

  std::size_t Starts() const {
    std::size_t count = 0;
    for (const AgentProcess* it : agents) {
      count += installation.Starts(*it, kBody);
    }
    return count;
  }

  static constexpr const char* kBody = R"({"run_ms":3000})";
  Installation installation;
  EntryProcess* entry = nullptr;
  std::array<AgentProcess*, 2> agents{};
  std::string id;
};

// Guards against a gang with only part of its accelerators (P2): both tasks
// start once and the job finishes.
TEST_F(GangTest, RunsAsAWhole) {
  EXPECT_TRUE(WaitFor([this] { return State() == "finished"; })) << State();
  EXPECT_EQ(Starts(), 2U);
}

// Guards against a gang that depends on the entry that planned it, and against
// one that starts again when no entry remembers it.
TEST_F(GangTest, SurvivesTheDeathOfEveryEntry) {
  ASSERT_TRUE(WaitFor([this] { return Starts() == 2; }));
  entry->process->Signal(SIGKILL);
  entry->process->Wait();
  ASSERT_TRUE(WaitFor([this] {
    return installation.History(*agents[0], "finished").size() == 1 &&
           installation.History(*agents[1], "finished").size() == 1;
  }));
  installation.StartAgain(*entry);
  EXPECT_TRUE(WaitFor([this] { return State() == "finished"; })) << State();
  EXPECT_EQ(Starts(), 2U);
}

}  // namespace
}  // namespace shallotlug::apps
