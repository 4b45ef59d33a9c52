#include <csignal>
#include <future>
#include <optional>

#include <gtest/gtest.h>
#include <boost/json/serialize.hpp>

#include "processes.h"
#include "shallotlug/standin/worker.h"

namespace shallotlug::apps {
namespace {

namespace json = boost::json;

constexpr Millis kTarget{60'000};

using Response = boost::outcome_v2::std_result<net::HttpResponse>;

// An installation whose first entry serves the class `match`.
class FailureTest : public testing::Test {
 protected:
  void Start(int entries, const std::string& http = "{}") {
    std::vector<std::string> seeds;
    for (int n = 0; n < entries; ++n) {
      entry.push_back(&installation.AddEntry(http));
      seeds.push_back(entry.back()->peers);
    }
    agent = &installation.AddAgent(seeds);
    for (const EntryProcess* it : entry) {
      ASSERT_TRUE(installation.WaitReady(*it)) << installation.LogOf(it->name);
    }
    ASSERT_TRUE(installation.SetLiveTarget(*entry[0], "match", kTarget));
    for (const EntryProcess* it : entry) {
      ASSERT_TRUE(installation.WaitServing(*it))
          << installation.LogOf(it->name) << installation.LogOf(agent->name);
    }
  }

  static std::string CallBody(const std::string& body) {
    return json::serialize(
        json::object{{"customer", "c"}, {"class", "match"}, {"body", body}});
  }

  static std::string Mint(const EntryProcess& at) {
    const auto response = Call(at.callers, "POST", "/v1/requests:mint",
                               R"({"customer":"c","class":"match"})");
    if (!response || response.value().status != 201) {
      return "";
    }
    return std::string(ParseBody(response.value().body).at("id").as_string());
  }

  static std::future<Response> SendAsync(const EntryProcess& at,
                                         const std::string& target,
                                         const std::string& body) {
    return std::async(std::launch::async, [&at, target, body] {
      return Call(at.callers, "POST", target, CallBody(body));
    });
  }

  bool WaitStarted(const std::string& body) const {
    return WaitFor([&] { return installation.Starts(*agent, body) > 0; });
  }

  static std::string DigestIn(const Response& response) {
    if (!response) {
      return response.error().message();
    }
    const json::value body = ParseBody(response.value().body);
    const bool has_digest =
        body.is_object() && body.as_object().contains("digest");
    return has_digest ? std::string(body.at("digest").as_string())
                      : response.value().body;
  }

  Installation installation;
  std::vector<EntryProcess*> entry;
  AgentProcess* agent = nullptr;
};

// Guards against a request that runs again, or is lost, when its entry dies and
// the caller repeats the id elsewhere (P3, P5).
TEST_F(FailureTest, AnIdSurvivesTheDeathOfItsEntry) {
  Start(2);
  const std::string body = R"({"run_ms":1500,"n":"kill"})";
  const std::string id = Mint(*entry[0]);
  ASSERT_FALSE(id.empty());
  auto first = SendAsync(*entry[0], "/v1/requests/" + id, body);
  ASSERT_TRUE(WaitStarted(body));
  entry[0]->process->Signal(SIGKILL);
  EXPECT_FALSE(first.get());
  const auto second =
      Call(entry[1]->callers, "POST", "/v1/requests/" + id, CallBody(body));
  EXPECT_EQ(DigestIn(second), standin::DigestOf(body));
  EXPECT_EQ(installation.Starts(*agent, body), 1U);
}

// Guards against a task that runs on without its agent, and against "not run"
// for a request that has started (P4).
TEST_F(FailureTest, AFrozenAgentLosesItsLeases) {
  Start(1);
  const std::string body = R"({"run_ms":30000,"n":"freeze"})";
  auto answer = SendAsync(*entry[0], "/v1/requests", body);
  ASSERT_TRUE(WaitStarted(body));
  agent->process->Signal(SIGSTOP);
  EXPECT_TRUE(
      WaitFor([&] { return !installation.History(*agent, "lapsed").empty(); }));
  agent->process->Signal(SIGCONT);
  const Response response = answer.get();
  ASSERT_TRUE(response) << response.error().message()
                        << installation.LogOf(entry[0]->name)
                        << installation.LogOf(agent->name);
  EXPECT_EQ(response.value().status, 504) << response.value().body;
  EXPECT_TRUE(installation.WaitServing(*entry[0]))
      << installation.LogOf(agent->name);
  EXPECT_EQ(installation.Starts(*agent, body), 1U);
}

// Guards against links that are dead without a sign: work must go on over a new
// connection, and the request in flight must not run twice.
TEST(SilentLinkTest, ASilentConnectionIsReplaced) {
  Installation installation;
  const EntryProcess& entry = installation.AddEntry();
  Proxy proxy(entry.peers);
  const AgentProcess& agent = installation.AddAgent({proxy.Address()});
  ASSERT_TRUE(installation.WaitReady(entry));
  ASSERT_TRUE(installation.SetLiveTarget(entry, "match", kTarget));
  ASSERT_TRUE(installation.WaitServing(entry));
  const std::string body = R"({"run_ms":1000,"n":"silent"})";
  auto answer = std::async(std::launch::async, [&] {
    return Call(entry.callers, "POST", "/v1/requests",
                json::serialize(json::object{{"customer", "c"},
                                             {"class", "match"},
                                             {"timeout_ms", 20'000},
                                             {"body", body}}));
  });
  ASSERT_TRUE(WaitFor([&] { return installation.Starts(agent, body) > 0; }));
  proxy.SilenceConnections();
  EXPECT_TRUE(WaitFor([&] {
    return Installation::Metric(agent.metrics,
                                "shallotlug_agent_links_closed_total",
                                "silent") > 0;
  }));
  EXPECT_TRUE(installation.WaitServing(entry));
  const Response response = answer.get();
  ASSERT_TRUE(response) << response.error().message();
  EXPECT_TRUE(response.value().status == 200 || response.value().status == 504)
      << response.value().status << response.value().body;
  EXPECT_EQ(installation.Starts(agent, body), 1U);
}

// Guards against an agent of another installation that gets work.
TEST_F(FailureTest, AnAgentWithAnotherKeyGetsNoWork) {
  Start(1);
  const AgentProcess& stranger =
      installation.AddAgent({entry[0]->peers}, "key of another installation");
  EXPECT_TRUE(WaitFor([&] {
    return Installation::Metric(stranger.metrics,
                                "shallotlug_link_handshakes_failed_total",
                                "wrong_key") > 0;
  }));
  EXPECT_EQ(
      Installation::Metric(stranger.metrics, "shallotlug_links_opened_total"),
      0);
  EXPECT_TRUE(installation.WaitServing(*entry[0]));
  EXPECT_TRUE(installation.History(stranger, "start").empty());
}

// Guards against bytes from elsewhere that stop or confuse an entry.
TEST_F(FailureTest, GarbageOnThePeerPortIsClosed) {
  Start(1);
  SendRaw(entry[0]->peers,
          "GET / HTTP/1.1\r\nHost: x\r\n\r\n" + std::string(100, 'x'), false);
  SendRaw(entry[0]->peers, std::string(4096, '\xff'), false);
  EXPECT_GE(Installation::Metric(entry[0]->metrics,
                                 "shallotlug_link_handshakes_failed_total",
                                 "garbage"),
            2);
  EXPECT_TRUE(installation.WaitServing(*entry[0]));
}

// Guards against a shutdown that interrupts a request in flight (P7) or accepts
// new ones.
TEST_F(FailureTest, AShutdownFinishesRequestsInFlight) {
  Start(1);
  const std::string body = R"({"run_ms":1500,"n":"drain"})";
  auto answer = SendAsync(*entry[0], "/v1/requests", body);
  ASSERT_TRUE(WaitStarted(body));
  entry[0]->process->Signal(SIGTERM);
  EXPECT_TRUE(WaitFor([&] {
    const auto ready = Call(entry[0]->metrics, "GET", "/readyz");
    return !ready || ready.value().status == 503;
  }));
  const auto late =
      Call(entry[0]->callers, "POST", "/v1/requests", CallBody("late"));
  if (late) {
    EXPECT_EQ(late.value().status, 503) << late.value().body;
  }
  EXPECT_EQ(DigestIn(answer.get()), standin::DigestOf(body));
  EXPECT_EQ(entry[0]->process->Wait(), 0);
  EXPECT_EQ(installation.Starts(*agent, "late"), 0U);
}

// Guards against an agent that drops its live request when it is replaced.
TEST_F(FailureTest, AnAgentFinishesItsRequestBeforeItExits) {
  Start(1);
  const std::string body = R"({"run_ms":1500,"n":"agent"})";
  auto answer = SendAsync(*entry[0], "/v1/requests", body);
  ASSERT_TRUE(WaitStarted(body));
  agent->process->Signal(SIGTERM);
  EXPECT_EQ(DigestIn(answer.get()), standin::DigestOf(body));
  EXPECT_EQ(agent->process->Wait(), 0);
}

// Guards against part of a body that runs as if it were whole (P3).
TEST_F(FailureTest, TruncatedAndSlowBodiesDoNotRun) {
  Start(1, R"({"read_timeout_ms":300})");
  const std::string body = CallBody("part");
  const std::string head =
      "POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: " +
      std::to_string(body.size() + 1) + "\r\n\r\n";
  const std::string truncated = SendRaw(entry[0]->callers, head + body, true);
  EXPECT_NE(truncated.find(" 400 "), std::string::npos) << truncated;
  const std::string slow = SendRaw(entry[0]->callers, head + body, false);
  EXPECT_NE(slow.find(" 408 "), std::string::npos) << slow;
  EXPECT_TRUE(installation.WaitServing(*entry[0]));
  EXPECT_EQ(installation.Starts(*agent, "part"), 0U);
}

// Guards against live work that depends on the log, and against a change that
// is answered as accepted, or as unknown, although it was never sent.
TEST_F(FailureTest, LiveWorkGoesOnWithoutTheLog) {
  Start(1);
  ASSERT_TRUE(Call(installation.LogControl(), "POST", "/control",
                   R"({"outage":"refuse"})"));
  const std::string body = R"({"n":"outage"})";
  EXPECT_EQ(
      DigestIn(Call(entry[0]->callers, "POST", "/v1/requests", CallBody(body))),
      standin::DigestOf(body));
  net::HttpFetchOptions change;
  change.address = entry[0]->operators;
  change.method = "PUT";
  change.target = "/v1/targets/other";
  change.bearer_token = installation.operator_token;
  change.timeout = kPatience;
  change.body =
      R"({"change_id":"x","base_version":0,"customer":"c","kind":"live",)"
      R"("finish_within_ms":100})";
  const Response refused = net::Fetch(change);
  ASSERT_TRUE(refused) << refused.error().message();
  EXPECT_EQ(refused.value().status, 503) << refused.value().body;
  ASSERT_TRUE(Call(installation.LogControl(), "POST", "/control",
                   R"({"outage":"none"})"));
  EXPECT_TRUE(installation.SetLiveTarget(*entry[0], "third", kTarget));
}

// Guards against a change that is lost or made twice when the answer of its
// append is lost.
TEST_F(FailureTest, AChangeSurvivesALostAnswerOfTheLog) {
  Start(1);
  ASSERT_TRUE(Call(installation.LogControl(), "POST", "/control",
                   R"({"lose_answers":1})"));
  EXPECT_TRUE(installation.SetLiveTarget(*entry[0], "other", kTarget));
}

// Guards against operators' calls without the token.
TEST_F(FailureTest, TheOperatorsListenerNeedsItsToken) {
  Start(1);
  for (const char* token : {"", "wrong token"}) {
    net::HttpFetchOptions options;
    options.address = entry[0]->operators;
    options.target = "/v1/targets";
    options.bearer_token = token;
    const Response response = net::Fetch(options);
    ASSERT_TRUE(response);
    EXPECT_EQ(response.value().status, 401) << response.value().body;
  }
}

}  // namespace
}  // namespace shallotlug::apps
