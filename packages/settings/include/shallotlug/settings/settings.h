#ifndef SHALLOTLUG_SETTINGS_SETTINGS_H_
#define SHALLOTLUG_SETTINGS_SETTINGS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/findings.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/base/log_line.h"

/// Settings of the two binaries, read from JSON and validated as a whole.
namespace shallotlug::settings {

enum class LogFormat { kText, kJson };

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  LogFormat format = LogFormat::kText;
};

/// @brief Limits of an HTTP listener.
struct HttpLimits {
  std::size_t body_bytes = 1 << 20;
  std::size_t connections = 1024;
  Millis read_timeout{10'000};  ///< For one whole request.
  Millis idle_timeout{60'000};  ///< Between requests of a connection.
  /// What all connections of the process hold for incomplete requests.
  std::size_t memory_bytes = 16 << 20;
};

/// @brief Settings of `shallotlug serve`. Addresses are `ip:port`.
struct EntrySettings {
  std::string name;
  std::string data_centre;
  std::string callers_listen;
  std::string operators_listen;
  std::string peers_listen;
  std::string metrics_listen;
  std::string log_service;
  std::string operator_token;
  std::string shared_key;  ///< For links between entries and agents.
  HttpLimits http;
  LogSettings log;
  Millis log_retention{3'600'000};
};

/// @brief Settings of `shallotlug-agent`. Addresses are `ip:port`.
struct AgentSettings {
  std::string name;
  std::string data_centre;
  std::string region;
  std::string rack;
  int accelerators = 8;
  int slots = 8;
  int connections = 64;
  std::string peers_listen;
  std::string metrics_listen;
  std::string backend_server;
  std::vector<std::string> entry_seeds;
  std::string shared_key;
  LogSettings log;
};

using EntrySettingsOrFindings = std::variant<EntrySettings, Findings>;
using AgentSettingsOrFindings = std::variant<AgentSettings, Findings>;

/// @brief Reads settings from text; `file` is only used in findings.
EntrySettingsOrFindings ParseEntrySettings(std::string_view text,
                                           const std::string& file);
AgentSettingsOrFindings ParseAgentSettings(std::string_view text,
                                           const std::string& file);

/// @brief Reads a settings file; a file that cannot be read is a finding.
EntrySettingsOrFindings LoadEntrySettings(const std::string& file);
AgentSettingsOrFindings LoadAgentSettings(const std::string& file);

}  // namespace shallotlug::settings

#endif  // SHALLOTLUG_SETTINGS_SETTINGS_H_
