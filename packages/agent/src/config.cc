#include "config.h"

#include <algorithm>
#include <string>

#include "links.h"
#include "log.h"

namespace shallotlug::agent {
namespace {

bool HasLowerName(const VersionedTarget& a, const VersionedTarget& b) {
  return a.target.name < b.target.name;
}

// A change contains everything since its base revision, so it also applies to
// a revision between its base and its own.
bool AppliesToRevision(const State& state, const ConfigUpdate& message) {
  return message.base_revision <= state.targets.revision;
}

void Merge(std::vector<VersionedTarget>& entries,
           const VersionedTarget& changed) {
  const auto it =
      std::lower_bound(entries.begin(), entries.end(), changed, HasLowerName);
  if (it == entries.end() || it->target.name != changed.target.name) {
    entries.insert(it, changed);
  } else if (it->version < changed.version) {
    *it = changed;
  }
}

void Apply(State& state, const ConfigUpdate& message) {
  if (message.base_revision == 0) {
    state.targets.entries = message.entries;
    std::sort(state.targets.entries.begin(), state.targets.entries.end(),
              HasLowerName);
  } else {
    for (const VersionedTarget& it : message.entries) {
      Merge(state.targets.entries, it);
    }
  }
  state.targets.revision = message.revision;
}

}  // namespace

void OnConfigUpdate(State& state, const ConfigUpdate& message, Outbox& out) {
  const bool newer = message.revision > state.targets.revision ||
                     !state.options.guards.monotonic_config;
  if (!newer || !AppliesToRevision(state, message)) {
    state.counters.AddTo("shallotlug_agent_config_ignored_total",
                         {{"reason", newer ? "gap" : "older"}});
    return;
  }
  Apply(state, message);
  state.counters.AddTo("shallotlug_agent_config_applied_total");
  Log(out, LogLevel::kInfo, "config_applied",
      {{"revision", std::to_string(message.revision)}});
}

void OnEntryRevision(State& state,
                     LinkId link,
                     std::uint64_t revision,
                     Outbox& out) {
  if (revision >= state.targets.revision) {
    return;
  }
  state.counters.AddTo("shallotlug_agent_config_forwarded_total");
  SendOn(state, link,
         ConfigUpdate{0, state.targets.revision, state.targets.entries}, out);
}

}  // namespace shallotlug::agent
