#include "fields.h"

#include <array>
#include <charconv>
#include <fstream>
#include <iterator>

namespace shallotlug::settings::detail {
namespace {

// Shorter keys could be brute-forced through the handshake.
constexpr std::size_t kMinSecretLength = 16;
constexpr std::size_t kMaxNameLength = 64;

constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info",
                                                        "warning", "error"};
constexpr std::array<std::string_view, 2> kLogFormats = {"text", "json"};

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

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         text.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
             "-_.") == std::string_view::npos;
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

void ReadName(ObjectReader& reader, std::string_view key, std::string& to) {
  reader.Required(key, to);
  if (!to.empty() && !IsName(to)) {
    reader.Fault(key, "must be at most 64 letters, digits, '-', '_' and '.'");
  }
}

void ReadAddress(ObjectReader& reader, std::string_view key, std::string& to) {
  reader.Required(key, to);
  if (!to.empty() && !IsAddress(to)) {
    reader.Fault(key,
                 "must be an address such as \"127.0.0.1:7001\" or "
                 "\"[::1]:7001\"; host names are not looked up");
  }
}

void ReadSecret(ObjectReader& reader, std::string_view key, std::string& to) {
  reader.Required(key, to);
  if (!to.empty() && to.size() < kMinSecretLength) {
    reader.Fault(key, "must have at least 16 characters");
  }
}

void ReadLog(ObjectReader& parent,
             const std::string& file,
             LogSettings& to,
             Findings& findings) {
  const JsonNode* node = parent.Find("log");
  if (!node) {
    return;
  }
  ObjectReader reader(*node, "/log", file, findings);
  if (const auto n = reader.Word("level", kLogLevels, false)) {
    to.level = static_cast<LogLevel>(*n);
  }
  if (const auto n = reader.Word("format", kLogFormats, false)) {
    to.format = static_cast<LogFormat>(*n);
  }
  reader.Finish();
}

void ReadHttp(ObjectReader& parent,
              const std::string& file,
              HttpLimits& to,
              Findings& findings) {
  const JsonNode* node = parent.Find("http");
  if (!node) {
    return;
  }
  ObjectReader reader(*node, "/http", file, findings);
  reader.Optional("body_bytes", to.body_bytes, {1, 64 << 20});
  reader.Optional("connections", to.connections, {1, 100'000});
  reader.Optional("read_timeout_ms", to.read_timeout, Millis(1));
  reader.Optional("idle_timeout_ms", to.idle_timeout, Millis(1));
  reader.Finish();
}

std::variant<std::string, Findings> ReadFile(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(in), {});
  if (!in.is_open() || in.bad()) {
    Finding finding;
    finding.file = file;
    finding.message = "cannot be read";
    return Findings{finding};
  }
  return text;
}

}  // namespace shallotlug::settings::detail
