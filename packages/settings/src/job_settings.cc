#include "shallotlug/settings/job_settings.h"

#include "fields.h"

namespace shallotlug::settings {

using detail::Load;
using detail::Parse;
using detail::ReadAddress;
using detail::ReadHttp;
using detail::ReadLog;
using detail::ReadName;

namespace {

constexpr double kMinCores = 0.001;
constexpr double kMaxCores = 4'096.0;

constexpr double kMaxRemoteFactor = 1'000;
// An occurrence's progress is recorded in parts, the smallest of which needs
// this room.
constexpr std::int64_t kMinRecordBytes = 64 << 10;
constexpr std::int64_t kMaxStoreBytes = 1 << 30;
constexpr double kMaxMachineMemoryMb = 16'777'216;
constexpr double kBytesPerMegabyte = 1'000'000;

/// @brief Reads the machine's memory, and checks that requests take no more
/// than half of it: the process needs the rest for the jobs.
void ReadMemory(ObjectReader& reader, const HttpLimits& http, double& to) {
  reader.Optional("machine_memory_mb", to, 0.0, kMaxMachineMemoryMb);
  if (to > 0 &&
      2 * static_cast<double>(http.memory_bytes) > to * kBytesPerMegabyte) {
    reader.Fault("machine_memory_mb",
                 "must be at least twice http.memory_bytes; lower that");
  }
}

void ReadLongestLease(ObjectReader& timing, Millis& to) {
  timing.Optional("longest_lease_ms", to, Millis(1'000));
}

void ReadTiming(ObjectReader& parent,
                const std::string& file,
                JobTiming& to,
                Findings& findings) {
  const JsonNode* node = parent.Find("timing");
  if (!node) {
    return;
  }
  ObjectReader reader(*node, "/timing", file, findings);
  ReadLongestLease(reader, to.longest_lease);
  reader.Optional("stop_timeout_ms", to.stop_timeout, Millis(1));
  reader.Optional("reclaim_ms", to.reclaim, Millis(1));
  reader.Optional("state_retention_s", to.state_retention_s, 0.0, 86'400.0);
  reader.Finish();
}

void ReadStoreLimits(ObjectReader& reader, StoreLimitSettings& to) {
  reader.Optional("store_record_bytes", to.record_bytes,
                  {kMinRecordBytes, kMaxStoreBytes});
  reader.Optional("store_request_bytes", to.request_bytes,
                  {kMinRecordBytes, kMaxStoreBytes});
  if (to.request_bytes < to.record_bytes) {
    reader.Fault("store_request_bytes",
                 "must hold one record of store_record_bytes");
  }
}

void ReadScheduling(ObjectReader& parent,
                    const std::string& file,
                    SchedulingSettings& to,
                    Findings& findings) {
  const JsonNode* node = parent.Find("scheduling");
  if (!node) {
    return;
  }
  ObjectReader reader(*node, "/scheduling", file, findings);
  reader.Optional("learn_speeds", to.learn_speeds);
  reader.Optional("weigh_lateness", to.weigh_lateness);
  reader.Optional("remote_factor", to.remote_factor, 1.0, kMaxRemoteFactor);
  reader.Finish();
}

JobEntrySettings ReadEntry(ObjectReader& reader,
                           const std::string& file,
                           Findings& findings) {
  JobEntrySettings to;
  ReadName(reader, "name", to.name);
  ReadName(reader, "data_centre", to.data_centre);
  ReadAddress(reader, "callers_listen", to.callers_listen);
  ReadAddress(reader, "readiness_listen", to.readiness_listen);
  ReadAddress(reader, "peers_listen", to.peers_listen);
  ReadAddress(reader, "metrics_listen", to.metrics_listen);
  ReadAddress(reader, "store", to.store);
  ReadStoreLimits(reader, to.store_limits);
  reader.Optional("processor_cores", to.processor_cores, kMinCores, kMaxCores);
  ReadHttp(reader, file, to.http, findings);
  ReadMemory(reader, to.http, to.machine_memory_mb);
  ReadTiming(reader, file, to.timing, findings);
  ReadScheduling(reader, file, to.scheduling, findings);
  ReadLog(reader, file, to.log, findings);
  return to;
}

JobAgentSettings ReadAgent(ObjectReader& reader,
                           const std::string& file,
                           Findings& findings) {
  JobAgentSettings to;
  ReadName(reader, "name", to.name);
  ReadName(reader, "data_centre", to.data_centre);
  ReadAddress(reader, "heartbeats_listen", to.heartbeats_listen);
  ReadAddress(reader, "scheduler_listen", to.scheduler_listen);
  ReadAddress(reader, "metrics_listen", to.metrics_listen);
  ReadAddress(reader, "worker", to.worker);
  ReadAddress(reader, "store", to.store);
  ReadHttp(reader, file, to.http, findings);
  ReadMemory(reader, to.http, to.machine_memory_mb);
  if (const JsonNode* node = reader.Find("timing")) {
    ObjectReader timing(*node, "/timing", file, findings);
    ReadLongestLease(timing, to.longest_lease);
    timing.Finish();
  }
  ReadLog(reader, file, to.log, findings);
  return to;
}

}  // namespace

JobEntrySettingsOrFindings ParseJobEntrySettings(std::string_view text,
                                                 const std::string& file) {
  return Parse<JobEntrySettings>(text, file, ReadEntry);
}

JobAgentSettingsOrFindings ParseJobAgentSettings(std::string_view text,
                                                 const std::string& file) {
  return Parse<JobAgentSettings>(text, file, ReadAgent);
}

JobEntrySettingsOrFindings LoadJobEntrySettings(const std::string& file) {
  return Load<JobEntrySettings>(file, ParseJobEntrySettings);
}

JobAgentSettingsOrFindings LoadJobAgentSettings(const std::string& file) {
  return Load<JobAgentSettings>(file, ParseJobAgentSettings);
}

}  // namespace shallotlug::settings
