#include "task_list.h"

#include <charconv>

namespace shallotlug::agent {
namespace {

// Parses one netstring and removes it from the front of `text`.
std::optional<std::string> ParseNetstring(std::string_view& text) {
  std::size_t length = 0;
  const char* const end = text.data() + text.size();
  const auto number = std::from_chars(text.data(), end, length);
  if (number.ec != std::errc() || number.ptr == end || *number.ptr != ':') {
    return std::nullopt;
  }
  text.remove_prefix(static_cast<std::size_t>(number.ptr - text.data()) + 1);
  if (text.size() <= length || text[length] != ',') {
    return std::nullopt;
  }
  std::string part(text.substr(0, length));
  text.remove_prefix(length + 1);
  return part;
}

}  // namespace

std::string JoinTasks(const std::vector<std::string>& parts) {
  std::string text;
  for (const std::string& part : parts) {
    text += std::to_string(part.size()) + ":" + part + ",";
  }
  return text;
}

std::optional<std::vector<std::string>> SplitTasks(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    std::optional<std::string> part = ParseNetstring(text);
    if (!part) {
      return std::nullopt;
    }
    parts.push_back(std::move(*part));
  }
  return parts;
}

}  // namespace shallotlug::agent
