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

/// @brief Header of an answer to a peer: the version of the configuration that
/// it was made under.
inline constexpr const char* kPolicyHeader = "Shallotlug-Policy";

/// @brief A request as a peer sends it: the least version of the configuration
/// that may answer it stands before the target.
struct ForwardedRequest {
  std::int64_t least_policy = 0;
  net::HttpRequest request;
};

/// @brief Nothing when the target does not begin with a version.
std::optional<ForwardedRequest> DecodeForwarded(const net::HttpRequest& from);

/// @brief Hands callers' requests to other entries while this one cannot read
/// the store.
class PeerRelay {
 public:
  /// @brief What became of a request.
  struct Outcome {
    /// The answer of a peer that carried the request out or found it at fault.
    std::optional<net::HttpResponse> response;
    /// Without a response: a peer may have carried the request out.
    bool ambiguous = false;
  };
  using Handler = std::function<void(Outcome)>;

  /// @param self Peers are the other entries of the ledger.
  /// @param policy The configuration in force at this entry.
  PeerRelay(boost::asio::io_context& context,
            EntryName self,
            const workload::Ledger& ledger,
            const workload::Policy& policy);

  /// @brief The newest version of the configuration that callers of this entry
  /// have seen the effect of. Nothing older may answer them any more.
  std::int64_t PolicyServed() const;

  /// @brief Asks one peer after the other until one answers, for as long as
  /// `deadline` allows. Peers that answer "not run" are passed over.
  void Forward(const net::HttpRequest& request,
               TimePoint deadline,
               Handler handler);

 private:
  struct Call;

  /// @brief Addresses to ask, best first.
  std::vector<std::string> Peers();
  std::unique_ptr<net::HttpClient> TakeClient();
  void Try(const std::shared_ptr<Call>& call);
  void OnResult(const std::shared_ptr<Call>& call,
                const net::FetchResult& result);
  void End(const std::shared_ptr<Call>& call, Outcome outcome);

  boost::asio::io_context& context_;
  EntryName self_;
  const workload::Ledger& ledger_;
  const workload::Policy& policy_;
  std::int64_t policy_of_peers_ = 0;  ///< Newest that has answered.
  std::map<std::string, TimePoint> passed_over_until_;  ///< By address.
  std::string last_answered_;  ///< Address of the peer that is asked first.
  std::vector<std::unique_ptr<net::HttpClient>> idle_;
  std::size_t running_ = 0;
};

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_PEER_RELAY_H_
