#include "backend_client.h"

#include <optional>
#include <vector>

#include <gtest/gtest.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "shallotlug/net/http_server.h"

namespace shallotlug::net {
namespace {

namespace json = boost::json;
using agent::BackendReport;
using agent::TaskEventKind;

// A backend server whose answers the test chooses. A status poll waits until
// the test sends a report.
class BackendClientTest : public testing::Test {
 protected:
  void SetUp() override {
    HttpServerOptions http;
    http.address = "127.0.0.1:0";
    server.emplace(
        HttpServer::Listen(context, http,
                           {[this](ExchangeId id, const HttpRequest& request) {
                              if (request.target.starts_with("/v1/status")) {
                                polls.push_back(id);
                                poll_targets.push_back(request.target);
                              } else {
                                commands.push_back(request);
                                AnswerCommand(id);
                              }
                            },
                            {},
                            {}})
            .value());
    BackendClientOptions options;
    options.address = server->Address();
    options.retry_after = Millis(5);
    client.emplace(context, options, counters,
                   BackendClientHandlers{[this](BackendReport it) {
                                           reports.push_back(std::move(it));
                                         },
                                         [this] { ++unreachable; }});
    client->Start();
    SendReport(json::array(), json::array());
  }

  void AnswerCommand(ExchangeId id) {
    if (lost_answers > 0) {
      --lost_answers;
      server->Abort(id);
      return;
    }
    HttpResponse response;
    response.status = command_status;
    response.body = json::serialize(json::object{{"now", command_now},
                                                 {"incarnation", incarnation},
                                                 {"reason", "no_free_slot"}});
    server->Reply(id, response);
  }

  // Answers the poll under way.
  void SendReport(json::array tasks, json::array events) {
    RunUntil([this] { return !polls.empty(); });
    const std::size_t before = reports.size();
    HttpResponse response;
    response.body =
        json::serialize(json::object{{"now", 4},
                                     {"incarnation", incarnation},
                                     {"leaving", false},
                                     {"seq", ++sequence},
                                     {"tasks", std::move(tasks)},
                                     {"events", std::move(events)}});
    const ExchangeId poll = polls.back();
    polls.clear();
    server->Reply(poll, response);
    RunUntil([&] { return reports.size() > before || !polls.empty(); });
  }

  void StartTask() {
    client->Command(
        {reports.back().incarnation,
         agent::StartTask{
             TaskId("t"), true, 5, PeerTime(Millis(9)), {}, "b", ""}});
  }

  template <class Condition>
  void RunUntil(Condition condition) {
    for (int n = 0; n < 10'000 && !condition(); ++n) {
      context.restart();
      context.run_for(Millis(1));
    }
    EXPECT_TRUE(condition());
  }

  boost::asio::io_context context;
  CounterTable counters;
  std::optional<HttpServer> server;
  std::optional<BackendClient> client;
  std::vector<ExchangeId> polls;
  std::vector<std::string> poll_targets;
  std::vector<HttpRequest> commands;
  std::vector<BackendReport> reports;
  int unreachable = 0;
  int lost_answers = 0;
  int command_status = 201;
  int command_now = 5;
  std::uint64_t incarnation = 3;
  std::uint64_t sequence = 0;
};

// Guards against a task that reads as gone because the report under way was
// made before it started.
TEST_F(BackendClientTest, AReportUnderWayDoesNotEndANewTask) {
  StartTask();
  RunUntil([this] { return reports.size() == 2; });
  ASSERT_EQ(reports[1].events.size(), 1U);
  EXPECT_EQ(reports[1].events[0].kind, TaskEventKind::kStarted);
  EXPECT_EQ(reports[1].now, PeerTime(Millis(5)));
  SendReport({}, {});
  RunUntil([this] { return reports.size() == 3; });
  ASSERT_EQ(reports[2].usage.size(), 1U);
  EXPECT_EQ(reports[2].usage[0].accelerators, 5U);
  EXPECT_TRUE(reports[2].events.empty());
  // The next poll was sent after the start, so its word counts.
  SendReport({}, {});
  RunUntil([this] { return reports.size() == 4; });
  EXPECT_TRUE(reports[3].usage.empty());
}

// Guards against a finish that arrives before the start it belongs to.
TEST_F(BackendClientTest, AStartIsReportedBeforeItsEnd) {
  command_status = 500;  // The answer to the start stays away.
  StartTask();
  RunUntil([this] { return !commands.empty(); });
  SendReport({}, {json::object{{"task", "t"},
                               {"kind", "finished"},
                               {"answer", "x"},
                               {"answer_length", 1},
                               {"reason", ""}}});
  RunUntil([this] { return reports.size() == 2; });
  ASSERT_EQ(reports[1].events.size(), 2U);
  EXPECT_EQ(reports[1].events[0].kind, TaskEventKind::kStarted);
  EXPECT_EQ(reports[1].events[1].kind, TaskEventKind::kFinished);
  EXPECT_EQ(reports[1].events[1].answer, "x");
  command_status = 200;
  RunUntil([this] { return commands.size() > 1; });
  SendReport({}, {});
  RunUntil([this] { return reports.size() == 3; });
  EXPECT_TRUE(reports[2].events.empty());
  EXPECT_TRUE(reports[2].usage.empty());
}

// Guards against a command that is lost with its answer, and against a repeated
// start that a restarted backend server runs again.
TEST_F(BackendClientTest, RepeatsACommandForTheSameIncarnationOnly) {
  lost_answers = 1;
  StartTask();
  RunUntil([this] { return commands.size() >= 2; });
  for (const HttpRequest& it : commands) {
    EXPECT_EQ(json::parse(it.body).at("incarnation").to_number<int>(), 3);
    EXPECT_EQ(it.target, "/v1/tasks/t");
  }
  RunUntil([this] { return reports.size() == 2; });
  EXPECT_EQ(reports[1].events.at(0).kind, TaskEventKind::kStarted);
}

// Guards against a refused start that its owner waits for.
TEST_F(BackendClientTest, ReportsARejectedStartAtOnce) {
  command_status = 409;
  StartTask();
  RunUntil([this] { return reports.size() == 2; });
  ASSERT_EQ(reports[1].events.size(), 1U);
  EXPECT_EQ(reports[1].events[0].kind, TaskEventKind::kRejected);
  EXPECT_EQ(reports[1].events[0].reason, "no_free_slot");
  EXPECT_TRUE(reports[1].usage.empty());
}

// Guards against events that are skipped because a restarted backend server
// counts anew.
TEST_F(BackendClientTest, ReadsARestartedServerFromItsStart) {
  incarnation = 4;
  sequence = 0;
  SendReport({}, {});
  RunUntil([this] { return !polls.empty(); });
  EXPECT_EQ(reports.size(), 1U);
  EXPECT_NE(poll_targets.back().find("since=0"), std::string::npos);
  SendReport({}, {});
  RunUntil([this] { return reports.size() == 2; });
  EXPECT_EQ(reports[1].incarnation, 4U);
}

// Guards against a lease that was counted on the clock of a backend server that
// has restarted since, before the agent heard of it.
TEST_F(BackendClientTest, ANewServerGetsNoLeaseOfAFormerServersClock) {
  incarnation = 4;
  SendReport({}, {});
  RunUntil([this] { return !polls.empty(); });
  ASSERT_EQ(reports.size(), 1U);
  StartTask();
  SendReport({}, {});
  RunUntil([this] { return reports.size() >= 2; });
  EXPECT_TRUE(commands.empty());
}

// Guards against a task that reads as never started, and against a clock
// reading under the wrong incarnation, because its repeated start met the next
// server.
TEST_F(BackendClientTest, TheNextServersRefusalIsNoAnswerOfTheFormer) {
  lost_answers = 1;
  StartTask();
  RunUntil([this] { return commands.size() == 1; });
  incarnation = 4;
  command_status = 409;
  command_now = 9'000;
  RunUntil([this] { return commands.size() == 2; });
  for (int n = 0; n < 20; ++n) {
    context.restart();
    context.run_for(Millis(1));
  }
  EXPECT_EQ(reports.size(), 1U);
}

// Guards against one request for each of hundreds of renewals.
TEST_F(BackendClientTest, SendsRenewalsTogether) {
  for (int n = 0; n < 100; ++n) {
    client->Command(
        {reports.back().incarnation,
         agent::RenewLease{TaskId(std::to_string(n)), PeerTime(Millis(n))}});
  }
  RunUntil([this] { return commands.size() == 2; });
  EXPECT_EQ(json::parse(commands[1].body).at("leases").as_array().size(), 99U);
}

}  // namespace
}  // namespace shallotlug::net
