#ifndef SHALLOTLUG_NET_HTTP_FETCH_H_
#define SHALLOTLUG_NET_HTTP_FETCH_H_

#include <string>
#include <system_error>
#include <vector>

#include <boost/outcome/std_result.hpp>

#include "shallotlug/base/clock.h"
#include "shallotlug/net/http_message.h"

namespace shallotlug::net {

/// @brief Why a request has no response.
enum class FetchError {
  /// No byte of the request was sent on any connection; the server cannot have
  /// acted on it.
  kNeverSent = 1,
  /// Part of the request was sent and no whole response came back.
  kOutcomeUnknown,
};

const std::error_category& FetchCategory();
std::error_code make_error_code(FetchError error);  // NOLINT(*-naming)

struct HttpFetchOptions {
  std::string address;  ///< Numeric `ip:port`.
  std::string method = "GET";
  std::string target = "/";
  std::string body;
  std::string content_type = "application/json";  ///< Of a body.
  std::string bearer_token;                       ///< Empty: no authorization.
  std::vector<HttpHeader> headers;
  Millis timeout{10'000};  ///< From the connect to the whole response.
  std::size_t response_bytes = 64 << 20;
};

/// @brief Sends one request and blocks until its response, of any status.
/// Errors are FetchError.
boost::outcome_v2::std_result<HttpResponse> Fetch(
    const HttpFetchOptions& options);

}  // namespace shallotlug::net

template <>
struct std::is_error_code_enum<shallotlug::net::FetchError> : std::true_type {};

#endif  // SHALLOTLUG_NET_HTTP_FETCH_H_
