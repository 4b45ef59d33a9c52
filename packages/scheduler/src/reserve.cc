#include "reserve.h"

#include <algorithm>
#include <tuple>

namespace shallotlug::scheduler {

using workload::Resources;

namespace {

// At most one in four candidates for a batch job is reserved for urgent jobs,
// so that these need not wait for a preemption.
constexpr std::size_t kWorkersForEachReserved = 4;
// The peak demand of urgent jobs within this window is expected again.
constexpr Millis kUrgentDemandWindow{600'000};
// A batch job is at risk when the time left to its objective is less than this
// multiple of its estimate.
constexpr double kObjectiveRiskFactor = 1.5;
// Below this utilisation of the pool a batch unit respects the reserve for no
// longer than kMaxReserveWait.
constexpr double kBusyShare = 0.5;
constexpr Millis kMaxReserveWait{2'000};

/// @brief Utilisation of a pool, 0 to 1.
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

/// @brief Whether a batch unit is likely to miss its objective if it waits.
bool IsObjectiveAtRisk(const Unit& unit, Now now) {
  const auto needed = std::chrono::duration_cast<Millis>(kObjectiveRiskFactor *
                                                         unit.step->estimate);
  return now.wall + needed > unit.objective;
}

/// @brief Number of workers that urgent jobs may need in addition to those they
/// run on.
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

/// @brief Removes the workers with the most free accelerators from the list,
/// the faster ones first.
void ExcludeEmptiestWorkers(const UrgentDemand& urgent,
                            std::vector<Candidate>& candidates,
                            TimePoint now) {
  // Rounded to nearest; a pool of at most two workers has no reserve.
  const std::size_t most =
      candidates.size() <= 2
          ? 0
          : (candidates.size() + kWorkersForEachReserved / 2) /
                kWorkersForEachReserved;
  // A new scheduler has not measured the demand for a whole window yet.
  const bool known = now - urgent.known_since > kUrgentDemandWindow;
  const std::size_t n =
      known ? std::min(most, WorkersExpected(urgent, candidates)) : most;
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const Candidate& a, const Candidate& b) {
                     return std::tie(b.free.accelerators, a.speed_class) <
                            std::tie(a.free.accelerators, b.speed_class);
                   });
  candidates.erase(candidates.begin(),
                   candidates.begin() + static_cast<std::ptrdiff_t>(n));
}

/// @brief Whether the unit must not use the reserved workers.
bool MustKeepReserve(State& state,
                     const Unit& unit,
                     const std::vector<Candidate>& candidates,
                     Now now) {
  if (unit.Priority() == 0 || unit.step->lasting ||
      IsObjectiveAtRisk(unit, now)) {
    return false;
  }
  if (IsBusy(candidates)) {
    state.reserve_wait_since.erase(unit.key);
    return true;
  }
  const auto held =
      state.reserve_wait_since.try_emplace(unit.key, now.local).first;
  return now.local - held->second < kMaxReserveWait;
}

}  // namespace

bool IsBusy(const std::vector<Candidate>& candidates) {
  const Usage usage = UsageOf(candidates);
  return usage.mean >= kBusyShare && usage.accelerators >= kBusyShare;
}

void MeasureUrgentDemand(State& state,
                         const std::vector<Unit>& waiting,
                         TimePoint now) {
  const std::int64_t running = state.runs.UrgentAccelerators();
  std::int64_t wanted = running;
  for (const Unit& it : waiting) {
    if (it.Priority() == 0) {
      wanted += it.step->need.accelerators *
                static_cast<std::int64_t>(it.tasks.size());
    }
  }
  UrgentDemand& urgent = state.urgent;
  if (urgent.known_since == TimePoint{}) {
    urgent.known_since = now;
  }
  urgent.running = running;
  if (wanted >= urgent.peak || now - urgent.peak_at > kUrgentDemandWindow) {
    urgent.peak = wanted;
    urgent.peak_at = now;
  }
}

void ExcludeReservedWorkers(State& state,
                            const Unit& unit,
                            std::vector<Candidate>& candidates,
                            Now now) {
  if (MustKeepReserve(state, unit, candidates, now)) {
    ExcludeEmptiestWorkers(state.urgent, candidates, now.local);
  }
}

}  // namespace shallotlug::scheduler
