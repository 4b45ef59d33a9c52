#include "peer_relay.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
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

// Limit of concurrently forwarded requests; callers beyond it are told to retry
// later.
constexpr std::size_t kMaxForwards = 64;
// Peers tried for one request. If none of them can serve it, the store is most
// likely unavailable to all.
constexpr std::size_t kMaxPeersTried = 16;
// A peer that takes longer is unreachable or waits for the store itself.
constexpr Millis kPeerTimeout{700};
// Back-off after a peer has answered that it is unavailable, and the longer one
// after it could not be reached, because callers wait while it is tried.
constexpr Millis kRefusalBackoff{200};
constexpr Millis kUnreachableBackoff{3'000};
// Status of a response to a request that was not carried out.
constexpr int kUnavailable = 503;
constexpr std::string_view kRetryAfterHeader = "Retry-After";

net::HttpFetchOptions MakeFetch(const HttpRequest& request,
                                std::int64_t min_policy_version) {
  net::HttpFetchOptions fetch;
  fetch.method = request.method;
  fetch.target = "/" + std::to_string(min_policy_version) + request.target;
  fetch.body = request.body;
  fetch.headers = {{"Host", request.host}};
  if (!request.authorization.empty()) {
    fetch.headers.push_back({"Authorization", request.authorization});
  }
  return fetch;
}

// The last path segment; empty for a query about a whole queue.
std::string JobIdFromTarget(const std::string& target) {
  return target.substr(target.rfind('/') + 1);
}

// Removes the configuration version from a peer's response and returns it.
std::int64_t ExtractPolicyVersion(net::HttpResponse& response) {
  std::int64_t version = 0;
  std::erase_if(response.headers, [&](const net::HttpHeader& it) {
    if (it.name != kPolicyHeader) {
      // Retry-After is kept for the caller; all other headers belong to the
      // connection between the entries.
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
  const auto parsed = std::from_chars(target.data() + 1, target.data() + end,
                                      to.min_policy_version);
  if (parsed.ec != std::errc() || parsed.ptr != target.data() + end) {
    return std::nullopt;
  }
  to.request = from;
  to.request.target = target.substr(end);
  return to;
}

struct PeerRelay::Call {
  net::HttpFetchOptions fetch;
  bool mutating = false;           ///< Not a read-only request.
  std::vector<std::string> peers;  ///< Not tried yet.
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

std::int64_t PeerRelay::MinPolicyVersion() const {
  return std::max(policy_.version, peer_policy_version_);
}

std::vector<std::string> PeerRelay::CandidatePeers() {
  const TimePoint now = ReadClock();
  std::erase_if(backoff_until_,
                [&](const auto& it) { return now >= it.second; });
  std::vector<std::string> ring;
  std::size_t before_self = 0;
  for (const auto& [name, address] : ledger_.entries) {
    if (name != self_ && !backoff_until_.contains(address.address)) {
      ring.push_back(address.address);
      before_self += name < self_ ? 1 : 0;
    }
  }
  // Each entry begins behind itself, so that they do not all ask the same one.
  std::rotate(ring.begin(),
              ring.begin() + static_cast<std::ptrdiff_t>(before_self),
              ring.end());
  std::vector<std::string> peers;
  if (std::find(ring.begin(), ring.end(), last_answered_) != ring.end()) {
    peers.push_back(last_answered_);
    std::erase(ring, last_answered_);
  }
  // Neighbours are often in one data centre and are lost together.
  const std::size_t stride =
      std::max<std::size_t>(ring.size() / kMaxPeersTried, 1);
  for (std::size_t n = 0; n < ring.size() && peers.size() < kMaxPeersTried;
       n += stride) {
    peers.push_back(ring[n]);
  }
  return peers;
}

std::unique_ptr<net::HttpClient> PeerRelay::TakeClient() {
  if (idle_clients_.empty()) {
    return std::make_unique<net::HttpClient>(context_);
  }
  auto client = std::move(idle_clients_.back());
  idle_clients_.pop_back();
  return client;
}

void PeerRelay::Forward(const HttpRequest& request,
                        TimePoint deadline,
                        Handler handler) {
  std::vector<std::string> peers = CandidatePeers();
  if (peers.empty() || active_forwards_ >= kMaxForwards) {
    handler({});
    return;
  }
  ++active_forwards_;
  auto call = std::make_shared<Call>();
  call->fetch = MakeFetch(request, MinPolicyVersion());
  call->mutating = request.method != "GET";
  call->peers = std::move(peers);
  call->deadline = deadline;
  call->handler = std::move(handler);
  call->client = TakeClient();
  TryNextPeer(call);
}

void PeerRelay::TryNextPeer(const std::shared_ptr<Call>& call) {
  const Millis left = call->deadline - ReadClock();
  if (call->peers.empty() || left <= Millis(0)) {
    Finish(call, {});
    return;
  }
  call->fetch.address = call->peers.front();
  call->fetch.timeout = std::min(left, kPeerTimeout);
  call->peers.erase(call->peers.begin());
  // "Not run" in response to a repeated copy would not hold for the first one.
  call->client->Send(
      call->fetch,
      call->mutating ? net::ConnectionUse::kReuse
                     : net::ConnectionUse::kReuseAndRepeat,
      [this, call](const FetchResult& result) { OnResult(call, result); });
}

void PeerRelay::OnResult(const std::shared_ptr<Call>& call,
                         const FetchResult& result) {
  const bool answered = result.has_value();
  WriteLog({LogLevel::kInfo,
            "request_forwarded",
            {{"job", JobIdFromTarget(call->fetch.target)},
             {"target", call->fetch.target},
             {"peer", call->fetch.address},
             {"outcome", answered ? std::to_string(result.value().status)
                                  : result.error().message()}}});
  if (answered && result.value().status != kUnavailable) {
    last_answered_ = call->fetch.address;
    net::HttpResponse response = result.value();
    peer_policy_version_ =
        std::max(peer_policy_version_, ExtractPolicyVersion(response));
    Finish(call, {std::move(response), false});
    return;
  }
  backoff_until_[call->fetch.address] =
      ReadClock() + (answered ? kRefusalBackoff : kUnreachableBackoff);
  if (!answered && call->mutating &&
      result.error() == FetchError::kOutcomeUnknown) {
    // This peer may have carried the request out; a "not run" of another peer
    // would not rule that out.
    Finish(call, {std::nullopt, true});
    return;
  }
  TryNextPeer(call);
}

void PeerRelay::Finish(const std::shared_ptr<Call>& call, Outcome outcome) {
  --active_forwards_;
  idle_clients_.push_back(std::move(call->client));
  call->handler(std::move(outcome));
}

}  // namespace shallotlug::service
