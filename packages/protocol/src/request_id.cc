#include "shallotlug/protocol/request_id.h"

#include <charconv>
#include <cstdio>

namespace shallotlug {
namespace {

constexpr std::string_view kPrefix = "r1.";
constexpr std::size_t kRandomDigits = 32;

std::string ToHex(std::uint64_t n) {
  std::array<char, 17> buf{};
  std::snprintf(buf.data(), buf.size(), "%llx",
                static_cast<unsigned long long>(n));
  return buf.data();
}

std::string ToFixedHex(std::uint64_t n) {
  std::string text = ToHex(n);
  return std::string(16 - text.size(), '0') + text;
}

std::optional<std::uint64_t> ParseHex(std::string_view text) {
  std::uint64_t n = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), n, 16);
  if (text.empty() || result.ec != std::errc() ||
      result.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return n;
}

std::string_view TakeField(std::string_view& rest) {
  const std::size_t n = rest.find('.');
  const std::string_view field = rest.substr(0, n);
  rest = n == std::string_view::npos ? "" : rest.substr(n + 1);
  return field;
}

}  // namespace

std::string ToString(const RequestId& id) {
  return std::string(kPrefix) +
         ToHex(static_cast<std::uint64_t>(id.agent.incarnation)) + "." +
         ToHex(static_cast<std::uint64_t>(
             id.expires.time_since_epoch().count())) +
         "." + ToFixedHex(id.random[0]) + ToFixedHex(id.random[1]) + "." +
         id.agent.name.value;
}

std::optional<RequestId> ParseRequestId(std::string_view text) {
  if (!text.starts_with(kPrefix)) {
    return std::nullopt;
  }
  std::string_view rest = text.substr(kPrefix.size());
  const auto incarnation = ParseHex(TakeField(rest));
  const auto expires = ParseHex(TakeField(rest));
  const std::string_view random = TakeField(rest);
  if (!incarnation || !expires || random.size() != kRandomDigits ||
      rest.empty()) {
    return std::nullopt;
  }
  const auto high = ParseHex(random.substr(0, 16));
  const auto low = ParseHex(random.substr(16));
  if (!high || !low) {
    return std::nullopt;
  }
  RequestId id;
  id.agent = {AgentName(std::string(rest)), Incarnation{*incarnation}};
  id.expires = PeerTime(Millis(static_cast<std::int64_t>(*expires)));
  id.random = {*high, *low};
  // Rejects other spellings of the same id, such as capital letters.
  if (ToString(id) != text) {
    return std::nullopt;
  }
  return id;
}

}  // namespace shallotlug
