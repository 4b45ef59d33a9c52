#ifndef SHALLOTLUG_BASE_CLOCK_H_
#define SHALLOTLUG_BASE_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "shallotlug/base/ids.h"

namespace shallotlug {

/// @brief The unit of every duration in the core packages.
using Millis = std::chrono::milliseconds;

/// @brief The monotonic clock of this process. Core packages receive its
/// readings as arguments and never read it.
struct LocalClock {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = Millis;
  using time_point = std::chrono::time_point<LocalClock>;
};

/// @brief The monotonic clock of another process, known only from readings that
/// it sent.
struct PeerClock {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = Millis;
  using time_point = std::chrono::time_point<PeerClock>;
};

using TimePoint = LocalClock::time_point;
using PeerTime = PeerClock::time_point;

/// @brief A reading of a peer's clock and the local time at which it arrived.
struct PeerClockSample {
  PeerTime peer{};
  TimePoint received{};
};

/// @brief A reading of a process's clock that others send back to it. A later
/// incarnation must not use it: its machine's clock may have begun anew.
struct ClockReading {
  Incarnation incarnation{};  ///< Which read the clock.
  PeerTime at{};

  bool operator==(const ClockReading&) const = default;
};

/// @brief Expresses the local deadline `at` on the peer's clock.
///
/// The result is never later than `at`, because the peer read its clock before
/// the sample was received. Clock drift is covered by the lease margin.
constexpr PeerTime ToPeerTime(const PeerClockSample& sample, TimePoint at) {
  return sample.peer + (at - sample.received);
}

/// @brief Reads this process's clock as a peer sees it in a message.
constexpr PeerTime AsPeerTime(TimePoint now) {
  return PeerTime(now.time_since_epoch());
}

/// @brief Interprets a time that a peer expressed on this process's clock.
constexpr TimePoint AsLocalTime(PeerTime at) {
  return TimePoint(at.time_since_epoch());
}

/// @brief Part of a lease that is never used: 2 % of it for clock drift and
/// 200 ms for the time it takes to stop a task.
constexpr Millis LeaseMargin(Millis lease) {
  return lease / 50 + Millis(200);
}

}  // namespace shallotlug

#endif  // SHALLOTLUG_BASE_CLOCK_H_
