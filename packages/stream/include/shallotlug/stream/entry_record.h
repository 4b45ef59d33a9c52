#ifndef SHALLOTLUG_STREAM_ENTRY_RECORD_H_
#define SHALLOTLUG_STREAM_ENTRY_RECORD_H_

#include <string>
#include <string_view>
#include <variant>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/stream/parse_fault.h"

/// Records of the stream `entries`.
namespace shallotlug::stream {

inline constexpr const char* kEntryStream = "entries";

/// @brief A live entry and its addresses.
struct EntryAnnouncement {
  EntryRef entry;
  DataCentreName data_centre;
  std::string peer_address;
  std::string operator_address;
  Millis expires_in{};  ///< 0: the entry has left.

  bool operator==(const EntryAnnouncement&) const = default;
};

using EntryRecord = std::variant<EntryAnnouncement, ParseFault>;

std::string Format(const EntryAnnouncement& record);
EntryRecord ParseEntryRecord(std::string_view data);

}  // namespace shallotlug::stream

#endif  // SHALLOTLUG_STREAM_ENTRY_RECORD_H_
