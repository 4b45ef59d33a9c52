#ifndef SHALLOTLUG_SERVICE_SRC_AGENT_LINK_H_
#define SHALLOTLUG_SERVICE_SRC_AGENT_LINK_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "shallotlug/base/ids.h"
#include "shallotlug/net/http_client.h"
#include "shallotlug/scheduler/role.h"

namespace shallotlug::service {

/// @brief HTTP path of the synchronization calls to an agent.
inline constexpr const char* kSyncPath = "/v1/sync";

/// @brief HTTP link from the scheduler to one agent. A long poll is kept open
/// to receive state changes; a second connection sends orders without waiting
/// for the poll to return.
class AgentLink {
 public:
  /// @param role The link is bound to the role's current epoch and goes idle
  /// when that epoch ends.
  /// @param on_reply Called after each reply has been processed.
  AgentLink(boost::asio::io_context& context,
            AgentName agent,
            std::string address,
            scheduler::Role& role,
            std::function<void()> on_reply);

  void Start();
  /// @brief Sends pending orders unless a send is already in progress.
  void SendPending();

  const std::string& Address() const { return address_; }

 private:
  /// @brief The active scheduler; null when the link's epoch has ended.
  scheduler::Scheduler* CurrentScheduler();
  void HandleReply(Incarnation known,
                   const net::FetchResult& result,
                   const std::function<void(bool answered)>& done);
  void Poll();
  void PollAfterDelay();
  void Send(net::HttpClient& client,
            Millis wait,
            std::function<void(bool answered)> done);

  boost::asio::steady_timer retry_timer_;
  net::HttpClient poll_client_;
  net::HttpClient order_client_;
  AgentName agent_;
  std::string address_;
  scheduler::Role& role_;
  std::uint64_t epoch_;
  std::function<void()> on_reply_;
  bool unreachable_ = false;
  /// Lets a timer handler that is already queued detect that the link has been
  /// destroyed.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_AGENT_LINK_H_
