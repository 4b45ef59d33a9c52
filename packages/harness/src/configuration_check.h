#ifndef SHALLOTLUG_HARNESS_SRC_CONFIGURATION_CHECK_H_
#define SHALLOTLUG_HARNESS_SRC_CONFIGURATION_CHECK_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "shallotlug/harness/world.h"

namespace shallotlug::harness {

/// @brief An entry or agent with the targets that it uses.
struct ConfiguredProcess {
  ProcessRef ref;
  const Targets* targets = nullptr;  ///< Null while the process does not run.
  bool shutdown_due = false;
  Millis usable_since{};  ///< Of its last start or the end of its last freeze.
};

/// @brief The processes of a cluster, their network and their log.
struct ConfiguredCluster {
  Millis now{};
  std::vector<ConfiguredProcess> entries;
  std::vector<ConfiguredProcess> agents;
  const FakeNetwork* network = nullptr;
  const FakeLog* log = nullptr;
};

/// @brief All changes, by name.
using ChangesByName = std::map<std::string, OperatorChange>;

/// @brief Whether the targets contain the change or a later one of its class.
bool Uses(const Targets& targets, const OperatorChange& change);

/// @brief Checks that processes use accepted changes in time (P8).
class ConfigurationCheck {
 public:
  /// @brief Checks the cluster as it stands; to be called at each of its ticks.
  void Tick(const ConfiguredCluster& cluster,
            const ChangesByName& changes,
            Oracle& oracle);

 private:
  using NamedChange = ChangesByName::value_type;

  void NoteDisturbances(const ConfiguredCluster& cluster);
  void NoteUse(const ConfiguredCluster& cluster, const NamedChange& named);
  void CheckChange(const ConfiguredCluster& cluster,
                   const NamedChange& named,
                   Oracle& oracle);
  void CheckProcess(const ProcessRef& process,
                    const NamedChange& named,
                    Millis now,
                    Oracle& oracle);
  bool FindsAnyEntry(const ConfiguredCluster& cluster,
                     const ConfiguredProcess& agent) const;
  bool Connected(const ConfiguredCluster& cluster,
                 const ConfiguredProcess& entry,
                 const ConfiguredProcess& agent) const;
  bool UsesLongEnough(const ConfiguredCluster& cluster,
                      const ConfiguredProcess& process,
                      const NamedChange& named) const;

  using EntryAndAgent = std::pair<int, int>;
  using ProcessAndChange = std::pair<ProcessRef, std::string>;

  /// Since when a pair of processes has been able to exchange messages.
  std::map<EntryAndAgent, Millis> undisturbed_since_;
  /// Since when the running lives of a pair have had a link.
  std::map<EntryAndAgent, Millis> linked_since_;
  Millis log_healthy_since_{};
  std::map<ProcessAndChange, Millis> in_force_since_;
  std::map<ProcessAndChange, bool> reported_;
};

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_SRC_CONFIGURATION_CHECK_H_
