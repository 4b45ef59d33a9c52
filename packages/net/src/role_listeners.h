#ifndef SHALLOTLUG_NET_SRC_ROLE_LISTENERS_H_
#define SHALLOTLUG_NET_SRC_ROLE_LISTENERS_H_

#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "peer_links.h"
#include "shallotlug/base/logging.h"
#include "shallotlug/net/role_loop.h"

namespace shallotlug::net {

/// @brief Listens for peers; what arrives goes into `inbox` and wakes the loop.
/// Returns nothing, and logs why, when the listener cannot be opened.
template <class Inbox>
std::optional<PeerLinks> OpenPeerLinks(boost::asio::io_context& context,
                                       RoleLoop& loop,
                                       const std::string& listen,
                                       const std::string& shared_key,
                                       CounterTable& counters,
                                       Inbox& inbox) {
  PeerLinkOptions options;
  options.listen = listen;
  options.shared_key = shared_key;
  PeerLinkHandlers handlers;
  handlers.on_up = [&loop, &inbox](LinkUp event) {
    inbox.links_up.push_back(std::move(event));
    loop.Wake();
  };
  handlers.on_down = [&loop, &inbox](LinkDown event) {
    inbox.links_down.push_back(std::move(event));
    loop.Wake();
  };
  handlers.on_received = [&loop, &inbox](Received event) {
    inbox.received.push_back(std::move(event));
    loop.Wake();
  };
  handlers.on_log = WriteLog;
  auto links = PeerLinks::Open(context, options, counters, std::move(handlers));
  if (!links) {
    LogListenFailure("peers", listen, links.error());
    return std::nullopt;
  }
  return std::move(links.value());
}

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_SRC_ROLE_LISTENERS_H_
