#ifndef SHALLOTLUG_API_HTTP_H_
#define SHALLOTLUG_API_HTTP_H_

#include <string>
#include <string_view>
#include <variant>

#include "shallotlug/api/calls.h"

/// Mapping between HTTP messages with JSON bodies and typed calls and replies.
/// Pure functions: the transport is in the package net.
namespace shallotlug::api {

/// @brief Which listener a message arrived at.
enum class Surface { kCallers, kOperators };

struct HttpRequestView {
  Surface surface = Surface::kCallers;
  std::string_view method;
  std::string_view target;  ///< Path and query, still percent-encoded.
  std::string_view body;
};

/// @brief A call, or the error to answer.
using ParsedCall = std::variant<Call, ErrorReply>;

/// @brief Checks a whole request; all faults are in one ErrorReply.
ParsedCall ParseCall(const HttpRequestView& request);

struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::string request_id;  ///< Sent as the header `Shallotlug-Request-Id`.
};

HttpReply RenderReply(const Reply& reply);

}  // namespace shallotlug::api

#endif  // SHALLOTLUG_API_HTTP_H_
