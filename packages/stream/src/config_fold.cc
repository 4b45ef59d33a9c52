#include "shallotlug/stream/config_fold.h"

#include <algorithm>

namespace shallotlug::stream {
namespace {

VersionedTarget* FindEntry(Targets& targets, const ClassName& name) {
  const auto it =
      std::lower_bound(targets.entries.begin(), targets.entries.end(), name,
                       [](const VersionedTarget& entry, const ClassName& key) {
                         return entry.target.name < key;
                       });
  return it != targets.entries.end() && it->target.name == name ? &*it
                                                                : nullptr;
}

void PutEntry(Targets& targets, VersionedTarget entry) {
  const auto it = std::lower_bound(
      targets.entries.begin(), targets.entries.end(), entry.target.name,
      [](const VersionedTarget& other, const ClassName& key) {
        return other.target.name < key;
      });
  if (it != targets.entries.end() && it->target.name == entry.target.name) {
    *it = std::move(entry);
  } else {
    targets.entries.insert(it, std::move(entry));
  }
}

void Remember(ConfigFold& fold, const ConfigChange& change) {
  auto& history = fold.history[change.record.target.name];
  history.push_back(change);
  if (history.size() > fold.options.history_per_class) {
    history.pop_front();
  }
  fold.changes.emplace(change.record.change_id, change);
  fold.change_order.push_back(change.record.change_id);
  if (fold.change_order.size() > fold.options.change_limit) {
    fold.changes.erase(fold.change_order.front());
    fold.change_order.pop_front();
  }
}

void ApplyChange(ConfigFold& fold,
                 std::uint64_t offset,
                 const TargetChangeRecord& record) {
  if (offset < fold.folded.revision ||
      fold.changes.contains(record.change_id)) {
    return;  // Contained in a snapshot, or a repeated append.
  }
  const VersionedTarget* entry = FindEntry(fold.folded, record.target.name);
  const bool exists = entry != nullptr && !entry->removed;
  const std::uint64_t version = exists ? entry->version : 0;
  ConfigChange change;
  change.record = record;
  change.offset = offset;
  change.version = version;
  // A removal of a class that does not exist changes nothing.
  change.guarantees_changed =
      !record.remove &&
      RaisesGuarantee(exists ? entry : nullptr, record.target) &&
      record.guarantees_at < GuaranteesRevision(fold.folded);
  change.accepted = record.base_version == version &&
                    (exists || !record.remove) && !change.guarantees_changed;
  if (change.accepted) {
    change.version = offset + 1;
    fold.folded.revision = offset + 1;
    PutEntry(fold.folded, {record.target, offset + 1, record.remove});
  }
  Remember(fold, change);
}

void ApplyWaiting(ConfigFold& fold) {
  fold.complete = true;
  for (const LogRecord& it : fold.waiting) {
    const ConfigRecord record = ParseConfigRecord(it.data);
    if (const auto* change = std::get_if<TargetChangeRecord>(&record)) {
      ApplyChange(fold, it.offset, *change);
    }
  }
  fold.waiting.clear();
}

void ApplySnapshot(ConfigFold& fold,
                   std::uint64_t offset,
                   const TargetSnapshotRecord& record) {
  fold.last_snapshot = offset;
  if (!fold.complete) {
    // Changes between the writer's position and the start of this read are not
    // known, so an earlier snapshot cannot be completed.
    if (record.folded_to >= fold.first_offset) {
      fold.folded = record.targets;
      ApplyWaiting(fold);
    }
    return;
  }
  if (!fold.options.monotonic ||
      record.targets.revision > fold.folded.revision) {
    fold.folded = record.targets;
  }
}

void ApplyRecord(ConfigFold& fold, const LogRecord& it) {
  const ConfigRecord record = ParseConfigRecord(it.data);
  if (const auto* fault = std::get_if<ParseFault>(&record)) {
    ++(*fault == ParseFault::kUnknownKind ? fold.unknown_kinds
                                          : fold.malformed);
  } else if (const auto* snapshot =
                 std::get_if<TargetSnapshotRecord>(&record)) {
    ApplySnapshot(fold, it.offset, *snapshot);
  } else if (!fold.complete) {
    if (fold.waiting.size() < fold.options.waiting_limit) {
      fold.waiting.push_back(it);
    }
  } else {
    ApplyChange(fold, it.offset, std::get<TargetChangeRecord>(record));
  }
}

// Begins again where the stream now starts: records that were never read have
// been dropped, so the fold needs a snapshot.
void Restart(ConfigFold& fold, std::uint64_t start) {
  fold.complete = start == 0;
  fold.first_offset = start;
  fold.next_offset = start;
  fold.waiting.clear();
  fold.started = true;
}

// An agent's configuration serves as the base when no change after it can have
// been missed. The stream is empty only when no change came for the whole
// retention, so that agents had ample time to receive the last one.
void UseAdoptedAsBase(ConfigFold& fold, const LogReadResult& read) {
  const bool empty = read.start == read.end && read.end == fold.next_offset;
  if (!fold.complete && fold.adopted.revision > 0 &&
      (fold.adopted.revision >= fold.first_offset || empty)) {
    fold.folded = fold.adopted;
    ApplyWaiting(fold);
  }
}

}  // namespace

void Apply(ConfigFold& fold, const LogReadResult& read) {
  if (!read.ok) {
    return;
  }
  if (!fold.started || read.start > fold.next_offset) {
    Restart(fold, read.start);
  }
  for (const LogRecord& it : read.records) {
    if (it.offset >= fold.next_offset) {
      ApplyRecord(fold, it);
      fold.next_offset = it.offset + 1;
    }
  }
  UseAdoptedAsBase(fold, read);
}

bool Adopt(ConfigFold& fold, const ConfigUpdate& update) {
  Targets candidate = Current(fold);
  if (fold.options.monotonic && update.revision <= candidate.revision) {
    return false;
  }
  if (!fold.options.monotonic) {
    candidate.revision = 0;
  }
  if (!ApplyConfigUpdate(candidate, update)) {
    return false;
  }
  if (!fold.options.monotonic) {
    fold.folded = candidate;
  }
  fold.adopted = std::move(candidate);
  return true;
}

const Targets& Current(const ConfigFold& fold) {
  return fold.adopted.revision > fold.folded.revision ? fold.adopted
                                                      : fold.folded;
}

const VersionedTarget* FindTarget(const Targets& targets,
                                  const ClassName& name) {
  const auto it =
      std::lower_bound(targets.entries.begin(), targets.entries.end(), name,
                       [](const VersionedTarget& entry, const ClassName& key) {
                         return entry.target.name < key;
                       });
  const bool found =
      it != targets.entries.end() && it->target.name == name && !it->removed;
  return found ? &*it : nullptr;
}

std::uint64_t GuaranteesRevision(const Targets& targets) {
  std::uint64_t revision = 0;
  for (const VersionedTarget& it : targets.entries) {
    if (!it.removed && it.target.guarantee.groups > 0) {
      revision = std::max(revision, it.version);
    }
  }
  return revision;
}

bool RaisesGuarantee(const VersionedTarget* now, const ClassTarget& wanted) {
  const Guarantee& guarantee = wanted.guarantee;
  if (guarantee.groups == 0) {
    return false;
  }
  return now == nullptr || now->target.customer != wanted.customer ||
         now->target.guarantee.within != guarantee.within ||
         now->target.guarantee.groups < guarantee.groups ||
         now->target.guarantee.accelerators < guarantee.accelerators;
}

ConfigUpdate MakeConfigUpdate(const Targets& targets, std::uint64_t since) {
  ConfigUpdate update;
  update.base_revision = since <= targets.revision ? since : 0;
  update.revision = targets.revision;
  for (const VersionedTarget& it : targets.entries) {
    if (it.version > update.base_revision || update.base_revision == 0) {
      update.entries.push_back(it);
    }
  }
  return update;
}

bool ApplyConfigUpdate(Targets& targets, const ConfigUpdate& update) {
  if (update.revision <= targets.revision ||
      update.base_revision > targets.revision) {
    return false;
  }
  if (update.base_revision == 0) {
    targets.entries.clear();
  }
  for (const VersionedTarget& it : update.entries) {
    PutEntry(targets, it);
  }
  targets.revision = update.revision;
  return true;
}

TargetSnapshotRecord MakeSnapshot(const ConfigFold& fold) {
  return {fold.folded, fold.next_offset};
}

}  // namespace shallotlug::stream
