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

// An agent that was not heard for this long gets no new work.
constexpr Millis kSilentAfter{2'500};
// Space that was not freed by then is not held any longer.
constexpr Millis kClaimTimeout{2'000};
// A guaranteed gang that finds no rack is spread over racks, where it runs
// slower, after this share of the time within which it has to begin. One that
// has begun before waits for a rack.
constexpr int kSpreadShareOfReclaim = 4;
// A task waits for room near its data for so long.
constexpr Millis kWaitForData{3'000};

/// @brief Room that is left on each worker in the course of one plan.
using FreeTable = std::map<AgentName, Resources>;

FreeTable FreeRoom(const State& state) {
  FreeTable free;
  for (const auto& [name, agent] : state.agents) {
    free[name] = agent.worker.capacity;
  }
  for (const auto& [task, run] : state.runs) {
    free[run.on.agent] -= run.need;
  }
  return free;
}

bool Usable(const AgentRow& agent, TimePoint now) {
  return agent.heard && now - agent.heard_at < kSilentAfter &&
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
    if (!Usable(agent, now) || agent.worker.service != unit.terms.pool ||
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
bool MaySpread(const State& state,
               const Unit& unit,
               const std::vector<Candidate>& candidates,
               const Demand& demand,
               Now now) {
  return !demand.same_rack || !AnyRackHolds(candidates, demand) ||
         (unit.guaranteed && !workload::HasStarted(unit.row->progress) &&
          Waited(unit, now) > state.options.reclaim / kSpreadShareOfReclaim);
}

std::vector<Candidate> NearData(const std::vector<Candidate>& candidates,
                                const std::string& rack) {
  std::vector<Candidate> near;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(near),
               [&](const Candidate& it) { return it.rack == rack; });
  return near;
}

std::vector<AgentName> Fit(const State& state,
                           const Unit& unit,
                           const std::vector<Candidate>& all,
                           Now now) {
  Demand demand = DemandOf(unit);
  std::vector<Candidate> candidates = all;
  if (!demand.data_rack.empty() && Waited(unit, now) < kWaitForData) {
    std::vector<Candidate> near = NearData(all, demand.data_rack);
    if (!near.empty()) {
      candidates = std::move(near);
    }
  }
  std::vector<AgentName> workers = FitIntoRack(candidates, demand);
  if (workers.empty() && MaySpread(state, unit, candidates, demand, now)) {
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
  state.claims.erase(unit.key);
  state.held_since.erase(unit.key);
}

void Hold(const Claim& claim, FreeTable& free) {
  for (const AgentName& it : claim.workers) {
    free[it] -= claim.need;
  }
}

/// @brief Makes lower priorities yield to an urgent unit that does not fit.
void Preempt(State& state,
             const workload::Policy& policy,
             const std::set<OccurrenceKey>& guaranteed,
             const Unit& unit,
             const std::vector<Candidate>& candidates,
             FreeTable& free,
             Now now) {
  const Demand demand = DemandOf(unit);
  const bool spread = MaySpread(state, unit, candidates, demand, now);
  std::optional<Yield> yield = FindYield(state, policy, guaranteed, unit,
                                         candidates, demand, spread, now.local);
  if (!yield) {
    return;
  }
  for (const TaskRef& it : yield->victims) {
    RunRow& run = state.runs.at(it);
    if (!run.stop_wanted) {
      run.stop_wanted = true;
      Log(state, "run_preempted",
          {{"job", it.job.value},
           {"task", workload::ToString(it)},
           {"run", std::to_string(run.run)},
           {"for_job", unit.key.occurrence.job.value},
           {"agent", run.on.agent.value},
           Age("running_ms", run.placed_at, now.local)});
    }
  }
  Claim claim{std::move(yield->workers), demand.need, now.local};
  Hold(claim, free);
  state.claims[unit.key] = std::move(claim);
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
  LeaveReserve(state, unit, candidates, now);
  const std::vector<AgentName> workers = Fit(state, unit, candidates, now);
  if (!workers.empty()) {
    Assign(state, unit, workers, free, now);
    return;
  }
  const auto claim = state.claims.find(unit.key);
  if (claim != state.claims.end()) {
    Hold(claim->second, free);
  } else if (unit.terms.priority == 0) {
    Preempt(state, policy, guaranteed, unit, candidates, free, now);
  }
}

void DropOldClaims(State& state, TimePoint now) {
  std::erase_if(state.claims, [&](const auto& it) {
    return now - it.second.made_at > kClaimTimeout ||
           !state.open.contains(it.first.occurrence);
  });
  std::erase_if(state.held_since, [&](const auto& it) {
    return !state.open.contains(it.first.occurrence);
  });
}

}  // namespace

void PlaceUnits(State& state, const workload::Policy& policy, Now now) {
  DropOldClaims(state, now.local);
  FreeTable free = FreeRoom(state);
  const std::set<OccurrenceKey> guaranteed =
      GuaranteedOccurrences(state, policy);
  const std::vector<Unit> units = CollectUnits(state, policy, guaranteed, now);
  MeasureUrgentDemand(state, policy, units, now.local);
  for (const Unit& it : units) {
    PlaceUnit(state, policy, guaranteed, it, free, now);
  }
}

}  // namespace shallotlug::scheduler
