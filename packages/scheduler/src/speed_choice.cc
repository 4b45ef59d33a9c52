#include "speed_choice.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace shallotlug::scheduler {

namespace {

// An unguaranteed urgent unit waits this long at most for fast workers; a job
// must not wait for longer in a pool that is not busy.
constexpr Millis kMaxSpeedWait{1'500};
// A guaranteed unit waits for this fraction of the time within which it has to
// start.
constexpr int kWaitShareOfReclaim = 8;

/// @brief Whether the unit would end within its objective on such a worker, by
/// its estimate.
bool MeetsObjective(const Unit& unit, double time_factor, Now now) {
  const auto needed =
      std::chrono::duration_cast<Millis>(time_factor * unit.step->estimate);
  return now.wall + needed + unit.time_behind <= unit.objective;
}

template <class Predicate>
std::vector<Candidate> Filter(const std::vector<Candidate>& candidates,
                              Predicate predicate) {
  std::vector<Candidate> kept;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(kept),
               predicate);
  return kept;
}

std::set<int> Classes(const std::vector<Candidate>& candidates) {
  std::set<int> classes;
  for (const Candidate& it : candidates) {
    classes.insert(it.speed_class);
  }
  return classes;
}

bool CanHold(const std::vector<Candidate>& candidates, const Demand& demand) {
  return demand.same_rack ? AnyRackCanHold(candidates, demand)
                          : CouldHold(candidates, demand);
}

/// @brief Tries the fastest candidates, then also the next class, and so on.
std::vector<int> FitFastest(const std::vector<Candidate>& candidates,
                            const FitFunction& fit) {
  for (const int limit : Classes(candidates)) {
    std::vector<int> workers = fit(Filter(
        candidates, [&](const auto& it) { return it.speed_class <= limit; }));
    if (!workers.empty()) {
      return workers;
    }
  }
  return {};
}

std::vector<int> FitSlowest(const std::vector<Candidate>& candidates,
                            const FitFunction& fit) {
  const std::set<int> classes = Classes(candidates);
  for (auto limit = classes.rbegin(); limit != classes.rend(); ++limit) {
    std::vector<int> workers = fit(Filter(
        candidates, [&](const auto& it) { return it.speed_class >= *limit; }));
    if (!workers.empty()) {
      return workers;
    }
  }
  return {};
}

bool AreAlike(const std::vector<Candidate>& candidates) {
  return std::all_of(candidates.begin(), candidates.end(),
                     [&](const Candidate& it) {
                       return it.speed_class == candidates.front().speed_class;
                     });
}

}  // namespace

std::vector<int> FirstFit(const Unit& unit,
                          const std::vector<Candidate>& candidates,
                          Now now,
                          const FitFunction& fit) {
  if (unit.step->lasting || AreAlike(candidates)) {
    return fit(candidates);
  }
  if (unit.Priority() > 0) {
    std::vector<int> workers =
        FitSlowest(Filter(candidates,
                          [&](const Candidate& it) {
                            return MeetsObjective(unit, it.time_factor, now);
                          }),
                   fit);
    if (!workers.empty()) {
      return workers;
    }
  }
  return FitFastest(candidates, fit);
}

std::vector<Candidate> CandidatesInTime(
    const Unit& unit,
    const std::vector<Candidate>& candidates,
    const Demand& demand,
    Now now) {
  if (unit.Priority() > 0 || unit.step->lasting) {
    return candidates;
  }
  std::vector<Candidate> in_time = Filter(candidates, [&](const Candidate& it) {
    return MeetsObjective(unit, it.time_factor, now);
  });
  return CanHold(in_time, demand) ? in_time : candidates;
}

bool MayWaitForSpeed(State& state, const Unit& unit, TimePoint now) {
  const auto since = state.speed_wait_since.try_emplace(unit.key, now).first;
  const Millis limit = unit.guaranteed
                           ? state.options.reclaim / kWaitShareOfReclaim
                           : kMaxSpeedWait;
  return now - since->second < limit;
}

}  // namespace shallotlug::scheduler
