#ifndef SHALLOTLUG_NET_HTTP_CLIENT_H_
#define SHALLOTLUG_NET_HTTP_CLIENT_H_

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/outcome/std_result.hpp>

#include "shallotlug/net/http_fetch.h"

namespace shallotlug::net {

/// @brief How an HttpClient may use its connection for a request.
enum class ConnectionUse {
  /// A connection that is found closed is replaced and the request sent again.
  /// The response tells only of the last copy; the server may carry out an
  /// earlier one, too.
  kReuseAndRepeat,
  /// As above, but a request that was sent is not sent again. For requests
  /// whose caller has to know whether the server may have carried them out.
  kReuse,
  /// A new connection, so that a failure to connect proves "never sent".
  kFresh,
};

using FetchResult = boost::outcome_v2::std_result<HttpResponse>;
using FetchHandler = std::function<void(FetchResult)>;

/// @brief An HTTP/1.1 client that runs one request at a time and keeps its
/// connection. `address` of the options is used as it is on every request.
class HttpClient {
 public:
  explicit HttpClient(boost::asio::io_context& context);
  HttpClient(HttpClient&&) noexcept;
  HttpClient& operator=(HttpClient&&) noexcept;
  /// @brief Drops a running request; its handler is not called.
  ~HttpClient();

  /// @brief Starts a request; there must be none running. The handler is
  /// called later, never from within Send.
  void Send(const HttpFetchOptions& options,
            ConnectionUse use,
            FetchHandler handler);

  bool Busy() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_HTTP_CLIENT_H_
