#include "shallotlug/base/json_node.h"

#include <boost/json/basic_parser_impl.hpp>
#include <limits>

namespace shallotlug {
namespace {

namespace json = boost::json;

// Builds a tree of JsonNode from parser events. The text is fed line by line,
// so that `line` is right when an event arrives.
// The member names are those that boost::json::basic_parser calls.
// NOLINTBEGIN(readability-identifier-naming)
struct TreeHandler {
  static constexpr std::size_t max_object_size = -1;
  static constexpr std::size_t max_array_size = -1;
  static constexpr std::size_t max_key_size = -1;
  static constexpr std::size_t max_string_size = -1;

  int line = 1;
  std::string buf;
  std::vector<std::string> keys;
  std::vector<JsonNode> stack;

  void Push(JsonNode node) { stack.push_back(std::move(node)); }

  void Add(JsonNode node) {
    if (stack.empty()) {
      stack.push_back(std::move(node));
      return;
    }
    JsonNode& parent = stack.back();
    if (auto* it = std::get_if<JsonArray>(&parent.value)) {
      it->push_back(std::move(node));
    } else if (auto* object = std::get_if<JsonObject>(&parent.value)) {
      object->emplace_back(std::move(keys.back()), std::move(node));
      keys.pop_back();
    }
  }

  bool Close() {
    if (stack.size() > 1) {
      JsonNode node = std::move(stack.back());
      stack.pop_back();
      Add(std::move(node));
    }
    return true;
  }

  bool Scalar(decltype(JsonNode::value) value) {
    Add(JsonNode{std::move(value), line});
    return true;
  }

  bool on_document_begin(json::error_code&) { return true; }
  bool on_document_end(json::error_code&) { return true; }
  bool on_object_begin(json::error_code&) {
    Push(JsonNode{JsonObject{}, line});
    return true;
  }
  bool on_object_end(std::size_t, json::error_code&) { return Close(); }
  bool on_array_begin(json::error_code&) {
    Push(JsonNode{JsonArray{}, line});
    return true;
  }
  bool on_array_end(std::size_t, json::error_code&) { return Close(); }
  bool on_key_part(json::string_view part, std::size_t, json::error_code&) {
    buf.append(part.data(), part.size());
    return true;
  }
  bool on_key(json::string_view part, std::size_t, json::error_code&) {
    buf.append(part.data(), part.size());
    keys.push_back(std::exchange(buf, {}));
    return true;
  }
  bool on_string_part(json::string_view part, std::size_t, json::error_code&) {
    buf.append(part.data(), part.size());
    return true;
  }
  bool on_string(json::string_view part, std::size_t, json::error_code&) {
    buf.append(part.data(), part.size());
    return Scalar(std::exchange(buf, {}));
  }
  bool on_number_part(json::string_view, json::error_code&) { return true; }
  bool on_int64(std::int64_t n, json::string_view, json::error_code&) {
    return Scalar(n);
  }
  bool on_uint64(std::uint64_t n, json::string_view, json::error_code&) {
    if (n <= std::uint64_t{std::numeric_limits<std::int64_t>::max()}) {
      return Scalar(static_cast<std::int64_t>(n));
    }
    return Scalar(static_cast<double>(n));
  }
  bool on_double(double n, json::string_view, json::error_code&) {
    return Scalar(n);
  }
  bool on_bool(bool b, json::error_code&) { return Scalar(b); }
  bool on_null(json::error_code&) { return Scalar(nullptr); }
  bool on_comment_part(json::string_view, json::error_code&) { return true; }
  bool on_comment(json::string_view, json::error_code&) { return true; }
};

// NOLINTEND(readability-identifier-naming)

std::string_view TakeLine(std::string_view& rest) {
  const std::size_t n = rest.find('\n');
  const std::size_t size = n == std::string_view::npos ? rest.size() : n + 1;
  const std::string_view line = rest.substr(0, size);
  rest.remove_prefix(size);
  return line;
}

}  // namespace

JsonNodeOrFindings ParseJson(std::string_view text, const std::string& file) {
  json::basic_parser<TreeHandler> parser{json::parse_options()};
  json::error_code ec;
  std::string_view rest = text;
  int line = 0;
  do {
    const std::string_view part = TakeLine(rest);
    parser.handler().line = ++line;
    const std::size_t n =
        parser.write_some(!rest.empty(), part.data(), part.size(), ec);
    if (!ec && n < part.size()) {
      ec = json::error::extra_data;
    }
    if (ec) {
      Finding finding;
      finding.file = file;
      finding.line = line;
      finding.column = static_cast<int>(n) + 1;
      finding.message = "not valid JSON: " + ec.message();
      return Findings{finding};
    }
  } while (!rest.empty());
  return std::move(parser.handler().stack.front());
}

}  // namespace shallotlug
