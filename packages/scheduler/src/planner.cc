#include <algorithm>
#include <limits>

#include "placement.h"
#include "reserve.h"
#include "units.h"
#include "victims.h"

namespace shallotlug::scheduler {

using workload::Resources;
using workload::TaskPhase;
using workload::TaskRef;

namespace {

// An agent without contact for this long gets no new runs.
constexpr Millis kMaxAgentSilence{2'500};
// A reservation is dropped if its resources are not free by then.
constexpr Millis kReservationTimeout{2'000};
// A guaranteed gang that fits into no rack is spread over racks, where it runs
// slower, after this fraction of the time within which it has to start. A gang
// that has started before waits for a rack.
constexpr int kSpreadShareOfReclaim = 4;
// How long a task waits for a worker in the rack of its data.
constexpr Millis kDataLocalityWait{3'000};

/// @brief Free resources per worker while a plan is made.
using FreeTable = std::map<AgentName, Resources>;

FreeTable FreeResources(const State& state) {
  FreeTable free;
  for (const auto& [name, agent] : state.agents) {
    free[name] = agent.worker.capacity;
  }
  for (const auto& [task, run] : state.runs) {
    free[run.on.agent] -= run.need;
  }
  return free;
}

bool IsSchedulable(const AgentRow& agent, TimePoint now) {
  return agent.heard && now - agent.heard_at < kMaxAgentSilence &&
         agent.worker_state == protocol::WorkerState::kPresent &&
         !agent.worker.draining && now >= agent.avoid_until &&
         agent.orphans.empty();
}

bool HasLabel(const workload::WorkerFacts& worker, const std::string& label) {
  return label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                    label) != worker.labels.end();
}

int TasksOfStepOn(const State& state,
                  const Unit& unit,
                  const AgentName& agent) {
  int n = 0;
  for (auto it = state.runs.lower_bound({unit.key.occurrence.job,
                                         unit.key.occurrence.number,
                                         unit.key.step, 0});
       it != state.runs.end() && KeyOf(it->first) == unit.key.occurrence &&
       it->first.step == unit.key.step;
       ++it) {
    n += it->second.on.agent == agent ? 1 : 0;
  }
  return n;
}

bool HasFailedOn(const State& state, const Unit& unit, const AgentName& agent) {
  return std::any_of(
      unit.tasks.begin(), unit.tasks.end(), [&](const TaskRef& it) {
        const auto found = state.failed_on.find(it);
        return found != state.failed_on.end() && found->second.contains(agent);
      });
}

std::vector<Candidate> Candidates(const State& state,
                                  const Unit& unit,
                                  const FreeTable& free,
                                  bool skip_failed,
                                  TimePoint now) {
  std::vector<Candidate> candidates;
  for (const auto& [name, agent] : state.agents) {
    if (!IsSchedulable(agent, now) || agent.worker.service != unit.terms.pool ||
        !HasLabel(agent.worker, unit.step->required_label) ||
        (skip_failed && HasFailedOn(state, unit, name))) {
      continue;
    }
    int limit = std::numeric_limits<int>::max();
    if (unit.step->per_worker_limit > 0) {
      limit = unit.step->per_worker_limit - TasksOfStepOn(state, unit, name);
    }
    candidates.push_back(
        {name, agent.worker.rack, agent.worker.capacity, free.at(name), limit});
  }
  return candidates;
}

Demand DemandOf(const Unit& unit) {
  Demand demand;
  demand.count = static_cast<int>(unit.tasks.size());
  demand.need = NeedOf(*unit.step);
  demand.same_rack = unit.step->gang && unit.step->same_rack;
  demand.data_rack = unit.step->data_rack;
  return demand;
}

Millis Waited(const Unit& unit, Now now) {
  return std::max(now.wall - unit.row->due, Millis{0});
}

/// @brief Whether the unit may be spread over racks, which slows it down.
bool MaySpreadOverRacks(const State& state,
                        const Unit& unit,
                        const std::vector<Candidate>& candidates,
                        const Demand& demand,
                        Now now) {
  return !demand.same_rack || !AnyRackCanHold(candidates, demand) ||
         (unit.guaranteed && !workload::HasStarted(unit.row->progress) &&
          Waited(unit, now) > state.options.reclaim / kSpreadShareOfReclaim);
}

std::vector<Candidate> CandidatesInRack(
    const std::vector<Candidate>& candidates,
    const std::string& rack) {
  std::vector<Candidate> near;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(near),
               [&](const Candidate& it) { return it.rack == rack; });
  return near;
}

std::vector<AgentName> FitUnit(const State& state,
                               const Unit& unit,
                               const std::vector<Candidate>& all,
                               Now now) {
  Demand demand = DemandOf(unit);
  std::vector<Candidate> candidates = all;
  if (!demand.data_rack.empty() && Waited(unit, now) < kDataLocalityWait) {
    std::vector<Candidate> near = CandidatesInRack(all, demand.data_rack);
    if (!near.empty()) {
      candidates = std::move(near);
    }
  }
  std::vector<AgentName> workers = FitIntoRack(candidates, demand);
  if (workers.empty() &&
      MaySpreadOverRacks(state, unit, candidates, demand, now)) {
    workers = FitInto(candidates, demand);
  }
  return workers;
}

void Assign(State& state,
            const Unit& unit,
            const std::vector<AgentName>& workers,
            FreeTable& free,
            Now now) {
  int run = 0;
  for (const TaskRef& it : unit.tasks) {
    run = std::max(run, ProgressOf(*unit.row, it).run);
  }
  ++run;
  const Resources need = NeedOf(*unit.step);
  for (std::size_t n = 0; n < unit.tasks.size(); ++n) {
    const TaskRef& task = unit.tasks[n];
    const AgentRow& agent = state.agents.at(workers[n]);
    workload::TaskProgress& progress = ProgressOf(*unit.row, task);
    progress.phase = TaskPhase::kAssigned;
    progress.run = run;
    progress.on = {workers[n], agent.worker.life};
    RunRow row;
    row.run = run;
    row.on = progress.on;
    row.need = need;
    row.placed_at = now.local;
    row.checkpoint = progress.checkpoint;
    state.runs[task] = std::move(row);
    free[workers[n]] -= need;
    Log(state, "run_placed",
        {{"job", task.job.value},
         {"task", workload::ToString(task)},
         {"run", std::to_string(run)},
         {"agent", workers[n].value},
         {"worker", agent.worker.life.id},
         {"queue", unit.row->job->queue},
         {"guaranteed", unit.guaranteed ? "true" : "false"},
         {"waited_ms", std::to_string(Waited(unit, now).count())},
         Age("report_age_ms", agent.heard_at, now.local)});
  }
  unit.row->dirty = true;
  state.reservations.erase(unit.key);
  state.reserve_wait_since.erase(unit.key);
}

void DeductReservation(const Reservation& reservation, FreeTable& free) {
  for (const AgentName& it : reservation.workers) {
    free[it] -= reservation.need;
  }
}

/// @brief Preempts runs for an urgent unit that does not fit.
void Preempt(State& state,
             const workload::Policy& policy,
             const std::set<OccurrenceKey>& guaranteed,
             const Unit& unit,
             const std::vector<Candidate>& candidates,
             FreeTable& free,
             Now now) {
  const Demand demand = DemandOf(unit);
  const bool spread = MaySpreadOverRacks(state, unit, candidates, demand, now);
  std::optional<PreemptionPlan> preemption = FindPreemption(
      state, policy, guaranteed, unit, candidates, demand, spread, now.local);
  if (!preemption) {
    return;
  }
  for (const TaskRef& it : preemption->victims) {
    RunRow& run = state.runs.at(it);
    if (!run.stop_requested) {
      run.stop_requested = true;
      Log(state, "run_preempted",
          {{"job", it.job.value},
           {"task", workload::ToString(it)},
           {"run", std::to_string(run.run)},
           {"for_job", unit.key.occurrence.job.value},
           {"agent", run.on.agent.value},
           Age("running_ms", run.placed_at, now.local)});
    }
  }
  Reservation reservation{std::move(preemption->workers), demand.need,
                          now.local};
  DeductReservation(reservation, free);
  state.reservations[unit.key] = std::move(reservation);
}

void PlaceUnit(State& state,
               const workload::Policy& policy,
               const std::set<OccurrenceKey>& guaranteed,
               const Unit& unit,
               FreeTable& free,
               Now now) {
  std::vector<Candidate> candidates =
      Candidates(state, unit, free, true, now.local);
  if (candidates.empty()) {
    candidates = Candidates(state, unit, free, false, now.local);
  }
  ExcludeReservedWorkers(state, unit, candidates, now);
  const std::vector<AgentName> workers = FitUnit(state, unit, candidates, now);
  if (!workers.empty()) {
    Assign(state, unit, workers, free, now);
    return;
  }
  const auto reservation = state.reservations.find(unit.key);
  if (reservation != state.reservations.end()) {
    DeductReservation(reservation->second, free);
  } else if (unit.terms.priority == 0) {
    Preempt(state, policy, guaranteed, unit, candidates, free, now);
  }
}

void DropStaleReservations(State& state, TimePoint now) {
  std::erase_if(state.reservations, [&](const auto& it) {
    return now - it.second.made_at > kReservationTimeout ||
           !state.open.contains(it.first.occurrence);
  });
  std::erase_if(state.reserve_wait_since, [&](const auto& it) {
    return !state.open.contains(it.first.occurrence);
  });
}

}  // namespace

void PlaceUnits(State& state, const workload::Policy& policy, Now now) {
  DropStaleReservations(state, now.local);
  FreeTable free = FreeResources(state);
  const std::set<OccurrenceKey> guaranteed =
      GuaranteedOccurrences(state, policy);
  const std::vector<Unit> units = CollectUnits(state, policy, guaranteed, now);
  MeasureUrgentDemand(state, policy, units, now.local);
  for (const Unit& it : units) {
    PlaceUnit(state, policy, guaranteed, it, free, now);
  }
}

}  // namespace shallotlug::scheduler
