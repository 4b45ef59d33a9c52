#include "path.h"

#include <charconv>

namespace shallotlug::api::detail {
namespace {

std::optional<std::string> Decode(std::string_view text) {
  std::string out;
  for (std::size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '%') {
      out += text[n];
      continue;
    }
    unsigned value = 0;
    const std::string_view digits = text.substr(n + 1, 2);
    const auto result = std::from_chars(
        digits.data(), digits.data() + digits.size(), value, 16);
    if (digits.size() != 2 || result.ptr != digits.data() + 2) {
      return std::nullopt;
    }
    out += static_cast<char>(value);
    n += 2;
  }
  return out;
}

}  // namespace

std::optional<Path> ParsePath(std::string_view target) {
  if (!target.starts_with('/') || target.find('?') != std::string_view::npos) {
    return std::nullopt;
  }
  Path path;
  std::string_view rest = target.substr(1);
  const std::size_t last = rest.rfind('/') + 1;
  const std::size_t colon = rest.rfind(':');
  if (colon != std::string_view::npos && colon >= last) {
    path.verb = rest.substr(colon + 1);
    rest = rest.substr(0, colon);
  }
  while (true) {
    const std::size_t n = rest.find('/');
    auto segment = Decode(rest.substr(0, n));
    if (!segment) {
      return std::nullopt;
    }
    path.segments.push_back(std::move(*segment));
    if (n == std::string_view::npos) {
      return path;
    }
    rest.remove_prefix(n + 1);
  }
}

}  // namespace shallotlug::api::detail
