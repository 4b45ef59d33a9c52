#ifndef SHALLOTLUG_STREAM_CONFIG_FOLD_H_
#define SHALLOTLUG_STREAM_CONFIG_FOLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "shallotlug/base/work.h"
#include "shallotlug/protocol/messages.h"
#include "shallotlug/stream/config_record.h"
#include "shallotlug/stream/log_io.h"

namespace shallotlug::stream {

/// @brief A change of one target with its verdict.
struct ConfigChange {
  TargetChangeRecord record;
  std::uint64_t offset = 0;
  bool accepted = false;
  /// Rejected because a guarantee that it was not checked against came first.
  bool guarantees_changed = false;
  /// Version of the class after the change: its own when accepted, otherwise
  /// that of the change that won.
  std::uint64_t version = 0;
};

struct ConfigFoldOptions {
  bool monotonic = true;  ///< Tests disable it to show that it matters.
  std::size_t history_per_class = 200;
  std::size_t change_limit = 20'000;  ///< Changes kept for look-ups.
  std::size_t waiting_limit = 20'000;
};

/// @brief The configuration as the stream `config` defines it, and a newer one
/// that an agent brought while the log could not be read.
struct ConfigFold {
  ConfigFoldOptions options;
  Targets folded;
  Targets adopted;  ///< In force while its revision is the higher one.
  std::uint64_t next_offset = 0;
  bool started = false;
  /// False while the start of the stream is missing and no snapshot was found.
  bool complete = false;
  std::uint64_t first_offset = 0;  ///< Where this fold began to read.
  std::vector<LogRecord> waiting;  ///< Changes read before a snapshot.
  /// Offset of the newest snapshot; the next one is due before it is dropped.
  std::uint64_t last_snapshot = 0;
  std::map<ClassName, std::deque<ConfigChange>> history;
  std::unordered_map<std::string, ConfigChange> changes;
  std::deque<std::string> change_order;
  std::int64_t unknown_kinds = 0;
  std::int64_t malformed = 0;
};

/// @brief Applies what a read returned. Records that were applied before are
/// skipped.
void Apply(ConfigFold& fold, const LogReadResult& read);

/// @brief Takes the configuration that an agent has when it is newer.
/// Returns whether the configuration in force changed.
bool Adopt(ConfigFold& fold, const ConfigUpdate& update);

const Targets& Current(const ConfigFold& fold);

/// @brief Looks up a class in force; null when it does not exist or was
/// removed.
const VersionedTarget* FindTarget(const Targets& targets,
                                  const ClassName& name);

/// @brief The newest version among classes with a guarantee; 0 without any.
/// A change that raises a guarantee is accepted only if it was checked against
/// this revision, because guarantees of different classes share the workers.
std::uint64_t GuaranteesRevision(const Targets& targets);

/// @brief Whether `wanted` asks for more than `now`, which may be null.
bool RaisesGuarantee(const VersionedTarget* now, const ClassTarget& wanted);

/// @brief What a peer at `since` lacks; the whole when `since` is 0 or not a
/// revision of this history.
ConfigUpdate MakeConfigUpdate(const Targets& targets, std::uint64_t since);

/// @brief Applies an update to a copy held elsewhere. Returns false when the
/// update is older or its base is newer than the copy.
bool ApplyConfigUpdate(Targets& targets, const ConfigUpdate& update);

/// @brief The record that carries the whole folded configuration.
TargetSnapshotRecord MakeSnapshot(const ConfigFold& fold);

}  // namespace shallotlug::stream

#endif  // SHALLOTLUG_STREAM_CONFIG_FOLD_H_
