#ifndef SHALLOTLUG_NET_HTTP_MESSAGE_H_
#define SHALLOTLUG_NET_HTTP_MESSAGE_H_

#include <string>
#include <vector>

namespace shallotlug::net {

struct HttpHeader {
  std::string name;
  std::string value;
};

/// @brief A whole request as a server received it.
struct HttpRequest {
  std::string method;
  std::string target;  ///< Path and query, still percent-encoded.
  std::string host;
  std::string authorization;
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<HttpHeader> headers;  ///< Besides type, length and connection.
};

/// @brief Makes an error in the form of the API:
/// `{"error","reason","message"}`, where `message` says
/// what was wrong and what to do.
HttpResponse ErrorResponse(int status,
                           const std::string& error,
                           const std::string& reason,
                           const std::string& message);

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_HTTP_MESSAGE_H_
