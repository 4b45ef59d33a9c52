#ifndef SHALLOTLUG_SETTINGS_JOB_SETTINGS_H_
#define SHALLOTLUG_SETTINGS_JOB_SETTINGS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "shallotlug/settings/settings.h"

/// Settings of the `serve-jobs` commands of both programs, which schedule jobs
/// on a platform that stores their state.
namespace shallotlug::settings {

/// @brief Time limits of the workers and guarantees to customers.
struct JobTiming {
  Millis longest_lease{10'000};  ///< Workers cap leases at this.
  Millis stop_timeout{400};      ///< A stopped task ends within this time.
  Millis reclaim{2'700};         ///< Guaranteed jobs start within this time.
  double state_retention_s = 180.0;  ///< How long job states can be queried.
};

/// @brief What the scheduler takes into account, beyond the configuration.
struct SchedulingSettings {
  /// Workers may differ in speed: their speeds are learnt from the progress of
  /// their runs.
  bool learn_speeds = false;
  /// A gang that prefers one rack takes this multiple of its time in several.
  double remote_factor = 3;
  /// When there is too little room, those wait or yield whose callers lose
  /// least by it.
  bool weigh_lateness = false;
};

/// @brief Sizes that the store accepts.
struct StoreLimitSettings {
  std::int64_t record_bytes = 262'144;     ///< Of a key and its value.
  std::int64_t request_bytes = 2'097'152;  ///< Of all records of an append.
};

/// @brief Settings of `shallotlug serve-jobs`. Addresses are `ip:port`.
struct JobEntrySettings {
  std::string name;
  std::string data_centre;
  std::string callers_listen;
  std::string readiness_listen;
  std::string peers_listen;  ///< For requests forwarded by other entries.
  std::string metrics_listen;
  std::string store;
  StoreLimitSettings store_limits;
  /// Processor time that the machine gives this process, in cores. Entries with
  /// more of it take the scheduler role first.
  double processor_cores = 1.0;
  /// Memory that the machine gives this process, in MB; 0: unknown.
  double machine_memory_mb = 0;
  HttpLimits http;
  JobTiming timing;
  SchedulingSettings scheduling;
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
  double machine_memory_mb = 0;  ///< As for an entry.
  HttpLimits http;
  Millis longest_lease{10'000};  ///< The worker caps leases at this.
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
