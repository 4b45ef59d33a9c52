#include "shallotlug/base/address.h"

#include <charconv>

namespace shallotlug {

namespace {

bool IsPort(std::string_view text) {
  int port = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), port);
  return result.ec == std::errc() && result.ptr == text.data() + text.size() &&
         port >= 1 && port <= 65535;
}

bool IsIpV4(std::string_view text) {
  int parts = 0;
  while (true) {
    const std::size_t n = text.find('.');
    const std::string_view part = text.substr(0, n);
    int value = 0;
    const auto result =
        std::from_chars(part.data(), part.data() + part.size(), value);
    if (part.empty() || result.ec != std::errc() ||
        result.ptr != part.data() + part.size() || value < 0 || value > 255) {
      return false;
    }
    ++parts;
    if (n == std::string_view::npos) {
      return parts == 4;
    }
    text.remove_prefix(n + 1);
  }
}

bool IsIpV6(std::string_view text) {
  return text.find(':') != std::string_view::npos &&
         text.find_first_not_of("0123456789abcdefABCDEF:.") ==
             std::string_view::npos;
}

}  // namespace

bool IsAddress(std::string_view text) {
  const std::size_t n = text.rfind(':');
  if (n == std::string_view::npos || !IsPort(text.substr(n + 1))) {
    return false;
  }
  const std::string_view host = text.substr(0, n);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return IsIpV6(host.substr(1, host.size() - 2));
  }
  return IsIpV4(host);
}

}  // namespace shallotlug
