#include "follow_loop.h"

#include <optional>
#include <vector>

#include <gtest/gtest.h>

#include "shallotlug/net/http_server.h"

namespace shallotlug::service {
namespace {

using net::ExchangeId;
using net::HttpRequest;
using net::HttpResponse;

// A page begins with the end and the first offset of the log, 8 bytes each, the
// most significant byte first.
constexpr std::size_t kHeaderBytes = 16;
constexpr std::size_t kLowByteOfEnd = 7;

// A page without records.
HttpResponse EmptyPage(char end_offset = 0) {
  HttpResponse response;
  response.body = std::string(kHeaderBytes, '\0');
  response.body[kLowByteOfEnd] = end_offset;
  return response;
}

// Reads a log that is empty. The test answers each read when it likes.
class FollowLoopTest : public testing::Test {
 protected:
  FollowLoopTest()
      : server(net::HttpServer::Listen(
                   context,
                   {.address = "127.0.0.1:0"},
                   {.on_request =
                        [this](ExchangeId id, const HttpRequest& it) {
                          OnRead(id, it);
                        },
                    .on_gone = {},
                    .on_rejected = {}})
                   .value()),
        loop(
            context,
            {server.Address(), "keyed.topic", Millis(300)},
            [](const joblog::StoredRecord&) {},
            [] {}) {
    loop.Start();
    WaitForRead();
  }

  void OnRead(ExchangeId id, const HttpRequest& request) {
    if (request.target.starts_with("/api/log-newest")) {
      HttpResponse response;
      response.body = R"({"items":[],"has_more":false,"end_offset":0})";
      server.Reply(id, std::move(response));
      return;
    }
    read = id;
    context.stop();
  }

  void WaitForRead() {
    context.restart();
    context.run();
  }

  /// @brief Answers the read and waits for the next one.
  void Answer(HttpResponse response) {
    server.Reply(*read, std::move(response));
    WaitForRead();
  }

  boost::asio::io_context context;
  std::optional<ExchangeId> read;
  net::HttpServer server;
  FollowLoop loop;
};

// Guards against an answer that was sent before a record was appended, and that
// arrives after the call: it does not show that the record is missing.
TEST_F(FollowLoopTest, ReadsToTheEndWithAReadThatIsSentAfterTheCall) {
  std::vector<bool> results;
  loop.ReadToEnd([&](bool current) { results.push_back(current); });
  Answer(EmptyPage());
  EXPECT_TRUE(results.empty());
  Answer(EmptyPage());
  EXPECT_EQ(results, std::vector<bool>{true});
}

// Guards against a page that ends before the log does.
TEST_F(FollowLoopTest, ReadsOnWhenAPageEndsBeforeTheLog) {
  Answer(EmptyPage());
  std::vector<bool> results;
  loop.ReadToEnd([&](bool current) { results.push_back(current); });
  Answer(EmptyPage(1));
  Answer(EmptyPage(1));
  EXPECT_TRUE(results.empty());
  Answer(EmptyPage());
  EXPECT_EQ(results, std::vector<bool>{true});
}

TEST_F(FollowLoopTest, TellsThatTheEndCannotBeRead) {
  Answer(EmptyPage());
  std::vector<bool> results;
  loop.ReadToEnd([&](bool current) { results.push_back(current); });
  Answer(EmptyPage());
  HttpResponse busy;
  busy.status = 503;
  Answer(std::move(busy));
  EXPECT_EQ(results, std::vector<bool>{false});
}

}  // namespace
}  // namespace shallotlug::service
