#include "reserve.h"

#include <algorithm>

namespace shallotlug::scheduler {

using workload::Resources;

namespace {

// Of the workers that could take a batch job, every fourth is left to urgent
// jobs, so that these need not wait for a stop.
constexpr std::size_t kWorkersForEachReserved = 4;
// A batch job presses when the time left to its objective is less than this
// multiple of its estimate.
constexpr double kPressingFactor = 1.5;
// Nothing waits long for a reserve in a pool of which less than this is in use.
constexpr double kBusyShare = 0.5;
constexpr Millis kLongestHold{2'000};

/// @brief Shares of a pool's capacity that are in use.
struct Usage {
  double mean = 0;  ///< Of cores, memory and accelerators.
  double accelerators = 0;
};

double Share(std::int64_t free, std::int64_t capacity) {
  return capacity > 0
             ? 1.0 - static_cast<double>(free) / static_cast<double>(capacity)
             : 1.0;
}

Usage UsageOf(const std::vector<Candidate>& candidates) {
  Resources free;
  Resources capacity;
  for (const Candidate& it : candidates) {
    free += it.free;
    capacity += it.capacity;
  }
  Usage usage;
  usage.accelerators = Share(free.accelerators, capacity.accelerators);
  usage.mean =
      (usage.accelerators + Share(free.memory_mib, capacity.memory_mib) +
       Share(free.cpu_millis, capacity.cpu_millis)) /
      3;
  return usage;
}

/// @brief Whether batch work that waits longer would miss its objective.
bool Presses(const Unit& unit, Now now) {
  const auto needed =
      std::chrono::duration_cast<Millis>(kPressingFactor * unit.step->estimate);
  return now.wall + needed > unit.objective;
}

/// @brief Takes the workers with the most free accelerators off the list.
void Reserve(std::vector<Candidate>& candidates) {
  // Rounded, but no worker of a pool of two.
  const std::size_t n =
      candidates.size() <= 2
          ? 0
          : (candidates.size() + kWorkersForEachReserved / 2) /
                kWorkersForEachReserved;
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return a.free.accelerators > b.free.accelerators;
                   });
  candidates.erase(candidates.begin(),
                   candidates.begin() + static_cast<std::ptrdiff_t>(n));
}

/// @brief Whether the unit has to leave the reserve alone.
bool HoldsBack(State& state,
               const Unit& unit,
               const std::vector<Candidate>& candidates,
               Now now) {
  if (unit.terms.priority == 0 || unit.step->lasting || Presses(unit, now)) {
    return false;
  }
  const Usage usage = UsageOf(candidates);
  if (usage.mean >= kBusyShare && usage.accelerators >= kBusyShare) {
    state.held_since.erase(unit.key);
    return true;
  }
  const auto held = state.held_since.try_emplace(unit.key, now.local).first;
  return now.local - held->second < kLongestHold;
}

}  // namespace

void LeaveReserve(State& state,
                  const Unit& unit,
                  std::vector<Candidate>& candidates,
                  Now now) {
  if (HoldsBack(state, unit, candidates, now)) {
    Reserve(candidates);
  }
}

}  // namespace shallotlug::scheduler
