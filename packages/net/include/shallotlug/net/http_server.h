#ifndef SHALLOTLUG_NET_HTTP_SERVER_H_
#define SHALLOTLUG_NET_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/outcome/std_result.hpp>

#include "shallotlug/base/clock.h"
#include "shallotlug/net/http_message.h"
#include "shallotlug/net/request_memory.h"

namespace shallotlug::net {

/// @brief A request that waits for its response; unique within a server.
enum class ExchangeId : std::uint64_t {};

struct HttpServerOptions {
  std::string address;  ///< `ip:port`; port 0 takes a free one.
  std::size_t body_bytes = 1 << 20;
  std::size_t connections = 1024;
  Millis read_timeout{10'000};  ///< For one whole request.
  Millis idle_timeout{60'000};  ///< Between requests of a connection.
  /// Shared by the listeners of a process; one of its own if there is none.
  std::shared_ptr<RequestMemory> memory{};
};

struct HttpServerHandlers {
  std::function<void(ExchangeId, HttpRequest)> on_request;
  /// The caller closed its connection before the response; may be empty.
  std::function<void(ExchangeId)> on_gone;
  /// A request was answered by the server itself, or its connection closed, for
  /// the reason named.
  std::function<void(const std::string& reason)> on_rejected;
};

/// @brief An HTTP/1.1 server with keep-alive on the thread of its context.
/// Requests that are truncated, slow, malformed or too large are answered with
/// an error and never reach the handler. With all of its connections in use it
/// closes one without a complete request to take a new one.
class HttpServer {
 public:
  /// @brief Binds and starts to accept; errors are those of the socket.
  static boost::outcome_v2::std_result<HttpServer> Listen(
      boost::asio::io_context& context,
      const HttpServerOptions& options,
      HttpServerHandlers handlers);

  HttpServer(HttpServer&&) noexcept;
  HttpServer& operator=(HttpServer&&) noexcept;
  ~HttpServer();

  /// @brief Answers a request; an id whose caller has gone is ignored.
  void Reply(ExchangeId id, HttpResponse response);

  /// @brief Closes the connection of a request instead of answering it.
  void Abort(ExchangeId id);

  /// @brief Stops to accept; open connections close after their response.
  void Drain();

  /// @brief The address in use, `ip:port`.
  std::string Address() const;

  std::size_t Connections() const;

 private:
  struct Impl;
  explicit HttpServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_HTTP_SERVER_H_
