#include <algorithm>
#include <optional>
#include <utility>

#include "candidates.h"
#include "fleet.h"
#include "placement.h"
#include "rack_wait.h"
#include "reserve.h"
#include "speed_choice.h"
#include "suspects.h"
#include "units.h"
#include "victims.h"
#include "waits.h"

namespace shallotlug::scheduler {

using workload::Resources;
using workload::TaskPhase;
using workload::TaskRef;

namespace {

// Without a change, units are placed at this interval: waits end and workers
// are no longer avoided as time passes.
constexpr Millis kPlacementInterval{50};
// After a search for runs to preempt has failed, the unit is searched for again
// only after this time, as a search looks at all runs.
constexpr Millis kPreemptionRetry{100};

void AssignTask(Placement& placement,
                const Unit& unit,
                int index,
                int run,
                int worker) {
  FleetWorker& on = placement.fleet[static_cast<std::size_t>(worker)];
  const TaskRef task = TaskOf(unit, index);
  workload::TaskProgress& progress = ProgressOf(*unit.row, task);
  progress.phase = TaskPhase::kAssigned;
  progress.run = run;
  progress.on = {*on.name, on.agent->worker.life};
  RunRow row;
  row.run = run;
  row.on = progress.on;
  row.need = NeedOf(*unit.step);
  row.urgent = unit.Priority() == 0;
  row.placed_at = placement.now.local;
  row.checkpoint = progress.checkpoint;
  row.resumed = !row.checkpoint.empty();
  on.free -= row.need;
  const Trust trust = on.trust;
  if (trust == Trust::kTrial) {
    on.trust = Trust::kLastResort;
  }
  placement.state.runs.Put(task, std::move(row));
  Log(placement.state, "run_placed",
      {{"job", task.job.value},
       {"task", workload::ToString(task)},
       {"run", std::to_string(run)},
       {"agent", on.name->value},
       {"worker", on.agent->worker.life.id},
       {"queue", unit.row->job->queue},
       {"guaranteed", unit.guaranteed ? "true" : "false"},
       {"time_factor", FactorText(on.time_factor)},
       {"trust", Name(trust)},
       {"waited_ms", std::to_string(Waited(unit, placement.now).count())},
       Age("report_age_ms", on.agent->heard_at, placement.now.local)});
}

/// @brief Assigns tasks of the unit, one to each of the workers.
void Assign(Placement& placement,
            const Unit& unit,
            const std::vector<int>& tasks,
            const std::vector<int>& workers) {
  int run = 0;
  for (const int it : tasks) {
    run = std::max(run, ProgressOf(*unit.row, TaskOf(unit, it)).run);
  }
  ++run;
  for (std::size_t n = 0; n < tasks.size(); ++n) {
    AssignTask(placement, unit, tasks[n], run, workers[n]);
  }
  State& state = placement.state;
  MarkUnrecorded(state, unit.key.occurrence);
  state.awaited.insert(unit.key.occurrence);
  state.reservations.erase(unit.key);
  state.reserve_wait_since.erase(unit.key);
  state.preemption_failed_at.erase(unit.key);
  state.isolation_wait_since.erase(unit.key);
  state.rack_waits.erase(unit.key);
  state.other_worker_wait_since.erase(unit.key);
  if (unit.suspect) {
    CloseWorkers(state, placement.fleet, unit, workers, placement.now.local);
  }
}

void DeductReservation(Fleet& fleet, const Reservation& reservation) {
  for (const AgentName& it : reservation.workers) {
    const int worker = FindWorker(fleet, it);
    if (worker >= 0) {
      fleet[static_cast<std::size_t>(worker)].free -= reservation.need;
    }
  }
}

/// @brief Whether runs of lower priority should be looked for.
bool PreemptionIsDue(const State& state, const Unit& unit, Now now) {
  if (unit.Priority() >= state.lowest_priority && !unit.guaranteed) {
    return false;
  }
  const auto failed = state.preemption_failed_at.find(unit.key);
  return failed == state.preemption_failed_at.end() ||
         now.local - failed->second >= kPreemptionRetry;
}

/// @brief Whether runs are being stopped on the workers reserved for the unit.
bool AwaitsStops(const State& state, const Unit& unit) {
  const auto reservation = state.reservations.find(unit.key);
  if (reservation == state.reservations.end()) {
    return false;
  }
  const std::vector<AgentName>& workers = reservation->second.workers;
  return std::any_of(workers.begin(), workers.end(), [&](const AgentName& it) {
    const auto& runs = state.runs.On(it).rows;
    return std::any_of(runs.begin(), runs.end(), [](const auto& run) {
      return run.second->stop_requested;
    });
  });
}

const char* LosesCreditNow(State& state,
                           const TaskRef& task,
                           const RunRow& run,
                           Now now) {
  const OccurrenceRow& row = *FindOccurrence(state, task);
  return LosesCredit(DeadlinesOf(row), OutlookOf(row, task, run, now.local),
                     now.wall)
             ? "true"
             : "false";
}

/// @brief Preempts runs for a unit that does not fit.
/// @return Whether runs were found whose stop makes room for it.
bool Preempt(Placement& placement,
             const Unit& unit,
             const std::vector<Candidate>& candidates,
             const Demand& demand) {
  State& state = placement.state;
  const Now now = placement.now;
  const bool spread =
      MaySpreadOverRacks(state, placement.fleet, unit, candidates, demand, now);
  const std::optional<PreemptionPlan> preemption = FindPreemption(
      state, placement.fleet, unit, candidates, demand, spread, now);
  if (!preemption) {
    state.preemption_failed_at[unit.key] = now.local;
    return false;
  }
  for (const TaskRef& it : preemption->victims) {
    RunRow& run = *state.runs.Find(it);
    if (!run.stop_requested) {
      run.stop_requested = true;
      run.stop_requested_at = now.local;
      state.news.insert(run.on.agent);
      Log(state, "run_preempted",
          {{"job", it.job.value},
           {"task", workload::ToString(it)},
           {"run", std::to_string(run.run)},
           {"for_job", unit.key.occurrence.job.value},
           {"loses_credit", LosesCreditNow(state, it, run, now)},
           {"agent", run.on.agent.value},
           Age("running_ms", run.placed_at, now.local)});
    }
  }
  Reservation reservation;
  for (const int it : preemption->workers) {
    reservation.workers.push_back(
        *placement.fleet[static_cast<std::size_t>(it)].name);
  }
  reservation.need = demand.need;
  reservation.made_at = now.local;
  DeductReservation(placement.fleet, reservation);
  state.reservations[unit.key] = std::move(reservation);
  return true;
}

/// @brief Takes the resources of one task from a candidate.
void Occupy(std::vector<Candidate>& candidates,
            int worker,
            const Resources& need) {
  const auto it = std::find_if(
      candidates.begin(), candidates.end(),
      [&](const Candidate& candidate) { return candidate.worker == worker; });
  it->free -= need;
  --it->limit;
}

/// @brief Workers for the next task of the unit, or for all of its gang,
/// outside of the reserve; empty if they do not fit.
std::vector<int> FitOutsideReserve(const Placement& placement,
                                   const Unit& unit,
                                   const Demand& demand,
                                   const std::vector<Candidate>& all) {
  std::vector<Candidate> candidates = all;
  ExcludeReservedWorkers(placement.state, unit, candidates, placement.now);
  return Fit(placement, unit, candidates, demand);
}

/// @brief Places a suspect on workers without other jobs.
bool PlaceAlone(Placement& placement,
                const Unit& unit,
                const Demand& demand,
                const std::vector<Candidate>& all) {
  const std::vector<Candidate> candidates = WorkersWithoutOthers(
      placement.state, placement.fleet, unit, all, placement.now);
  const std::vector<int> workers = Fit(placement, unit, candidates, demand);
  if (!workers.empty()) {
    Assign(placement, unit, unit.tasks, workers);
  }
  return !workers.empty();
}

/// @brief Places a gang, or as many tasks of a step as fit.
/// @return Whether all tasks were placed.
bool PlaceTasks(Placement& placement,
                const Unit& unit,
                const Demand& demand,
                std::vector<Candidate>& all) {
  if (unit.step->gang) {
    const std::vector<int> workers =
        FitOutsideReserve(placement, unit, demand, all);
    if (!workers.empty()) {
      Assign(placement, unit, unit.tasks, workers);
    }
    return !workers.empty();
  }
  for (const int it : unit.tasks) {
    const std::vector<int> workers =
        FitOutsideReserve(placement, unit, demand, all);
    if (workers.empty()) {
      return false;
    }
    Assign(placement, unit, {it}, workers);
    Occupy(all, workers.front(), demand.need);
  }
  return true;
}

/// @brief The candidates on which the unit would be in time, while it may wait
/// for these, else all of them.
std::vector<Candidate> AcceptedCandidates(
    const Placement& placement,
    const Unit& unit,
    const std::vector<Candidate>& candidates,
    const Demand& demand) {
  std::vector<Candidate> in_time =
      CandidatesInTime(unit, candidates, demand, placement.now);
  // Runs that are being stopped for the unit would be stopped in vain.
  const bool waits =
      in_time.size() < candidates.size() &&
      (MayWaitForSpeed(placement.state, unit, placement.now.local) ||
       AwaitsStops(placement.state, unit));
  return waits ? in_time : candidates;
}

/// @brief Places the unit, or makes room for it.
/// @return Why it waits, if not all of its tasks were placed.
std::optional<WaitReason> PlaceUnit(Placement& placement, const Unit& unit) {
  State& state = placement.state;
  const Demand demand = DemandOf(state, unit);
  // A more urgent unit may have taken the room that was freed for this one.
  const bool may_preempt =
      !AwaitsStops(state, unit) && PreemptionIsDue(state, unit, placement.now);
  const bool may_fit = MayFit(placement.fleet, unit, demand);
  if (may_fit || may_preempt) {
    const std::vector<Candidate> candidates =
        CandidatesOf(placement, unit, demand);
    if (unit.suspect) {
      if (PlaceAlone(placement, unit, demand, candidates)) {
        return std::nullopt;
      }
      if (WaitsToBeAlone(state, placement.fleet, unit, candidates, demand,
                         placement.now.local)) {
        return WaitReason::kNotAlone;
      }
    }
    std::vector<Candidate> accepted =
        AcceptedCandidates(placement, unit, candidates, demand);
    const bool waits_for_speed = accepted.size() < candidates.size();
    if (may_fit && PlaceTasks(placement, unit, demand, accepted)) {
      return std::nullopt;
    }
    if (may_preempt) {
      ExcludeReservedWorkers(state, unit, accepted, placement.now);
      if (Preempt(placement, unit, accepted, demand)) {
        return WaitReason::kStopsPending;
      }
    }
    if (waits_for_speed && !state.reservations.contains(unit.key)) {
      return WaitReason::kNoneInTime;
    }
    if (WaitsForRack(state, unit) && !state.reservations.contains(unit.key)) {
      return WaitReason::kNoRack;
    }
  }
  const auto reservation = state.reservations.find(unit.key);
  if (reservation == state.reservations.end()) {
    return WaitReason::kNothingToPreempt;
  }
  DeductReservation(placement.fleet, reservation->second);
  return AwaitsStops(state, unit) ? WaitReason::kStopsPending
                                  : WaitReason::kNothingToPreempt;
}

void DropStaleReservations(State& state, TimePoint now) {
  std::erase_if(state.reservations, [&](const auto& it) {
    return now - it.second.made_at > StopLimit(state.options) ||
           !state.open.contains(it.first.occurrence);
  });
  const auto is_final = [&](const auto& it) {
    return !state.open.contains(it.first.occurrence);
  };
  std::erase_if(state.reserve_wait_since, is_final);
  std::erase_if(state.preemption_failed_at, is_final);
  std::erase_if(state.speed_wait_since, is_final);
  std::erase_if(state.rack_waits, is_final);
  std::erase_if(state.other_worker_wait_since, is_final);
}

}  // namespace

void PlaceUnits(State& state, const workload::Policy& policy, Now now) {
  if (state.placement_held ||
      (!state.placement_outdated &&
       now.local - state.placed_at < kPlacementInterval)) {
    return;
  }
  state.placement_outdated = false;
  state.placed_at = now.local;
  DropStaleReservations(state, now.local);
  DropOldIsolations(state, now.local);
  UpdateGuaranteed(state, policy, now);
  const std::vector<Unit> units = CollectUnits(state, now);
  MeasureUrgentDemand(state, units, now.local);
  if (units.empty()) {
    return;
  }
  Placement placement{state, MakeFleet(state, policy, now.local), now};
  for (const Unit& it : units) {
    const std::optional<WaitReason> reason = PlaceUnit(placement, it);
    if (reason) {
      LogUrgentWait(state, it, *reason, now);
    }
  }
}

}  // namespace shallotlug::scheduler
