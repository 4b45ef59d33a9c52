#include "candidates.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <limits>
#include <string>

#include "rack_wait.h"
#include "reserve.h"
#include "speed_choice.h"
#include "suspects.h"

namespace shallotlug::scheduler {

namespace {

// How long a task waits for a worker in the rack of its data.
constexpr Millis kDataLocalityWait{3'000};
// How long a unit waits for a worker that is not avoided and on which none of
// its tasks has failed.
constexpr Millis kOtherWorkerWait{2'000};
// The same in a pool of which at least half is in use: others are full there.
constexpr Millis kOtherWorkerWaitWhenBusy{10'000};

bool HasLabel(const workload::WorkerFacts& worker, const std::string& label) {
  return label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                    label) != worker.labels.end();
}

int TasksOfStepOn(const State& state,
                  const Unit& unit,
                  const AgentName& agent) {
  const auto runs = state.runs.OfStep(
      unit.key.occurrence.job, unit.key.occurrence.number, unit.key.step);
  return static_cast<int>(std::count_if(
      runs.begin(), runs.end(),
      [&](const auto& it) { return it.second.on.agent == agent; }));
}

bool HasFailed(const State& state, const Unit& unit) {
  return !state.failed_on.empty() &&
         std::any_of(unit.tasks.begin(), unit.tasks.end(), [&](int it) {
           return state.failed_on.contains(TaskOf(unit, it));
         });
}

bool HasFailedOn(const State& state, const Unit& unit, const AgentName& agent) {
  return !state.failed_on.empty() &&
         std::any_of(unit.tasks.begin(), unit.tasks.end(), [&](int it) {
           const auto found = state.failed_on.find(TaskOf(unit, it));
           return found != state.failed_on.end() &&
                  found->second.contains(agent);
         });
}

bool IsPausedOn(const Placement& placement,
                const Unit& unit,
                const AgentName& agent) {
  return std::any_of(unit.tasks.begin(), unit.tasks.end(), [&](int it) {
    return IsPaused(placement.state, TaskOf(unit, it), agent,
                    placement.now.local);
  });
}

bool HasRunOfJobOn(const State& state,
                   const Unit& unit,
                   const AgentName& agent) {
  const auto& runs = state.runs.On(agent).rows;
  return std::any_of(runs.begin(), runs.end(), [&](const auto& it) {
    return it.first.job == unit.key.occurrence.job;
  });
}

bool IsEligible(const FleetWorker& worker, const Unit& unit) {
  return worker.schedulable &&
         worker.agent->worker.service == unit.row->terms.pool &&
         HasLabel(worker.agent->worker, unit.step->required_label);
}

/// @brief Workers that are asked only if the others cannot take the unit.
struct Reach {
  bool failed_on = false;    ///< Those on which one of its tasks has failed.
  bool last_resort = false;  ///< Those that are avoided.
};

bool IsWithin(const Placement& placement,
              const Unit& unit,
              const FleetWorker& worker,
              const Reach& reach) {
  if (worker.trust == Trust::kNone ||
      (worker.trust == Trust::kLastResort && !reach.last_resort)) {
    return false;
  }
  if (!HasFailedOn(placement.state, unit, *worker.name)) {
    return true;
  }
  // A task that lasts has no attempts to be used up.
  return reach.failed_on &&
         (unit.step->lasting || !IsPausedOn(placement, unit, *worker.name));
}

/// @brief Tasks of the unit that the worker may take. One that is not trusted
/// takes one task, or gang, of each job.
int LimitOn(const Placement& placement,
            const Unit& unit,
            const FleetWorker& worker) {
  int limit = std::numeric_limits<int>::max();
  if (unit.step->per_worker_limit > 0) {
    limit = unit.step->per_worker_limit -
            TasksOfStepOn(placement.state, unit, *worker.name);
  }
  if (worker.trust == Trust::kFull || unit.step->lasting) {
    return limit;
  }
  const int trial = unit.step->gang ? static_cast<int>(unit.tasks.size()) : 1;
  return HasRunOfJobOn(placement.state, unit, *worker.name)
             ? 0
             : std::min(limit, trial);
}

std::vector<Candidate> Candidates(const Placement& placement,
                                  const Unit& unit,
                                  const Reach& reach) {
  std::vector<Candidate> candidates;
  candidates.reserve(placement.fleet.size());
  for (std::size_t n = 0; n < placement.fleet.size(); ++n) {
    const FleetWorker& worker = placement.fleet[n];
    if (!IsEligible(worker, unit) ||
        IsClosedTo(placement.state, *worker.name, unit) ||
        !IsWithin(placement, unit, worker, reach)) {
      continue;
    }
    candidates.push_back({static_cast<int>(n), worker.agent->rack,
                          worker.agent->worker.capacity, worker.free,
                          LimitOn(placement, unit, worker), worker.time_factor,
                          worker.speed_class});
  }
  return candidates;
}

std::vector<Candidate> CandidatesInRack(
    const std::vector<Candidate>& candidates,
    int rack) {
  std::vector<Candidate> near;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(near),
               [&](const Candidate& it) { return it.rack == rack; });
  return near;
}

bool HasAvoidedWorkers(const Fleet& fleet) {
  return std::any_of(fleet.begin(), fleet.end(), [](const FleetWorker& it) {
    return it.trust != Trust::kFull;
  });
}

/// @brief For how long the unit has waited for the preferred workers.
Millis WaitedForPreferred(const Placement& placement, const Unit& unit) {
  const TimePoint now = placement.now.local;
  return now -
         placement.state.other_worker_wait_since.try_emplace(unit.key, now)
             .first->second;
}

}  // namespace

Demand DemandOf(const State& state, const Unit& unit) {
  Demand demand;
  demand.count = unit.step->gang ? static_cast<int>(unit.tasks.size()) : 1;
  demand.need = NeedOf(*unit.step);
  demand.same_rack = unit.step->gang && unit.step->same_rack;
  const auto rack = state.racks.find(unit.step->data_rack);
  if (!unit.step->data_rack.empty() && rack != state.racks.end()) {
    demand.data_rack = rack->second;
  }
  return demand;
}

Millis Waited(const Unit& unit, Now now) {
  return std::max(now.wall - unit.row->due, Millis{0});
}

bool MayFit(const Fleet& fleet, const Unit& unit, const Demand& demand) {
  std::int64_t slots = 0;
  for (const FleetWorker& it : fleet) {
    if (it.free.Holds(demand.need) && it.trust != Trust::kNone &&
        IsEligible(it, unit)) {
      slots += Slots(it.free, demand.need, demand.count);
      if (slots >= demand.count) {
        return true;
      }
    }
  }
  return false;
}

std::vector<Candidate> CandidatesOf(const Placement& placement,
                                    const Unit& unit,
                                    const Demand& demand) {
  std::vector<Candidate> preferred = Candidates(placement, unit, {});
  const bool has_failed = HasFailed(placement.state, unit);
  if (!has_failed && !HasAvoidedWorkers(placement.fleet)) {
    return preferred;
  }
  if (!CouldHold(preferred, demand)) {
    return Candidates(placement, unit, {true, true});
  }
  const Millis waited = WaitedForPreferred(placement, unit);
  if (waited < kOtherWorkerWait) {
    return preferred;
  }
  const bool busy = IsBusy(Candidates(placement, unit, {true, false}));
  if (busy && waited < kOtherWorkerWaitWhenBusy) {
    return preferred;
  }
  // In a busy pool, room on an avoided worker would serve few.
  return Candidates(placement, unit, {true, !busy});
}

std::vector<int> Fit(const Placement& placement,
                     const Unit& unit,
                     const std::vector<Candidate>& all,
                     const Demand& demand) {
  const Now now = placement.now;
  if (demand.data_rack != kNoRack && Waited(unit, now) < kDataLocalityWait) {
    const std::vector<Candidate> near = CandidatesInRack(all, demand.data_rack);
    if (!near.empty()) {
      return FirstFit(unit, near, now, [&](const auto& choice) {
        return FitIntoRack(choice, demand);
      });
    }
  }
  // Tasks of a gang without a rack run as fast over several.
  const bool anywhere = demand.count > 1 && !demand.same_rack;
  std::vector<int> workers = FirstFit(unit, all, now, [&](const auto& choice) {
    std::vector<int> fit = FitIntoRack(choice, demand);
    return fit.empty() && anywhere ? FitInto(choice, demand) : fit;
  });
  if (!workers.empty() || !demand.same_rack || demand.count <= 1) {
    return workers;
  }
  // A search over all racks is worth nothing before the wait is weighed again.
  if (!unit.guaranteed &&
      WaitsForRackUntil(placement.state, unit) > now.local) {
    return workers;
  }
  std::vector<int> spread = FirstFit(unit, all, now, [&](const auto& choice) {
    return FitInto(choice, demand);
  });
  const bool may_spread =
      !spread.empty() && MaySpreadOverRacks(placement.state, placement.fleet,
                                            unit, all, demand, now);
  return may_spread ? spread : std::vector<int>{};
}

}  // namespace shallotlug::scheduler
