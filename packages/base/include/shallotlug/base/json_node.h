#ifndef SHALLOTLUG_BASE_JSON_NODE_H_
#define SHALLOTLUG_BASE_JSON_NODE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "shallotlug/base/findings.h"

namespace shallotlug {

struct JsonNode;

/// @brief Members in the order of the text; a repeated key is kept.
using JsonObject = std::vector<std::pair<std::string, JsonNode>>;
using JsonArray = std::vector<JsonNode>;

/// @brief A JSON value that knows the line it came from.
struct JsonNode {
  std::variant<std::nullptr_t,
               bool,
               std::int64_t,
               double,
               std::string,
               JsonArray,
               JsonObject>
      value = nullptr;
  int line = 1;  ///< Counted from 1.
};

using JsonNodeOrFindings = std::variant<JsonNode, Findings>;

/// @brief Parses one JSON document.
///
/// @param file Only used in findings.
/// @return The document, or one finding with the line of the syntax error.
JsonNodeOrFindings ParseJson(std::string_view text, const std::string& file);

}  // namespace shallotlug

#endif  // SHALLOTLUG_BASE_JSON_NODE_H_
