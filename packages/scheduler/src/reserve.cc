#include "reserve.h"

#include <algorithm>

namespace shallotlug::scheduler {

using workload::Resources;

namespace {

// Of the workers that could take a batch job, at most every fourth is left to
// urgent jobs, so that these need not wait for a stop.
constexpr std::size_t kWorkersForEachReserved = 4;
// As much as urgent jobs have asked for at once within this time is expected
// again.
constexpr Millis kUrgentMemory{600'000};
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

/// @brief Workers that urgent jobs beyond those that run may need.
std::size_t WorkersExpected(const UrgentDemand& urgent,
                            const std::vector<Candidate>& candidates) {
  std::int64_t capacity = 0;
  for (const Candidate& it : candidates) {
    capacity += it.capacity.accelerators;
  }
  const std::int64_t expected = urgent.peak - urgent.running;
  if (capacity <= 0 || expected <= 0) {
    return 0;
  }
  const auto each = std::max<std::int64_t>(
      capacity / static_cast<std::int64_t>(candidates.size()), 1);
  return static_cast<std::size_t>((expected + each - 1) / each);
}

/// @brief Takes the workers with the most free accelerators off the list.
void Reserve(const UrgentDemand& urgent,
             std::vector<Candidate>& candidates,
             TimePoint now) {
  // Rounded, but no worker of a pool of two.
  const std::size_t most =
      candidates.size() <= 2
          ? 0
          : (candidates.size() + kWorkersForEachReserved / 2) /
                kWorkersForEachReserved;
  // A new scheduler has not seen the demand yet.
  const bool known = now - urgent.known_since > kUrgentMemory;
  const std::size_t n =
      known ? std::min(most, WorkersExpected(urgent, candidates)) : most;
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

void MeasureUrgentDemand(State& state,
                         const workload::Policy& policy,
                         const std::vector<Unit>& waiting,
                         TimePoint now) {
  std::int64_t running = 0;
  for (const auto& [task, run] : state.runs) {
    const OccurrenceRow* row = FindOccurrence(state, task);
    if (row != nullptr && TermsOf(policy, *row->job).priority == 0) {
      running += run.need.accelerators;
    }
  }
  std::int64_t wanted = running;
  for (const Unit& it : waiting) {
    if (it.terms.priority == 0) {
      wanted += it.step->need.accelerators *
                static_cast<std::int64_t>(it.tasks.size());
    }
  }
  UrgentDemand& urgent = state.urgent;
  if (urgent.known_since == TimePoint{}) {
    urgent.known_since = now;
  }
  urgent.running = running;
  if (wanted >= urgent.peak || now - urgent.peak_at > kUrgentMemory) {
    urgent.peak = wanted;
    urgent.peak_at = now;
  }
}

void LeaveReserve(State& state,
                  const Unit& unit,
                  std::vector<Candidate>& candidates,
                  Now now) {
  if (HoldsBack(state, unit, candidates, now)) {
    Reserve(state.urgent, candidates, now.local);
  }
}

}  // namespace shallotlug::scheduler
