#ifndef SHALLOTLUG_NET_ADDRESS_H_
#define SHALLOTLUG_NET_ADDRESS_H_

#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/outcome/std_result.hpp>

namespace shallotlug::net {

/// @brief Parses `ip:port` with a numeric address; IPv6 as `[ip]:port`.
boost::outcome_v2::std_result<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view address);

std::string ToString(const boost::asio::ip::tcp::endpoint& endpoint);

/// @brief Opens, binds and listens; errors are those of the socket.
boost::outcome_v2::std_result<boost::asio::ip::tcp::acceptor> OpenAcceptor(
    boost::asio::io_context& context,
    std::string_view address);

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_ADDRESS_H_
