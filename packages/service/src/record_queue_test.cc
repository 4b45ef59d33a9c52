#include "record_queue.h"

#include <map>
#include <string>
#include <utility>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>

#include "shallotlug/net/http_server.h"
#include "shallotlug/net/role_loop.h"

namespace shallotlug::service {
namespace {

using net::ExchangeId;
using net::HttpRequest;
using net::HttpResponse;

constexpr int kRecords = 40;
constexpr Millis kDeadline{60'000};

// A store that refuses each append with a record that it does not take.
class RecordQueueTest : public testing::Test {
 protected:
  RecordQueueTest()
      : server(std::move(
            net::HttpServer::Listen(
                context,
                {.address = "127.0.0.1:0"},
                {.on_request =
                     [this](ExchangeId id, const HttpRequest& request) {
                       Answer(id, request);
                     },
                 .on_gone = {},
                 .on_rejected = {}})
                .value())),
        queue(context, server.Address(), {}) {}

  void Answer(ExchangeId id, const HttpRequest& request) {
    ++appends;
    HttpResponse response;
    const bool refused = request.body.find("refused") != std::string::npos;
    response.status = refused ? 413 : 200;
    response.body = R"({"offset":1,"end_offset":2})";
    server.Reply(id, std::move(response));
  }

  void Append(const std::string& key) {
    queue.Append({key, "{}"}, net::ReadClock() + kDeadline,
                 [this, key](Stored stored) {
                   outcomes[key] = stored;
                   if (outcomes.size() == kRecords) {
                     context.stop();
                   }
                 });
  }

  boost::asio::io_context context;
  int appends = 0;
  std::map<std::string, Stored> outcomes;
  net::HttpServer server;
  RecordQueue queue;
};

// Guards against callers whose jobs are not accepted because the store refuses
// a record of another caller that is sent with theirs.
TEST_F(RecordQueueTest, ARefusedRecordFailsNoOthers) {
  for (int n = 0; n < kRecords; ++n) {
    Append(n == kRecords / 2 ? "refused" : "j/" + std::to_string(n));
  }
  context.run();
  for (const auto& [key, stored] : outcomes) {
    EXPECT_EQ(stored, key == "refused" ? Stored::kNo : Stored::kYes) << key;
  }
  EXPECT_LT(appends, kRecords);
}

}  // namespace
}  // namespace shallotlug::service
