#ifndef SHALLOTLUG_HARNESS_PROCESS_H_
#define SHALLOTLUG_HARNESS_PROCESS_H_

#include <compare>
#include <string>

#include "shallotlug/base/clock.h"

namespace shallotlug::harness {

enum class Role { kEntry, kAgent };

/// @brief A process of the fake cluster. Indexes start at 1; 0 stands for all
/// processes of the role.
struct ProcessRef {
  Role role = Role::kEntry;
  int index = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive.
  auto operator<=>(const ProcessRef&) const = default;
};

/// @brief Whether `pattern` names `process` or all processes of its role.
inline bool Covers(const ProcessRef& pattern, const ProcessRef& process) {
  return pattern.role == process.role &&
         (pattern.index == 0 || pattern.index == process.index);
}

/// @brief `entry 1`, `agent 3` or `entry all`.
inline std::string ToString(const ProcessRef& process) {
  return std::string(process.role == Role::kEntry ? "entry " : "agent ") +
         (process.index == 0 ? "all" : std::to_string(process.index));
}

/// @brief Clock of one process: an offset and a drift against true time.
struct ClockModel {
  Millis offset{};
  int drift_ppm = 0;

  Millis Read(Millis true_time) const {
    return offset + true_time + true_time * drift_ppm / 1'000'000;
  }
};

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_PROCESS_H_
