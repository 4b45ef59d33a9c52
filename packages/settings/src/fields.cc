#include "fields.h"

#include <array>
#include <fstream>
#include <iterator>

#include "shallotlug/base/address.h"

namespace shallotlug::settings::detail {
namespace {

// Shorter keys could be brute-forced through the handshake.
constexpr std::size_t kMinSecretLength = 16;
constexpr std::size_t kMaxNameLength = 64;

constexpr std::array<std::string_view, 4> kLogLevels = {"debug", "info",
                                                        "warning", "error"};
constexpr std::array<std::string_view, 2> kLogFormats = {"text", "json"};

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         text.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
             "-_.") == std::string_view::npos;
}

}  // namespace

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
  reader.Optional("memory_bytes", to.memory_bytes, {64 << 10, 1 << 30});
  if (to.memory_bytes < to.body_bytes) {
    reader.Fault("memory_bytes", "must hold one body of http.body_bytes");
  }
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
