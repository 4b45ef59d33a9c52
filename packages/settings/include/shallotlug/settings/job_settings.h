#ifndef SHALLOTLUG_SETTINGS_JOB_SETTINGS_H_
#define SHALLOTLUG_SETTINGS_JOB_SETTINGS_H_

#include <string>
#include <string_view>
#include <variant>

#include "shallotlug/settings/settings.h"

/// Settings of the two programs where they schedule jobs on a platform that
/// keeps their state.
namespace shallotlug::settings {

/// @brief How the workers behave, and what was promised.
struct JobTiming {
  Millis longest_lease{10'000};  ///< Workers shorten longer ones.
  Millis stop_timeout{400};      ///< A stopped task ends within this time.
  Millis reclaim{2'700};         ///< Guaranteed jobs begin within this time.
  double state_retention_s = 180.0;  ///< States can be asked for so long.
};

/// @brief Settings of `shallotlug serve-jobs`. Addresses are `ip:port`.
struct JobEntrySettings {
  std::string name;
  std::string data_centre;
  std::string callers_listen;
  std::string readiness_listen;
  std::string peers_listen;  ///< For requests that other entries hand over.
  std::string metrics_listen;
  std::string store;
  HttpLimits http;
  JobTiming timing;
  LogSettings log;
};

/// @brief Settings of `shallotlug-agent serve-jobs`. Addresses are `ip:port`.
struct JobAgentSettings {
  std::string name;
  std::string data_centre;
  std::string heartbeats_listen;
  std::string scheduler_listen;
  std::string metrics_listen;
  std::string worker;
  std::string store;
  LogSettings log;
};

using JobEntrySettingsOrFindings = std::variant<JobEntrySettings, Findings>;
using JobAgentSettingsOrFindings = std::variant<JobAgentSettings, Findings>;

/// @brief Reads settings from text; `file` is only used in findings.
JobEntrySettingsOrFindings ParseJobEntrySettings(std::string_view text,
                                                 const std::string& file);
JobAgentSettingsOrFindings ParseJobAgentSettings(std::string_view text,
                                                 const std::string& file);

/// @brief Reads a settings file; a file that cannot be read is a finding.
JobEntrySettingsOrFindings LoadJobEntrySettings(const std::string& file);
JobAgentSettingsOrFindings LoadJobAgentSettings(const std::string& file);

}  // namespace shallotlug::settings

#endif  // SHALLOTLUG_SETTINGS_JOB_SETTINGS_H_
