#ifndef SHALLOTLUG_DECISION_LIVE_ROUTE_H_
#define SHALLOTLUG_DECISION_LIVE_ROUTE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "shallotlug/base/clock.h"

namespace shallotlug::decision {

/// @brief What an entry knows of one agent when it routes a live request.
struct LiveCandidate {
  bool usable = false;  ///< Linked, heard from, not leaving, not quarantined.
  bool probing = false;
  int live_capacity = 0;   ///< Accelerators that are free or can be throttled.
  int in_flight = 0;       ///< Sent by this entry since the last report.
  Millis expected_wait{};  ///< From the last report.
  int free = 0;            ///< Accelerators that need no throttling.
};

/// @brief Picks an agent by power of two choices over expected wait, or nothing
/// when no candidate is usable. Candidates on which the request throttles
/// nothing come first. `random` is consumed and updated.
/// Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load
/// Balancing", IEEE TPDS 12(10), 2001.
std::optional<std::size_t> RouteLive(
    const std::vector<LiveCandidate>& candidates,
    int accelerators,
    std::uint64_t& random);

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_LIVE_ROUTE_H_
