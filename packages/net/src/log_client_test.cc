#include "log_client.h"

#include <optional>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "shallotlug/net/http_server.h"

namespace shallotlug::net {
namespace {

using stream::AppendOutcome;

constexpr Millis kAppendTimeout{300};

class LogClientTest : public testing::Test {
 protected:
  void SetUp() override {
    HttpServerOptions http;
    http.address = "127.0.0.1:0";
    server.emplace(
        HttpServer::Listen(context, http,
                           {[this](ExchangeId id, HttpRequest request) {
                              requests.push_back(std::move(request));
                              Answer(id);
                            },
                            {},
                            {}})
            .value());
    LogClientOptions options;
    options.address = server->Address();
    options.append_timeout = kAppendTimeout;
    options.read_timeout = Millis(100);
    client.emplace(context, options,
                   LogClientHandlers{[this](stream::LogReadResult it) {
                                       reads.push_back(std::move(it));
                                     },
                                     [this](stream::LogAppendResult it) {
                                       appends.push_back(it);
                                     }});
  }

  void Answer(ExchangeId id) {
    if (abort) {
      server->Abort(id);
    } else if (status != 0) {
      HttpResponse response;
      response.status = status;
      response.body = body;
      server->Reply(id, response);
    }
  }

  AppendOutcome AppendOne() {
    appends.clear();
    client->Append({7, "s", {{"a", "x"}}});
    RunUntil([this] { return !appends.empty(); });
    EXPECT_EQ(appends.at(0).token, 7U);
    return appends.at(0).outcome;
  }

  template <class Condition>
  void RunUntil(Condition condition) {
    for (int n = 0; n < 10'000 && !condition(); ++n) {
      context.restart();
      context.run_for(Millis(1));
    }
  }

  boost::asio::io_context context;
  std::optional<HttpServer> server;
  std::optional<LogClient> client;
  std::vector<HttpRequest> requests;
  std::vector<stream::LogReadResult> reads;
  std::vector<stream::LogAppendResult> appends;
  int status = 200;  // 0: never answers.
  bool abort = false;
  std::string body = "{}";
};

// Guards against "not appended" for a record that may be in the stream: its
// owner would write it a second time, or report that nothing happened.
TEST_F(LogClientTest, ClaimsNotAppendedOnlyWithProof) {
  EXPECT_EQ(AppendOne(), AppendOutcome::kAppended);
  EXPECT_EQ(requests.at(0).body, R"({"records":[{"id":"a","data":"x"}]})");
  status = 400;
  EXPECT_EQ(AppendOne(), AppendOutcome::kNotAppended);
  status = 503;
  EXPECT_EQ(AppendOne(), AppendOutcome::kUnknown);
  status = 0;
  EXPECT_EQ(AppendOne(), AppendOutcome::kUnknown);
  abort = true;
  EXPECT_EQ(AppendOne(), AppendOutcome::kUnknown);
  server.reset();
  EXPECT_EQ(AppendOne(), AppendOutcome::kNotAppended);
}

// Guards against records of one stream that overtake each other, and against
// an append that was never sent but reads as unknown.
TEST_F(LogClientTest, SendsAppendsOfAStreamInTurn) {
  status = 0;
  client->Append({1, "s", {{"a", "x"}}});
  client->Append({2, "s", {{"b", "x"}}});
  RunUntil([this] { return requests.size() == 1; });
  // Both have waited for longer than an append may before the first is given
  // up, whatever the machine does meanwhile.
  std::this_thread::sleep_for(2 * kAppendTimeout);
  RunUntil([this] { return appends.size() == 2; });
  ASSERT_EQ(appends.size(), 2U);
  EXPECT_EQ(appends[0].token, 1U);
  EXPECT_EQ(appends[0].outcome, AppendOutcome::kUnknown);
  EXPECT_EQ(appends[1].token, 2U);
  EXPECT_EQ(appends[1].outcome, AppendOutcome::kNotAppended);
  EXPECT_EQ(requests.size(), 1U);
}

// Guards against an append that is dropped although it could still be sent.
TEST_F(LogClientTest, SendsAnAppendThatHasTimeLeft) {
  status = 0;
  client->Append({1, "s", {{"a", "x"}}});
  RunUntil([this] { return requests.size() == 1; });
  status = 200;
  std::this_thread::sleep_for(2 * kAppendTimeout);
  client->Append({2, "s", {{"b", "x"}}});
  RunUntil([this] { return appends.size() == 2; });
  ASSERT_EQ(appends.size(), 2U);
  EXPECT_EQ(appends[0].outcome, AppendOutcome::kUnknown);
  EXPECT_EQ(appends[1].outcome, AppendOutcome::kAppended);
  EXPECT_EQ(requests.size(), 2U);
}

// Guards against an answer of something else that is taken for a stream.
TEST_F(LogClientTest, ReadsOnlyWholeAnswers) {
  for (const char* bad :
       {"", "{}", "[]", R"({"start":0,"end":1,"records":[{"offset":0}]})",
        R"({"start":-1,"end":1,"records":[]})"}) {
    body = bad;
    reads.clear();
    client->Read({"s", 0});
    RunUntil([this] { return !reads.empty(); });
    EXPECT_FALSE(reads.at(0).ok) << bad;
    EXPECT_EQ(reads.at(0).stream, "s");
  }
  body =
      R"({"start":3,"end":5,"records":[{"offset":4,"id":"a","data":"\u0000"}]})";
  reads.clear();
  client->Read({"s", 4});
  RunUntil([this] { return !reads.empty(); });
  ASSERT_TRUE(reads.at(0).ok);
  EXPECT_EQ(reads[0].start, 3U);
  EXPECT_EQ(reads[0].end, 5U);
  ASSERT_EQ(reads[0].records.size(), 1U);
  EXPECT_EQ(reads[0].records[0].offset, 4U);
  EXPECT_EQ(reads[0].records[0].data, std::string(1, '\0'));
}

}  // namespace
}  // namespace shallotlug::net
