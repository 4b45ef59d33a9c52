#include "address.h"

#include <charconv>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/outcome/try.hpp>

namespace shallotlug::net {

namespace asio = boost::asio;
using asio::ip::tcp;

boost::outcome_v2::std_result<tcp::endpoint> ParseEndpoint(
    std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return std::make_error_code(std::errc::invalid_argument);
  }
  std::string_view host = address.substr(0, colon);
  const std::string_view port_text = address.substr(colon + 1);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  std::uint16_t port = 0;
  const auto result = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  boost::system::error_code ec;
  const asio::ip::address ip = asio::ip::make_address(host, ec);
  if (ec || port_text.empty() || result.ec != std::errc() ||
      result.ptr != port_text.data() + port_text.size()) {
    return std::make_error_code(std::errc::invalid_argument);
  }
  return tcp::endpoint(ip, port);
}

std::string ToString(const tcp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  return (endpoint.address().is_v6() ? "[" + ip + "]" : ip) + ":" +
         std::to_string(endpoint.port());
}

boost::outcome_v2::std_result<tcp::acceptor> OpenAcceptor(
    asio::io_context& context,
    std::string_view address) {
  BOOST_OUTCOME_TRY(auto endpoint, ParseEndpoint(address));
  tcp::acceptor acceptor(context);
  boost::system::error_code ec;
  acceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor.bind(endpoint, ec);
  }
  if (!ec) {
    acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return std::error_code(ec);
  }
  return acceptor;
}

}  // namespace shallotlug::net
