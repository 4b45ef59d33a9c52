#include "peer_relay.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include "shallotlug/base/logging.h"
#include "shallotlug/net/role_loop.h"

namespace shallotlug::service {

using net::FetchError;
using net::FetchResult;
using net::HttpRequest;
using net::ReadClock;

namespace {

// Requests that are handed over at one time; beyond it callers are told to come
// back.
constexpr std::size_t kMaxRunning = 64;
// A peer that takes longer is cut off, or waits for the store itself.
constexpr Millis kPeerTimeout{700};
// A peer that has just said that it cannot help is not asked again for this
// long, and one that cannot be reached for longer: callers wait meanwhile.
constexpr Millis kAfterRefusal{200};
constexpr Millis kAfterSilence{3'000};
// The status of an answer that says that nothing was done.
constexpr int kUnavailable = 503;
constexpr std::string_view kRetryAfterHeader = "Retry-After";

net::HttpFetchOptions FetchOf(const HttpRequest& request,
                              std::int64_t least_policy) {
  net::HttpFetchOptions fetch;
  fetch.method = request.method;
  fetch.target = "/" + std::to_string(least_policy) + request.target;
  fetch.body = request.body;
  fetch.headers = {{"Host", request.host}};
  if (!request.authorization.empty()) {
    fetch.headers.push_back({"Authorization", request.authorization});
  }
  return fetch;
}

// The last part of a target; empty for a question about a whole queue.
std::string JobOf(const std::string& target) {
  return target.substr(target.rfind('/') + 1);
}

// Takes the version that a peer has answered under out of its answer.
std::int64_t TakePolicy(net::HttpResponse& response) {
  std::int64_t version = 0;
  std::erase_if(response.headers, [&](const net::HttpHeader& it) {
    if (it.name != kPolicyHeader) {
      // The others are this connection's own.
      return it.name != kRetryAfterHeader;
    }
    std::from_chars(it.value.data(), it.value.data() + it.value.size(),
                    version);
    return true;
  });
  return version;
}

}  // namespace

std::optional<ForwardedRequest> DecodeForwarded(const HttpRequest& from) {
  ForwardedRequest to;
  const std::string& target = from.target;
  const std::size_t end = target.find('/', 1);
  if (end == std::string::npos) {
    return std::nullopt;
  }
  const auto parsed =
      std::from_chars(target.data() + 1, target.data() + end, to.least_policy);
  if (parsed.ec != std::errc() || parsed.ptr != target.data() + end) {
    return std::nullopt;
  }
  to.request = from;
  to.request.target = target.substr(end);
  return to;
}

struct PeerRelay::Call {
  net::HttpFetchOptions fetch;
  bool changes = false;            ///< Not a mere question.
  std::vector<std::string> peers;  ///< Still to be asked.
  TimePoint deadline{};
  Handler handler;
  std::unique_ptr<net::HttpClient> client;
};

PeerRelay::PeerRelay(boost::asio::io_context& context,
                     EntryName self,
                     const workload::Ledger& ledger,
                     const workload::Policy& policy)
    : context_(context),
      self_(std::move(self)),
      ledger_(ledger),
      policy_(policy) {}

std::int64_t PeerRelay::PolicyServed() const {
  return std::max(policy_.version, policy_of_peers_);
}

std::vector<std::string> PeerRelay::Peers() {
  const TimePoint now = ReadClock();
  std::erase_if(passed_over_until_,
                [&](const auto& it) { return now >= it.second; });
  std::vector<std::string> peers;
  for (const auto& [name, address] : ledger_.entries) {
    if (name != self_ && !passed_over_until_.contains(address.address)) {
      peers.push_back(address.address);
    }
  }
  std::stable_partition(peers.begin(), peers.end(),
                        [&](const auto& it) { return it == last_answered_; });
  return peers;
}

std::unique_ptr<net::HttpClient> PeerRelay::TakeClient() {
  if (idle_.empty()) {
    return std::make_unique<net::HttpClient>(context_);
  }
  auto client = std::move(idle_.back());
  idle_.pop_back();
  return client;
}

void PeerRelay::Forward(const HttpRequest& request,
                        TimePoint deadline,
                        Handler handler) {
  std::vector<std::string> peers = Peers();
  if (peers.empty() || running_ >= kMaxRunning) {
    handler({});
    return;
  }
  ++running_;
  auto call = std::make_shared<Call>();
  call->fetch = FetchOf(request, PolicyServed());
  call->changes = request.method != "GET";
  call->peers = std::move(peers);
  call->deadline = deadline;
  call->handler = std::move(handler);
  call->client = TakeClient();
  Try(call);
}

void PeerRelay::Try(const std::shared_ptr<Call>& call) {
  const Millis left = call->deadline - ReadClock();
  if (call->peers.empty() || left <= Millis(0)) {
    End(call, {});
    return;
  }
  call->fetch.address = call->peers.front();
  call->fetch.timeout = std::min(left, kPeerTimeout);
  call->peers.erase(call->peers.begin());
  call->client->Send(
      call->fetch, net::ConnectionUse::kReuseAndRepeat,
      [this, call](const FetchResult& result) { OnResult(call, result); });
}

void PeerRelay::OnResult(const std::shared_ptr<Call>& call,
                         const FetchResult& result) {
  const bool answered = result.has_value();
  WriteLog({LogLevel::kInfo,
            "request_forwarded",
            {{"job", JobOf(call->fetch.target)},
             {"target", call->fetch.target},
             {"peer", call->fetch.address},
             {"outcome", answered ? std::to_string(result.value().status)
                                  : result.error().message()}}});
  if (answered && result.value().status != kUnavailable) {
    last_answered_ = call->fetch.address;
    net::HttpResponse response = result.value();
    policy_of_peers_ = std::max(policy_of_peers_, TakePolicy(response));
    End(call, {std::move(response), false});
    return;
  }
  passed_over_until_[call->fetch.address] =
      ReadClock() + (answered ? kAfterRefusal : kAfterSilence);
  if (!answered && call->changes &&
      result.error() == FetchError::kOutcomeUnknown) {
    // Another peer's "not run" would say nothing about this one.
    End(call, {std::nullopt, true});
    return;
  }
  Try(call);
}

void PeerRelay::End(const std::shared_ptr<Call>& call, Outcome outcome) {
  --running_;
  idle_.push_back(std::move(call->client));
  call->handler(std::move(outcome));
}

}  // namespace shallotlug::service
