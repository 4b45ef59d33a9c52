#include "job_api.h"

#include <optional>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>

#include "shallotlug/net/role_loop.h"

namespace shallotlug::service {
namespace {

using net::ExchangeId;
using net::HttpRequest;
using net::HttpResponse;
using net::HttpServer;

// Answers every request with one status, or not at all.
class Server {
 public:
  explicit Server(boost::asio::io_context& context) {
    net::HttpServerOptions options;
    options.address = "127.0.0.1:0";
    server_.emplace(
        HttpServer::Listen(context, options,
                           {[this](ExchangeId id, HttpRequest request) {
                              requests.push_back(std::move(request));
                              Answer(id);
                            },
                            {},
                            {}})
            .value());
  }

  std::string Address() const { return server_->Address(); }

  int status = 200;
  std::string body = R"({"offset":1,"end_offset":2})";
  int policy = 1;
  bool drops = false;  // Reads the request and closes the connection.
  std::vector<HttpRequest> requests;

 private:
  void Answer(ExchangeId id) {
    if (drops) {
      server_->Abort(id);
      return;
    }
    HttpResponse response;
    response.status = status;
    response.body = body;
    response.headers.push_back({kPolicyHeader, std::to_string(policy)});
    server_->Reply(id, std::move(response));
  }

  std::optional<HttpServer> server_;
};

class JobApiTest : public testing::Test {
 protected:
  JobApiTest() : store(context), first(context), second(context) {
    workload::Queue queue;
    queue.name = "live";
    queue.host = "host.example";
    queue.path_prefix = "/live/";
    queue.open = true;
    policy.version = 1;
    policy.queues.push_back(queue);
    AddPeer("e1", first.Address());
    AddPeer("e2", second.Address());
    ledger.entries[EntryName("self")] = {EntryName("self"), "127.0.0.1:1", {}};
    records.emplace(context, store.Address());
    api.emplace(JobApiState{ledger, policy, *records, counters, histograms,
                            peers, [this] { return current_at; },
                            [this] { return store_answers; }});
  }

  void AddPeer(const std::string& name, const std::string& address) {
    ledger.entries[EntryName(name)] = {EntryName(name), address, {}};
  }

  // Runs until the answer.
  HttpResponse Submit() {
    HttpRequest request;
    request.method = "POST";
    request.target = "/live/0123456789abcdef";
    request.host = "host.example";
    request.authorization = "Bearer key";
    request.body = R"({"spec":"x","steps":[{"count":1,"gpu":1}]})";
    std::optional<HttpResponse> response;
    api->Handle(request, [&](HttpResponse it) {
      response = std::move(it);
      context.stop();
    });
    context.restart();
    context.run();
    return *response;
  }

  boost::asio::io_context context;
  Server store;
  Server first;
  Server second;
  workload::Ledger ledger;
  workload::Policy policy;
  CounterTable counters;
  HistogramTable histograms;
  PeerRelay peers{context, EntryName("self"), ledger, policy};
  std::optional<TimePoint> current_at = net::ReadClock();
  bool store_answers = true;
  std::optional<RecordQueue> records;
  std::optional<JobApi> api;
};

TEST_F(JobApiTest, StoresAJobItself) {
  EXPECT_EQ(Submit().status, 200);
  EXPECT_EQ(store.requests.size(), 1U);
  EXPECT_TRUE(first.requests.empty());
}

// Guards against jobs that are refused although only this entry is turned away
// by the store.
TEST_F(JobApiTest, HandsAJobOverThatItsStoreRefuses) {
  store.status = 503;
  EXPECT_EQ(Submit().status, 200);
  ASSERT_EQ(first.requests.size(), 1U);
  EXPECT_EQ(first.requests[0].host, "host.example");
  EXPECT_EQ(first.requests[0].authorization, "Bearer key");
  EXPECT_EQ(first.requests[0].target, "/1/live/0123456789abcdef");
}

TEST_F(JobApiTest, AsksAnotherEntryAtOnceWhileItsStoreIsLost) {
  store_answers = false;
  EXPECT_EQ(Submit().status, 200);
  EXPECT_TRUE(store.requests.empty());
}

TEST_F(JobApiTest, PassesOverPeersThatHaveNotRunIt) {
  store_answers = false;
  first.status = 503;
  EXPECT_EQ(Submit().status, 200);
  EXPECT_EQ(first.requests.size(), 1U);
  EXPECT_EQ(second.requests.size(), 1U);
}

// Guards against a job that runs although its caller was told otherwise: its
// key was taken away between an append without an answer and the peer's answer.
TEST_F(JobApiTest, DoesNotRejectWhatItMayHaveStored) {
  store.drops = true;
  first.status = 401;
  second.status = 401;
  EXPECT_EQ(Submit().status, 504);
}

TEST_F(JobApiTest, ConfirmsByAPeerWhatItMayHaveStored) {
  store.drops = true;
  EXPECT_EQ(Submit().status, 200);
}

// Guards against callers that wait for a peer that has gone, one after another.
TEST_F(JobApiTest, PassesOverASilentPeerOnceFound) {
  store_answers = false;
  store.status = 503;
  first.drops = true;
  second.status = 503;
  EXPECT_EQ(Submit().status, 504);
  EXPECT_EQ(Submit().status, 503);
  EXPECT_EQ(first.requests.size(), 1U);
}

// Guards against "not run" for a job that a peer may have stored.
TEST_F(JobApiTest, DoesNotRefuseWhatAPeerMayHaveStored) {
  store_answers = false;
  first.drops = true;
  second.status = 503;
  EXPECT_EQ(Submit().status, 504);
}

TEST_F(JobApiTest, RefusesWhatNoEntryCanStore) {
  store.status = 503;
  first.status = 503;
  second.status = 503;
  const HttpResponse response = Submit();
  EXPECT_EQ(response.status, 503);
  EXPECT_FALSE(response.headers.empty());
}

// Guards against a caller that sees a configuration come into force and then
// go back, because two entries have answered it.
TEST_F(JobApiTest, NeverAnswersUnderAnOlderConfigurationThanAPeerHas) {
  store_answers = false;
  first.policy = 7;
  EXPECT_EQ(Submit().status, 200);
  first.status = 503;
  second.status = 503;
  store_answers = true;
  EXPECT_EQ(Submit().status, 503);
  EXPECT_EQ(first.requests.back().target, "/7/live/0123456789abcdef");
  policy.version = 7;
  EXPECT_EQ(Submit().status, 200);
}

TEST_F(JobApiTest, RefusesAPeerThatIsAhead) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/2/live/";
  request.host = "host.example";
  int status = 0;
  api->HandleForPeer(request,
                     [&](const HttpResponse& it) { status = it.status; });
  EXPECT_EQ(status, 503);
}

// Guards against requests that go round between entries without a store.
TEST_F(JobApiTest, HandsOverNothingThatWasHandedOver) {
  store.status = 503;
  HttpRequest request;
  request.method = "POST";
  request.target = "/1/live/0123456789abcdef";
  request.host = "host.example";
  request.body = R"({"spec":"x","steps":[{"count":1}]})";
  int status = 0;
  api->HandleForPeer(request, [&](const HttpResponse& it) {
    status = it.status;
    context.stop();
  });
  context.restart();
  context.run();
  EXPECT_EQ(status, 503);
  EXPECT_TRUE(first.requests.empty());
  EXPECT_TRUE(second.requests.empty());
}

}  // namespace
}  // namespace shallotlug::service
