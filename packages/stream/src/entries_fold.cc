#include "shallotlug/stream/entries_fold.h"

#include <algorithm>
#include <string>

#include <xxhash.h>

namespace shallotlug::stream {
namespace {

void ApplyOne(EntriesFold& fold,
              const EntryAnnouncement& record,
              TimePoint now,
              Millis age) {
  if (record.expires_in <= Millis(0)) {
    const auto it = fold.rows.find(record.entry.name);
    // An earlier life's farewell must not remove the present one.
    if (it != fold.rows.end() &&
        it->second.announcement.entry == record.entry) {
      fold.rows.erase(it);
    }
    return;
  }
  const auto it = fold.rows.find(record.entry.name);
  const bool known =
      it != fold.rows.end() && it->second.announcement.entry == record.entry;
  const TimePoint first_seen = known ? it->second.first_seen : now;
  fold.rows[record.entry.name] = {record, first_seen,
                                  now + record.expires_in - age};
}

}  // namespace

void Apply(EntriesFold& fold,
           const LogReadResult& read,
           TimePoint now,
           Millis age) {
  if (!read.ok) {
    return;
  }
  fold.next_offset = std::max(fold.next_offset, read.start);
  for (const LogRecord& it : read.records) {
    if (it.offset < fold.next_offset) {
      continue;
    }
    fold.next_offset = it.offset + 1;
    const EntryRecord record = ParseEntryRecord(it.data);
    if (const auto* fault = std::get_if<ParseFault>(&record)) {
      ++(*fault == ParseFault::kUnknownKind ? fold.unknown_kinds
                                            : fold.malformed);
    } else {
      ApplyOne(fold, std::get<EntryAnnouncement>(record), now, age);
    }
  }
}

void Expire(EntriesFold& fold, TimePoint now) {
  std::erase_if(fold.rows,
                [&](const auto& it) { return it.second.expires <= now; });
}

EntryName Rendezvous(const std::vector<EntryName>& names,
                     std::string_view key) {
  EntryName best;
  std::uint64_t best_weight = 0;
  for (const EntryName& it : names) {
    const std::string text = it.value + '\0' + std::string(key);
    const std::uint64_t weight = XXH64(text.data(), text.size(), 0);
    if (best.empty() || weight > best_weight ||
        (weight == best_weight && it < best)) {
      best = it;
      best_weight = weight;
    }
  }
  return best;
}

}  // namespace shallotlug::stream
