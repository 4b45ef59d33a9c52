#include "shallotlug/settings/settings.h"

#include "fields.h"
#include "shallotlug/base/address.h"

namespace shallotlug::settings {

using detail::Load;
using detail::Parse;
using detail::ReadAddress;
using detail::ReadHttp;
using detail::ReadLog;
using detail::ReadName;
using detail::ReadSecret;

namespace {

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
  return Load<EntrySettings>(file, ParseEntrySettings);
}

AgentSettingsOrFindings LoadAgentSettings(const std::string& file) {
  return Load<AgentSettings>(file, ParseAgentSettings);
}

}  // namespace shallotlug::settings
