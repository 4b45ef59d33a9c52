#ifndef SHALLOTLUG_HARNESS_PROCESS_H_
#define SHALLOTLUG_HARNESS_PROCESS_H_

#include <algorithm>
#include <compare>
#include <string>

#include "shallotlug/base/clock.h"
#include "shallotlug/harness/random.h"

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

/// @brief The clock after a loss of power at `now`: behind or ahead of the
/// former one, by about a second or by hours.
inline ClockModel ClockAfterPowerLoss(const ClockModel& former,
                                      Millis now,
                                      Random& random) {
  constexpr Millis kHours{10'000'000};
  const Millis step(800 + random.Below(400));
  const Millis read = former.Read(now);
  ClockModel clock = former;
  switch (random.Below(4)) {
    case 0:  // Began at 0.
      clock.offset -= read - step;
      break;
    case 1:
      clock.offset -= std::min(step, read);
      break;
    case 2:
      clock.offset += step;
      break;
    default:
      clock.offset += kHours + step;
      break;
  }
  return clock;
}

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_PROCESS_H_
