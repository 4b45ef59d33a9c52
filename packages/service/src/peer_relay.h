#ifndef SHALLOTLUG_SERVICE_SRC_PEER_RELAY_H_
#define SHALLOTLUG_SERVICE_SRC_PEER_RELAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "shallotlug/net/http_client.h"
#include "shallotlug/workload/ledger.h"
#include "shallotlug/workload/policy.h"

namespace shallotlug::service {

/// @brief Header of a response to a peer: the configuration version in force
/// when the response was made.
inline constexpr const char* kPolicyHeader = "Shallotlug-Policy";

/// @brief A request forwarded by a peer. The target is prefixed with the
/// minimum configuration version that may serve it.
struct ForwardedRequest {
  std::int64_t min_policy_version = 0;
  net::HttpRequest request;
};

/// @brief Decodes a forwarded request; empty if the target has no version
/// prefix.
std::optional<ForwardedRequest> DecodeForwarded(const net::HttpRequest& from);

/// @brief Forwards callers' requests to other entries when this one cannot use
/// the store.
class PeerRelay {
 public:
  /// @brief Result of forwarding a request.
  struct Outcome {
    /// The response of a peer that carried out or rejected the request.
    std::optional<net::HttpResponse> response;
    /// There is no response, but a peer may have carried out the request.
    bool ambiguous = false;
  };
  using Handler = std::function<void(Outcome)>;

  /// @param self Name of this entry; all other entries of the ledger are peers.
  /// @param policy The configuration in force at this entry.
  PeerRelay(boost::asio::io_context& context,
            EntryName self,
            const workload::Ledger& ledger,
            const workload::Policy& policy);

  /// @brief The newest configuration version that callers of this entry have
  /// been served under. Requests must not be served under an older one.
  std::int64_t MinPolicyVersion() const;

  /// @brief Tries a few peers in turn until one answers or `deadline` passes.
  /// Peers that answer "not run" are skipped.
  void Forward(const net::HttpRequest& request,
               TimePoint deadline,
               Handler handler);

 private:
  struct Call;

  /// @brief Addresses to try, the peer that answered last first.
  std::vector<std::string> CandidatePeers();
  std::unique_ptr<net::HttpClient> TakeClient();
  void TryNextPeer(const std::shared_ptr<Call>& call);
  void OnResult(const std::shared_ptr<Call>& call,
                const net::FetchResult& result);
  void Finish(const std::shared_ptr<Call>& call, Outcome outcome);

  boost::asio::io_context& context_;
  EntryName self_;
  const workload::Ledger& ledger_;
  const workload::Policy& policy_;
  std::int64_t peer_policy_version_ = 0;  ///< Newest seen in responses.
  std::map<std::string, TimePoint> backoff_until_;  ///< By address.
  std::string last_answered_;  ///< Address of the peer that is tried first.
  std::vector<std::unique_ptr<net::HttpClient>> idle_clients_;
  std::size_t active_forwards_ = 0;
};

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_PEER_RELAY_H_
