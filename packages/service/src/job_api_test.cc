#include "job_api.h"

#include <optional>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>

#include "clocks.h"
#include "shallotlug/net/role_loop.h"

namespace shallotlug::service {
namespace {

using net::ExchangeId;
using net::HttpRequest;
using net::HttpResponse;
using net::HttpServer;

// Answers every request with a fixed status or drops the connection.
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
  bool drops = false;       // Reads the request and closes the connection.
  bool drops_next = false;  // As above, for one request.
  std::vector<HttpRequest> requests;

 private:
  void Answer(ExchangeId id) {
    if (drops || std::exchange(drops_next, false)) {
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
    records.emplace(context, store.Address(), joblog::StoreLimits{});
    api.emplace(JobApiState{ledger, policy, *records, counters, histograms,
                            peers, [this] { return current_at; },
                            [this](const std::function<void()>& handler) {
                              refreshed();
                              handler();
                            },
                            [this](const std::function<void(bool)>& handler) {
                              if (log_readable) {
                                refreshed();
                              }
                              handler(log_readable);
                            },
                            [this] { return store_available; },
                            [this] { return store_unavailable_for; }});
  }

  void AddPeer(const std::string& name, const std::string& address) {
    ledger.entries[EntryName(name)] = {EntryName(name), address, {}};
  }

  // Runs the event loop until the response.
  HttpResponse Call(const std::string& method, const std::string& body) {
    HttpRequest request;
    request.method = method;
    request.target = "/live/0123456789abcdef";
    request.host = "host.example";
    request.authorization = "Bearer key";
    request.body = body;
    std::optional<HttpResponse> response;
    context.restart();
    api->Handle(request, [&](HttpResponse it) {
      response = std::move(it);
      context.stop();
    });
    if (!response) {
      context.run();
    }
    return *response;
  }

  HttpResponse Submit() {
    return Call("POST", R"({"spec":"x","steps":[{"count":1,"gpu":1}]})");
  }

  HttpResponse Cancel() { return Call("DELETE", ""); }

  void AddJob() {
    workload::JobEntry& entry = ledger.jobs[JobId("0123456789abcdef")];
    entry.job.emplace();
    entry.job->queue = "live";
    entry.job->steps.emplace_back();
  }

  /// @brief The log holds the cancel of a job that is not in it.
  void CancelEarly(const std::string& job, workload::WallTime stated_at) {
    const workload::RawRecord record =
        workload::Encode(workload::JobCancelled{JobId(job), stated_at});
    Apply(ledger, record.key, record.value, ++offset);
  }

  boost::asio::io_context context;
  Server store;
  Server first;
  Server second;
  workload::Ledger ledger;
  std::uint64_t offset = 0;  // Of the last record of CancelEarly().
  workload::Policy policy;
  CounterTable counters;
  HistogramTable histograms;
  PeerRelay peers{context, EntryName("self"), ledger, policy};
  std::optional<TimePoint> current_at = net::ReadClock();
  std::function<void()> refreshed = [] {};  // What a read of the log brings.
  bool log_readable = true;
  bool store_available = true;
  Millis store_unavailable_for{0};
  std::optional<RecordQueue> records;
  std::optional<JobApi> api;
};

TEST_F(JobApiTest, StoresJobLocally) {
  EXPECT_EQ(Submit().status, 200);
  EXPECT_EQ(store.requests.size(), 1U);
  EXPECT_TRUE(first.requests.empty());
}

// Guards against refusing a job although the store refuses only this entry and
// a peer could store it.
// Guards against a job that the store never takes and that is sent again and
// again, by this entry, its peers and its caller.
TEST_F(JobApiTest, RejectsAJobThatTheStoreDoesNotTake) {
  constexpr int kSteps = 5'000;
  std::string body = R"({"spec":"x","steps":[)";
  for (int n = 0; n < kSteps; ++n) {
    body += std::string(n > 0 ? "," : "") + R"({"count":1,"gpu":1})";
  }
  const HttpResponse response = Call("POST", body + "]}");
  EXPECT_EQ(response.status, 400);
  EXPECT_NE(response.body.find("job_too_large"), std::string::npos);
  EXPECT_TRUE(store.requests.empty());
  EXPECT_TRUE(first.requests.empty());
}

TEST_F(JobApiTest, ForwardsJobRefusedByStore) {
  store.status = 503;
  EXPECT_EQ(Submit().status, 200);
  ASSERT_EQ(first.requests.size(), 1U);
  EXPECT_EQ(first.requests[0].host, "host.example");
  EXPECT_EQ(first.requests[0].authorization, "Bearer key");
  EXPECT_EQ(first.requests[0].target, "/1/live/0123456789abcdef");
}

TEST_F(JobApiTest, ForwardsWithoutAppendWhileStoreUnavailable) {
  store_available = false;
  EXPECT_EQ(Submit().status, 200);
  EXPECT_TRUE(store.requests.empty());
}

TEST_F(JobApiTest, SkipsPeersThatAnswerNotRun) {
  store_available = false;
  first.status = 503;
  EXPECT_EQ(Submit().status, 200);
  EXPECT_EQ(first.requests.size(), 1U);
  EXPECT_EQ(second.requests.size(), 1U);
}

// Guards against running a job that its caller was told is rejected: the API
// key was revoked after an append of unknown outcome and before the peer
// answered.
TEST_F(JobApiTest, DoesNotReturnPeerRejectionAfterUnknownOutcome) {
  store.drops = true;
  first.status = 401;
  second.status = 401;
  EXPECT_EQ(Submit().status, 504);
}

TEST_F(JobApiTest, ReturnsPeerSuccessAfterUnknownOutcome) {
  store.drops = true;
  EXPECT_EQ(Submit().status, 200);
}

// Guards against every caller waiting in turn for a peer that is unreachable.
TEST_F(JobApiTest, BacksOffFromUnreachablePeer) {
  store_available = false;
  store.status = 503;
  first.drops = true;
  second.status = 503;
  EXPECT_EQ(Submit().status, 504);
  EXPECT_EQ(Submit().status, 503);
  EXPECT_EQ(first.requests.size(), 1U);
}

// Guards against an answer of unknown outcome, after which the caller cannot
// repeat its request, while the store is down for all entries.
TEST_F(JobApiTest, RefusesJobWithoutAppendWhileTheStoreIsDown) {
  store_available = false;
  store_unavailable_for = Millis(500);
  store.drops = true;
  first.status = 503;
  second.status = 503;
  const HttpResponse response = Submit();
  EXPECT_EQ(response.status, 503);
  EXPECT_FALSE(response.headers.empty());
  EXPECT_TRUE(store.requests.empty());
}

// Guards against requests that each go through all entries, dozens of them,
// while the store is down.
TEST_F(JobApiTest, AsksAFewPeersOnly) {
  constexpr std::size_t kFew = 16;
  for (int n = 0; n < 30; ++n) {
    AddPeer("f" + std::to_string(n), first.Address());
  }
  store_available = false;
  store_unavailable_for = Millis(500);
  first.status = 503;
  second.status = 503;
  EXPECT_EQ(Submit().status, 503);
  EXPECT_LE(first.requests.size() + second.requests.size(), kFew);
}

// Guards against reporting "not run" for a job that a peer may have stored.
TEST_F(JobApiTest, ReportsUnknownOutcomeWhenPeerDoesNotAnswer) {
  store_available = false;
  first.drops = true;
  second.status = 503;
  EXPECT_EQ(Submit().status, 504);
}

// As above, when the connection to the peer was kept from an earlier request,
// and the peer would refuse a second copy of this one.
TEST_F(JobApiTest, ReportsUnknownOutcomeWhenAPeerEndsAKeptConnection) {
  store_available = false;
  second.status = 503;
  ASSERT_EQ(Submit().status, 200);
  first.drops_next = true;
  first.status = 503;
  EXPECT_EQ(Submit().status, 504);
}

TEST_F(JobApiTest, RefusesJobThatNoEntryCanStore) {
  store.status = 503;
  first.status = 503;
  second.status = 503;
  const HttpResponse response = Submit();
  EXPECT_EQ(response.status, 503);
  EXPECT_FALSE(response.headers.empty());
}

// Guards against a caller that learns of the end of its job late, because its
// entry has not read the newest records.
TEST_F(JobApiTest, ReadsTheLogBeforeItReportsAnOpenState) {
  AddJob();
  workload::JobEntry& entry = ledger.jobs[JobId("0123456789abcdef")];
  refreshed = [&] {
    workload::Progress done = workload::MakeProgress(*entry.job);
    done.outcome = workload::Outcome::kCompleted;
    entry.occurrences[0] = done;
  };
  HttpRequest request;
  request.method = "GET";
  request.target = "/live/0123456789abcdef";
  request.host = "host.example";
  std::string body;
  api->Handle(request, [&](const HttpResponse& it) { body = it.body; });
  EXPECT_NE(body.find("completed"), std::string::npos) << body;
}

// Guards against "no such job" for a job that another entry has accepted a
// moment ago: its caller stops cancelling it, and it runs on.
TEST_F(JobApiTest, CancelsAJobThatWasAcceptedElsewhere) {
  refreshed = [this] { AddJob(); };
  EXPECT_EQ(Cancel().status, 200);
  ASSERT_EQ(store.requests.size(), 1U);
  EXPECT_NE(store.requests[0].body.find("c/0123456789abcdef"),
            std::string::npos);
}

TEST_F(JobApiTest, KnowsNoJobToCancelOnlyAfterReadingTheLog) {
  EXPECT_EQ(Cancel().status, 410);
  log_readable = false;
  first.status = 503;
  second.status = 503;
  EXPECT_EQ(Cancel().status, 503);
}

// Guards against a job that runs although its cancel was acknowledged: its
// submission was on its way to the log, and was stored later.
TEST_F(JobApiTest, RecordsTheCancelOfAJobThatIsNotInTheLog) {
  EXPECT_EQ(Cancel().status, 410);
  ASSERT_EQ(store.requests.size(), 1U);
  EXPECT_NE(store.requests[0].body.find("c/0123456789abcdef"),
            std::string::npos);
}

TEST_F(JobApiTest, AcknowledgesNoCancelOfAnUnknownJobBeforeItIsStored) {
  first.status = 503;
  second.status = 503;
  store.status = 503;
  EXPECT_EQ(Cancel().status, 503);
  store.drops = true;
  EXPECT_EQ(Cancel().status, 504);
}

// Guards against a cancel whose acknowledgement by another entry is kept from
// the caller, who repeats it in vain.
TEST_F(JobApiTest, ReturnsAPeersAcknowledgementOfACancelAfterUnknownOutcome) {
  store.drops = true;
  first.status = 410;
  EXPECT_EQ(Cancel().status, 410);
}

// Guards against a log that grows with each repetition of a cancel.
TEST_F(JobApiTest, RecordsARepeatedCancelOfAnUnknownJobOnce) {
  CancelEarly("0123456789abcdef", ReadBothClocks().wall);
  EXPECT_EQ(Cancel().status, 410);
  EXPECT_TRUE(store.requests.empty());
}

// Guards against the memory and the records that cancels of made-up ids take.
TEST_F(JobApiTest, RefusesCancelsOfUnknownJobsBeyondTheirLimit) {
  const workload::WallTime now = ReadBothClocks().wall;
  for (std::size_t n = 0; n < workload::kMaxEarlyCancels; ++n) {
    CancelEarly("made-up-" + std::to_string(n), now);
  }
  first.status = 503;
  second.status = 503;
  const HttpResponse response = Cancel();
  EXPECT_EQ(response.status, 503);
  EXPECT_FALSE(response.headers.empty());
  EXPECT_TRUE(store.requests.empty());
  // One of them is past its time.
  CancelEarly("made-up-0", now - workload::kEarlyCancelRetention);
  EXPECT_EQ(Cancel().status, 410);
}

// Guards against a caller that is refused its job without end, and against one
// that asks for the state of an accepted job in vain.
TEST_F(JobApiTest, StoresAJobThatWasCancelledBefore) {
  CancelEarly("0123456789abcdef", ReadBothClocks().wall);
  EXPECT_EQ(Call("GET", "").status, 410);
  EXPECT_EQ(Submit().status, 200);
  ASSERT_EQ(store.requests.size(), 1U);
  EXPECT_NE(store.requests[0].body.find("j/0123456789abcdef"),
            std::string::npos);
}

// Guards against a caller seeing a configuration take effect and then revert
// because two entries with different versions served its requests.
TEST_F(JobApiTest, NeverServesOlderConfigurationThanPeer) {
  store_available = false;
  first.policy = 7;
  EXPECT_EQ(Submit().status, 200);
  first.status = 503;
  second.status = 503;
  store_available = true;
  EXPECT_EQ(Submit().status, 503);
  EXPECT_EQ(first.requests.back().target, "/7/live/0123456789abcdef");
  policy.version = 7;
  EXPECT_EQ(Submit().status, 200);
}

TEST_F(JobApiTest, RefusesPeerWithNewerConfiguration) {
  HttpRequest request;
  request.method = "GET";
  request.target = "/2/live/";
  request.host = "host.example";
  int status = 0;
  api->HandleForPeer(request,
                     [&](const HttpResponse& it) { status = it.status; });
  EXPECT_EQ(status, 503);
}

// Guards against forwarding loops between entries that cannot reach the store.
TEST_F(JobApiTest, DoesNotForwardForwardedRequests) {
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
