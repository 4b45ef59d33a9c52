#include "shallotlug/standin/log_service.h"

#include <thread>

#include <gtest/gtest.h>

#include "shallotlug/net/http_fetch.h"

namespace shallotlug::standin {
namespace {

using net::Fetch;
using net::FetchError;
using net::HttpFetchOptions;

class LogServiceTest : public testing::Test {
 protected:
  void SetUp() override {
    LogServiceOptions options;
    options.listen = "127.0.0.1:0";
    options.control = "127.0.0.1:0";
    service.emplace(LogService::Listen(context, options).value());
    address = service->Address();
    control = service->ControlAddress();
    thread = std::thread([this] { context.run(); });
  }

  void TearDown() override {
    context.stop();
    thread.join();
  }

  static boost::outcome_v2::std_result<net::HttpResponse> Send(
      const std::string& to,
      const std::string& method,
      const std::string& target,
      const std::string& body) {
    HttpFetchOptions options;
    options.address = to;
    options.method = method;
    options.target = target;
    options.body = body;
    return Fetch(options);
  }

  net::HttpResponse Control(const std::string& body) {
    return Send(control, "POST", "/control", body).value();
  }

  auto Append(const std::string& id) {
    return Send(address, "POST", "/v1/streams/s/records",
                R"({"records":[{"id":")" + id + R"(","data":"x"}]})");
  }

  std::string Read(const std::string& query) {
    return Send(address, "GET", "/v1/streams/s/records?" + query, "")
        .value()
        .body;
  }

  boost::asio::io_context context;
  std::optional<LogService> service;
  std::string address;
  std::string control;
  std::thread thread;
};

// Guards against offsets that move when retention drops records.
TEST_F(LogServiceTest, KeepsOffsetsThroughRetention) {
  EXPECT_EQ(Control(R"({"retain_records":1})").status, 200);
  ASSERT_TRUE(Append("a"));
  EXPECT_EQ(Append("b").value().body,
            "{\"first_offset\":1,\"last_offset\":1}\n");
  EXPECT_EQ(Read("from=0"), R"({"records":[{"offset":1,"id":"b","data":"x"}],)"
                            R"("start":1,"end":2})"
                            "\n");
}

// Guards against a stand-in whose lost answer also loses the append.
TEST_F(LogServiceTest, AppendsAlthoughTheAnswerIsLost) {
  Control(R"({"lose_answers":1})");
  EXPECT_EQ(Append("a").error(), FetchError::kOutcomeUnknown);
  EXPECT_NE(Read("from=0").find("\"a\""), std::string::npos);
}

// Guards against an outage that cannot be ended, or that loses records.
TEST_F(LogServiceTest, ComesBackAfterAnOutage) {
  ASSERT_TRUE(Append("a"));
  Control(R"({"outage":"refuse"})");
  EXPECT_EQ(Append("b").error(), FetchError::kNeverSent);
  Control(R"({"outage":"error"})");
  EXPECT_EQ(Append("b").value().status, 503);
  Control(R"({"outage":"none"})");
  EXPECT_EQ(Append("c").value().status, 200);
  EXPECT_NE(Read("from=1").find("\"c\""), std::string::npos);
}

// Guards against readers that only learn of a record at their next poll.
TEST_F(LogServiceTest, WakesAWaitingReader) {
  std::string body;
  std::thread reader([&] { body = Read("from=0&wait_ms=10000"); });
  ASSERT_TRUE(Append("a"));
  reader.join();
  EXPECT_NE(body.find("\"a\""), std::string::npos);
}

}  // namespace
}  // namespace shallotlug::standin
