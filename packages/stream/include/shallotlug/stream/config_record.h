#ifndef SHALLOTLUG_STREAM_CONFIG_RECORD_H_
#define SHALLOTLUG_STREAM_CONFIG_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "shallotlug/base/work.h"
#include "shallotlug/stream/parse_fault.h"

/// Records of the stream `config`.
namespace shallotlug::stream {

inline constexpr const char* kConfigStream = "config";

/// @brief One operator's change of one class.
struct TargetChangeRecord {
  std::string change_id;
  ClassTarget target;
  std::uint64_t base_version = 0;  ///< 0: the class must not exist.
  bool remove = false;
  /// The guarantees that the change was checked against; see
  /// GuaranteesRevision.
  std::uint64_t guarantees_at = 0;

  bool operator==(const TargetChangeRecord&) const = default;
};

/// @brief The whole configuration at `targets.revision`, made by a writer that
/// had applied every record before `folded_to`.
struct TargetSnapshotRecord {
  Targets targets;
  std::uint64_t folded_to = 0;

  bool operator==(const TargetSnapshotRecord&) const = default;
};

using ConfigRecord =
    std::variant<TargetChangeRecord, TargetSnapshotRecord, ParseFault>;

std::string Format(const TargetChangeRecord& record);
std::string Format(const TargetSnapshotRecord& record);
ConfigRecord ParseConfigRecord(std::string_view data);

}  // namespace shallotlug::stream

#endif  // SHALLOTLUG_STREAM_CONFIG_RECORD_H_
