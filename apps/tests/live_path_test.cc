#include <gtest/gtest.h>

#include "processes.h"
#include "shallotlug/standin/worker.h"

namespace shallotlug::apps {
namespace {

// Guards against parts that each work but do not fit together: one request goes
// from HTTP through entry, agent and backend server and back.
TEST(LivePathTest, AnswersARequestThroughRealProcesses) {
  Installation installation;
  const EntryProcess& entry = installation.AddEntry();
  const AgentProcess& agent = installation.AddAgent({entry.peers});
  ASSERT_TRUE(installation.WaitReady(entry)) << installation.LogOf(entry.name);
  ASSERT_TRUE(installation.SetLiveTarget(entry, "match", Millis(5000)));
  ASSERT_TRUE(installation.WaitServing(entry))
      << installation.LogOf(entry.name) << installation.LogOf(agent.name);

  const auto response =
      Call(entry.callers, "POST", "/v1/requests",
           R"({"customer":"c","class":"match","body":"{\"run_ms\":20}"})");
  ASSERT_TRUE(response) << response.error().message();
  ASSERT_EQ(response.value().status, 200) << response.value().body;
  const auto answer = ParseBody(response.value().body);
  ASSERT_TRUE(answer.is_object()) << response.value().body;
  EXPECT_EQ(answer.at("digest").as_string(),
            standin::DigestOf(R"({"run_ms":20})"));
}

}  // namespace
}  // namespace shallotlug::apps
