#ifndef SHALLOTLUG_STREAM_ENTRIES_FOLD_H_
#define SHALLOTLUG_STREAM_ENTRIES_FOLD_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "shallotlug/stream/entry_record.h"
#include "shallotlug/stream/log_io.h"

namespace shallotlug::stream {

/// @brief An announced entry and when its announcement lapses here.
struct LiveEntry {
  EntryAnnouncement announcement;
  TimePoint first_seen{};  ///< Of this incarnation.
  TimePoint expires{};
};

struct EntriesFold {
  std::map<EntryName, LiveEntry> rows;
  std::uint64_t next_offset = 0;
  std::int64_t unknown_kinds = 0;
  std::int64_t malformed = 0;
};

/// @brief Applies what a read returned. `age` is the least age of its records:
/// those of the backlog at a start have no known age, and a dead entry must
/// not be taken for a live one for long.
void Apply(EntriesFold& fold,
           const LogReadResult& read,
           TimePoint now,
           Millis age);

/// @brief Removes entries whose announcement has lapsed at `now`.
void Expire(EntriesFold& fold, TimePoint now);

/// @brief The entry responsible for `key` among `names`: the highest xxHash64
/// of name and key. Empty when there are none.
/// Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase
/// Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
EntryName Rendezvous(const std::vector<EntryName>& names, std::string_view key);

}  // namespace shallotlug::stream

#endif  // SHALLOTLUG_STREAM_ENTRIES_FOLD_H_
