#ifndef SHALLOTLUG_NET_SRC_PEER_LINKS_H_
#define SHALLOTLUG_NET_SRC_PEER_LINKS_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/outcome/std_result.hpp>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/counters.h"
#include "shallotlug/base/log_line.h"
#include "shallotlug/protocol/links.h"

namespace shallotlug::net {

struct PeerLinkOptions {
  std::string listen;  ///< `ip:port`; empty: dials only.
  std::string shared_key;
  /// From the connect or accept to the last proof.
  Millis handshake_timeout{3'000};
  /// Larger than a caller's body, and than the checkpoint of a gang.
  std::size_t frame_bytes = 16 << 20;
  /// A peer that takes no data for this long a queue is closed.
  std::size_t queue_bytes = 64 << 20;
  std::size_t accepted_links = 20'000;
};

/// @brief What a link reports, in order.
struct PeerLinkHandlers {
  std::function<void(LinkUp)> on_up;
  /// Also for a dial that failed; not for a link closed by Close.
  std::function<void(LinkDown)> on_down;
  std::function<void(Received)> on_received;
  std::function<void(LogLine)> on_log;
};

/// @brief Authenticated links that carry messages in length-prefixed frames.
/// Runs on the thread of its context and never waits for a peer.
class PeerLinks {
 public:
  static boost::outcome_v2::std_result<PeerLinks> Open(
      boost::asio::io_context& context,
      const PeerLinkOptions& options,
      CounterTable& counters,
      PeerLinkHandlers handlers);

  PeerLinks(PeerLinks&&) noexcept;
  PeerLinks& operator=(PeerLinks&&) noexcept;
  ~PeerLinks();

  void Dial(const shallotlug::Dial& dial);

  /// @brief Queues a message; on an unknown link it is dropped.
  void Send(LinkId link, const Message& message);

  void Close(LinkId link, const std::string& reason);

  /// @brief Whether every queued message was handed to the system.
  bool Flushed() const;

  /// @brief The address of the listener.
  std::string Address() const;

 private:
  struct Impl;
  explicit PeerLinks(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_SRC_PEER_LINKS_H_
