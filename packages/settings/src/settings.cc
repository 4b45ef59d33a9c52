#include "shallotlug/settings/settings.h"

#include <array>
#include <charconv>
#include <fstream>
#include <iterator>

#include "shallotlug/base/object_reader.h"

namespace shallotlug::settings {
namespace {

// Shorter keys can be guessed by trying them all against the handshake.
constexpr std::size_t kMinSecretLength = 16;
constexpr std::size_t kMaxNameLength = 64;

constexpr std::array<std::string_view, 4> kLevels = {"debug", "info", "warning",
                                                     "error"};
constexpr std::array<std::string_view, 2> kFormats = {"text", "json"};

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

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         text.find_first_not_of(
             "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
             "-_.") == std::string_view::npos;
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
  if (const auto n = reader.Word("level", kLevels, false)) {
    to.level = static_cast<LogLevel>(*n);
  }
  if (const auto n = reader.Word("format", kFormats, false)) {
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

EntrySettings ReadEntry(ObjectReader& reader,
                        const std::string& file,
                        Findings& findings) {
  EntrySettings to;
  ReadName(reader, "name", to.name);
  ReadName(reader, "data_centre", to.data_centre);
  ReadAddress(reader, "callers_listen", to.callers_listen);
  ReadAddress(reader, "operators_listen", to.operators_listen);
  ReadAddress(reader, "peers_listen", to.peers_listen);
  ReadAddress(reader, "metrics_listen", to.metrics_listen);
  ReadAddress(reader, "log_service", to.log_service);
  ReadSecret(reader, "operator_token", to.operator_token);
  ReadSecret(reader, "shared_key", to.shared_key);
  ReadHttp(reader, file, to.http, findings);
  ReadLog(reader, file, to.log, findings);
  reader.Optional("log_retention_ms", to.log_retention, Millis(60'000));
  return to;
}

void ReadSeeds(ObjectReader& reader, std::vector<std::string>& to) {
  reader.Optional("entry_seeds", to);
  if (to.empty()) {
    reader.Fault("entry_seeds",
                 "must name at least one address, usually the load balancer's");
  }
  for (const std::string& seed : to) {
    if (!IsAddress(seed)) {
      reader.Fault("entry_seeds", "\"" + seed +
                                      "\" is not an address such as "
                                      "\"127.0.0.1:7001\"");
    }
  }
}

AgentSettings ReadAgent(ObjectReader& reader,
                        const std::string& file,
                        Findings& findings) {
  AgentSettings to;
  ReadName(reader, "name", to.name);
  ReadName(reader, "data_centre", to.data_centre);
  reader.Optional("region", to.region);
  ReadName(reader, "rack", to.rack);
  reader.Optional("accelerators", to.accelerators, {0, 32});
  reader.Optional("slots", to.slots, {1, 1024});
  reader.Optional("connections", to.connections, {1, 65'536});
  ReadAddress(reader, "peers_listen", to.peers_listen);
  ReadAddress(reader, "metrics_listen", to.metrics_listen);
  ReadAddress(reader, "backend_server", to.backend_server);
  ReadSeeds(reader, to.entry_seeds);
  ReadSecret(reader, "shared_key", to.shared_key);
  ReadLog(reader, file, to.log, findings);
  return to;
}

template <class Settings, class Read>
std::variant<Settings, Findings> Parse(std::string_view text,
                                       const std::string& file,
                                       Read read) {
  auto parsed = ParseJson(text, file);
  if (auto* findings = std::get_if<Findings>(&parsed)) {
    return std::move(*findings);
  }
  Findings findings;
  ObjectReader reader(std::get<JsonNode>(parsed), "", file, findings);
  Settings settings = read(reader, file, findings);
  reader.Finish();
  if (!findings.empty()) {
    return findings;
  }
  return settings;
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

}  // namespace

EntrySettingsOrFindings ParseEntrySettings(std::string_view text,
                                           const std::string& file) {
  return Parse<EntrySettings>(text, file, ReadEntry);
}

AgentSettingsOrFindings ParseAgentSettings(std::string_view text,
                                           const std::string& file) {
  return Parse<AgentSettings>(text, file, ReadAgent);
}

EntrySettingsOrFindings LoadEntrySettings(const std::string& file) {
  auto text = ReadFile(file);
  if (auto* findings = std::get_if<Findings>(&text)) {
    return std::move(*findings);
  }
  return ParseEntrySettings(std::get<std::string>(text), file);
}

AgentSettingsOrFindings LoadAgentSettings(const std::string& file) {
  auto text = ReadFile(file);
  if (auto* findings = std::get_if<Findings>(&text)) {
    return std::move(*findings);
  }
  return ParseAgentSettings(std::get<std::string>(text), file);
}

}  // namespace shallotlug::settings
