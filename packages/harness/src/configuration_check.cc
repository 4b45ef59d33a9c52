#include "configuration_check.h"

#include <algorithm>

namespace shallotlug::harness {
namespace {

constexpr Millis kInForceWithin{7000};

// For each class, its last change that was accepted long enough ago.
std::vector<const ChangesByName::value_type*> DueChanges(
    const ChangesByName& changes,
    Millis now) {
  std::map<ClassName, const ChangesByName::value_type*> latest;
  for (const auto& it : changes) {
    const OperatorChange& change = it.second;
    if (change.state != ChangeState::kAccepted ||
        now - change.accepted_at < kInForceWithin) {
      continue;
    }
    auto& slot = latest[change.target.name];
    if (slot == nullptr || slot->second.version < change.version) {
      slot = &it;
    }
  }
  std::vector<const ChangesByName::value_type*> due;
  for (const auto& [name, named] : latest) {
    due.push_back(named);
  }
  return due;
}

// Without an entry of the map, the condition has held from the start.
bool HeldLongEnough(const std::map<std::pair<int, int>, Millis>& since,
                    const ConfiguredProcess& entry,
                    const ConfiguredProcess& agent,
                    Millis now) {
  const auto it = since.find({entry.ref.index, agent.ref.index});
  return (it == since.end() ? Millis(0) : it->second) <= now - kInForceWithin;
}

bool UsableLongEnough(const ConfiguredProcess& process, Millis now) {
  return process.targets != nullptr &&
         process.usable_since <= now - kInForceWithin;
}

}  // namespace

bool Uses(const Targets& targets, const OperatorChange& change) {
  return std::any_of(targets.entries.begin(), targets.entries.end(),
                     [&](const VersionedTarget& it) {
                       return it.target.name == change.target.name &&
                              it.version >= change.version;
                     });
}

void ConfigurationCheck::Tick(const ConfiguredCluster& cluster,
                              const ChangesByName& changes,
                              Oracle& oracle) {
  NoteDisturbances(cluster);
  for (const NamedChange* it : DueChanges(changes, cluster.now)) {
    NoteUse(cluster, *it);
    CheckChange(cluster, *it, oracle);
  }
}

void ConfigurationCheck::NoteDisturbances(const ConfiguredCluster& cluster) {
  if (!cluster.log->Healthy(cluster.now)) {
    log_healthy_since_ = cluster.now;
  }
  for (const ConfiguredProcess& entry : cluster.entries) {
    for (const ConfiguredProcess& agent : cluster.agents) {
      const EntryAndAgent pair(entry.ref.index, agent.ref.index);
      if (!cluster.network->HaveHadLink(agent.ref, entry.ref)) {
        linked_since_[pair] = cluster.now;
      }
      if (cluster.network->Disturbed(cluster.now, entry.ref, agent.ref)) {
        undisturbed_since_[pair] = cluster.now;
      }
    }
  }
}

void ConfigurationCheck::NoteUse(const ConfiguredCluster& cluster,
                                 const NamedChange& named) {
  for (const auto* processes : {&cluster.entries, &cluster.agents}) {
    for (const ConfiguredProcess& it : *processes) {
      const ProcessAndChange key(it.ref, named.first);
      if (it.targets == nullptr || !Uses(*it.targets, named.second)) {
        in_force_since_.erase(key);
      } else {
        in_force_since_.emplace(key, cluster.now);
      }
    }
  }
}

bool ConfigurationCheck::UsesLongEnough(const ConfiguredCluster& cluster,
                                        const ConfiguredProcess& process,
                                        const NamedChange& named) const {
  const auto it = in_force_since_.find({process.ref, named.first});
  return it != in_force_since_.end() &&
         it->second <= cluster.now - kInForceWithin;
}

// An agent without a link to an entry finds one through the balancer, which may
// choose an entry that this agent cannot reach.
bool ConfigurationCheck::FindsAnyEntry(const ConfiguredCluster& cluster,
                                       const ConfiguredProcess& agent) const {
  return std::all_of(cluster.entries.begin(), cluster.entries.end(),
                     [&](const ConfiguredProcess& it) {
                       return it.targets == nullptr ||
                              HeldLongEnough(undisturbed_since_, it, agent,
                                             cluster.now);
                     });
}

bool ConfigurationCheck::Connected(const ConfiguredCluster& cluster,
                                   const ConfiguredProcess& entry,
                                   const ConfiguredProcess& agent) const {
  const Millis now = cluster.now;
  return UsableLongEnough(entry, now) && UsableLongEnough(agent, now) &&
         !entry.shutdown_due && !agent.shutdown_due &&
         HeldLongEnough(undisturbed_since_, entry, agent, now) &&
         (HeldLongEnough(linked_since_, entry, agent, now) ||
          FindsAnyEntry(cluster, agent));
}

// A change comes to an entry from the log or an agent, to an agent from an
// entry.
void ConfigurationCheck::CheckChange(const ConfiguredCluster& cluster,
                                     const NamedChange& named,
                                     Oracle& oracle) {
  const Millis now = cluster.now;
  const bool log_reached = log_healthy_since_ <= now - kInForceWithin;
  for (const ConfiguredProcess& entry : cluster.entries) {
    const auto gives = [&](const ConfiguredProcess& it) {
      return Connected(cluster, entry, it) &&
             UsesLongEnough(cluster, it, named);
    };
    if (UsableLongEnough(entry, now) &&
        (log_reached ||
         std::any_of(cluster.agents.begin(), cluster.agents.end(), gives))) {
      CheckProcess(entry.ref, named, now, oracle);
    }
  }
  for (const ConfiguredProcess& agent : cluster.agents) {
    const auto gives = [&](const ConfiguredProcess& it) {
      return Connected(cluster, it, agent) &&
             (log_reached || UsesLongEnough(cluster, it, named));
    };
    if (std::any_of(cluster.entries.begin(), cluster.entries.end(), gives)) {
      CheckProcess(agent.ref, named, now, oracle);
    }
  }
}

void ConfigurationCheck::CheckProcess(const ProcessRef& process,
                                      const NamedChange& named,
                                      Millis now,
                                      Oracle& oracle) {
  const ProcessAndChange key(process, named.first);
  if (in_force_since_.contains(key) || std::exchange(reported_[key], true)) {
    return;
  }
  oracle.Report(Promise::kP8, now,
                ToString(process) + " does not use change " + named.first +
                    " accepted at " +
                    std::to_string(named.second.accepted_at.count()) + " ms");
}

}  // namespace shallotlug::harness
