#include "target.h"

#include <charconv>

namespace shallotlug::standin {
namespace {

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t n = text.find(separator);
    if (n != 0) {
      parts.emplace_back(text.substr(0, n));
    }
    text = n == std::string_view::npos ? "" : text.substr(n + 1);
  }
  return parts;
}

}  // namespace

std::uint64_t Target::Number(const std::string& key,
                             std::uint64_t otherwise) const {
  const auto it = query.find(key);
  if (it == query.end()) {
    return otherwise;
  }
  std::uint64_t n = 0;
  const std::string& text = it->second;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), n);
  return result.ec == std::errc() ? n : otherwise;
}

Target ParseTarget(std::string_view text) {
  Target target;
  const std::size_t mark = text.find('?');
  target.path = Split(text.substr(0, mark), '/');
  if (mark != std::string_view::npos) {
    for (const std::string& part : Split(text.substr(mark + 1), '&')) {
      const std::size_t n = part.find('=');
      if (n != std::string::npos) {
        target.query[part.substr(0, n)] = part.substr(n + 1);
      }
    }
  }
  return target;
}

}  // namespace shallotlug::standin
