#include "victims.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <tuple>
#include <utility>

#include "triage.h"

namespace shallotlug::scheduler {

using workload::CoreEquivalents;
using workload::Resources;
using workload::TaskRef;

namespace {

// Lost work delays the jobs of others. Limit of what an urgent unit beyond its
// guarantee may cause, in core-seconds.
constexpr double kMaxUrgentLoss = 100.0;
// Limit of the work that others repeat in time for an urgent unit beyond its
// guarantee that meets its objective by it, as a share of its own work.
constexpr double kRepeatedWorkShare = 0.3;
// Limit of the cost for another unit, as a share of its own work.
constexpr double kBatchCostShare = 0.15;
// A preempted group has to be placed and restored again, for which it loses
// about this time on all of its workers, also where the room is not needed.
constexpr double kRestartSeconds = 1.0;
// Time for a stop order and the report of the end, in addition to the time that
// the worker may take.
constexpr Millis kStopReportTime{600};
// Added to the cost of runs whose callers lose credit when they are stopped, so
// that others yield first.
constexpr double kHarmPenalty = 10'000.0;
// Added to the cost of urgent runs beyond their guarantee, so that runs of
// lower priority are preempted first.
constexpr double kUrgentVictimPenalty = 1'000'000.0;

/// @brief A run that may be preempted.
struct Victim {
  const TaskRef* task = nullptr;
  int worker = 0;
  Resources need;
};

/// @brief Runs that are stopped together: a gang, or one task.
struct VictimGroup {
  std::vector<Victim> runs;
  double lost_work = 0;
  bool harms = false;  ///< Its job's caller loses credit.
  double cost = 0;     ///< Includes the restart.

  double HarmfulWork() const { return harms ? lost_work : 0; }
};

double LostWork(const RunRow& run, bool saves, TimePoint now) {
  // A checkpointing task saves its work when it is stopped.
  if (saves || run.state != RunState::kRunning) {
    return 0;
  }
  const double seconds =
      std::chrono::duration<double>(now - run.running_since).count();
  return CoreEquivalents(run.need) * seconds;
}

/// @brief Whether the unit may preempt runs of the occurrence: one of lower
/// priority or, for a guaranteed unit, any that is not guaranteed.
bool IsPreemptible(const State& state,
                   const OccurrenceKey& key,
                   const OccurrenceRow& row,
                   const Unit& unit) {
  return row.terms.priority > unit.Priority() ||
         (unit.guaranteed && !state.guaranteed.contains(key));
}

/// @brief Collects the preemptible runs, which are in order of occurrence, step
/// and index.
std::vector<VictimGroup> Groups(const State& state,
                                const Fleet& fleet,
                                const Unit& unit,
                                Now now) {
  std::vector<VictimGroup> groups;
  std::optional<OccurrenceKey> key;
  const OccurrenceRow* row = nullptr;
  int step = -1;
  for (const auto& [task, run] : state.runs.All()) {
    if (!key || key->job != task.job || key->number != task.occurrence) {
      key = KeyOf(task);
      const auto it = state.occurrences.find(*key);
      const bool usable = it != state.occurrences.end() &&
                          IsPreemptible(state, *key, it->second, unit);
      row = usable ? &it->second : nullptr;
      step = -1;
    }
    if (row == nullptr || run.stop_requested ||
        StepOf(*row, task.step).lasting) {
      continue;
    }
    const int worker = FindWorker(fleet, run.on.agent);
    const workload::Step& facts = StepOf(*row, task.step);
    if (!facts.gang || step != task.step || groups.empty()) {
      groups.emplace_back();
      step = task.step;
    }
    VictimGroup& group = groups.back();
    group.runs.push_back({&task, worker, run.need});
    const double lost = LostWork(run, facts.saves_checkpoints, now.local);
    group.lost_work += lost;
    group.cost += lost + kRestartSeconds * CoreEquivalents(run.need);
    if (row->terms.priority <= unit.Priority()) {
      group.cost += kUrgentVictimPenalty;
    }
    if (state.options.weigh_lateness && !group.harms &&
        LosesCredit(DeadlinesOf(*row), OutlookOf(*row, task, run, now.local),
                    now.wall)) {
      group.harms = true;
      group.cost += kHarmPenalty;
    }
  }
  return groups;
}

/// @brief Free resources of some candidates while victims are chosen, and how
/// many tasks of the demand fit into them.
class TrialRoom {
 public:
  TrialRoom(const std::vector<Candidate>& candidates,
            const Demand& demand,
            std::size_t fleet_size)
      : candidates_(candidates), demand_(demand), position_(fleet_size, -1) {
    for (std::size_t n = 0; n < candidates_.size(); ++n) {
      position_[static_cast<std::size_t>(candidates_[n].worker)] =
          static_cast<int>(n);
      slots_ += SlotsOf(candidates_[n]);
    }
  }

  bool Fits() const { return slots_ >= demand_.count; }
  std::vector<int> Workers() const { return FitInto(candidates_, demand_); }

  bool Has(int worker) const { return worker >= 0 && At(worker) >= 0; }
  std::int64_t SlotsOn(int worker) const {
    return SlotsOf(candidates_[static_cast<std::size_t>(At(worker))]);
  }

  void Free(int worker, const Resources& need) {
    Change(worker, [&](Resources& free) { free += need; });
  }
  void Occupy(int worker, const Resources& need) {
    Change(worker, [&](Resources& free) { free -= need; });
  }

 private:
  int At(int worker) const {
    return position_[static_cast<std::size_t>(worker)];
  }
  std::int64_t SlotsOf(const Candidate& it) const {
    return Slots(it.free, demand_.need, it.limit);
  }
  template <class Function>
  void Change(int worker, Function change) {
    if (!Has(worker)) {
      return;
    }
    Candidate& it = candidates_[static_cast<std::size_t>(At(worker))];
    slots_ -= SlotsOf(it);
    change(it.free);
    slots_ += SlotsOf(it);
  }

  std::vector<Candidate> candidates_;
  const Demand& demand_;
  std::vector<int> position_;  ///< Of a worker among the candidates, or -1.
  std::int64_t slots_ = 0;
};

void FreeGroup(TrialRoom& room, const VictimGroup& group) {
  for (const Victim& it : group.runs) {
    room.Free(it.worker, it.need);
  }
}

void OccupyGroup(TrialRoom& room, const VictimGroup& group) {
  for (const Victim& it : group.runs) {
    room.Occupy(it.worker, it.need);
  }
}

using GroupSet = std::set<const VictimGroup*>;

/// @brief Groups of one worker whose stop makes room for another task there.
struct Option {
  double cost_per_slot = 0;
  int worker = 0;
  std::vector<const VictimGroup*> groups;

  bool operator>(const Option& other) const {
    return std::tie(cost_per_slot, worker) >
           std::tie(other.cost_per_slot, other.worker);
  }
};

/// @brief What the group occupies on one worker.
Resources NeedOn(const VictimGroup& group, int worker) {
  Resources need;
  for (const Victim& it : group.runs) {
    if (it.worker == worker) {
      need += it.need;
    }
  }
  return need;
}

/// @brief Adds the cheapest groups of a worker until another task fits there.
/// @param groups Those of the worker, cheapest first.
/// @param chosen Groups that are stopped in any case.
std::optional<Option> FindOption(TrialRoom& room,
                                 int worker,
                                 const std::vector<const VictimGroup*>& groups,
                                 const GroupSet& chosen) {
  const std::int64_t before = room.SlotsOn(worker);
  Option option;
  option.worker = worker;
  double cost = 0;
  std::int64_t gained = 0;
  for (const VictimGroup* it : groups) {
    if (chosen.contains(it)) {
      continue;
    }
    room.Free(worker, NeedOn(*it, worker));
    option.groups.push_back(it);
    cost += it->cost;
    gained = room.SlotsOn(worker) - before;
    if (gained > 0) {
      break;
    }
  }
  for (const VictimGroup* it : option.groups) {
    room.Occupy(worker, NeedOn(*it, worker));
  }
  if (gained <= 0) {
    return std::nullopt;
  }
  option.cost_per_slot = cost / static_cast<double>(gained);
  return option;
}

/// @brief The groups of each candidate worker, those with the least cost for
/// each core freed there first.
std::map<int, std::vector<const VictimGroup*>> GroupsByWorker(
    const TrialRoom& room,
    const std::vector<VictimGroup>& groups) {
  std::map<int, std::vector<const VictimGroup*>> by_worker;
  for (const VictimGroup& group : groups) {
    std::set<int> workers;
    for (const Victim& it : group.runs) {
      if (room.Has(it.worker) && workers.insert(it.worker).second) {
        by_worker[it.worker].push_back(&group);
      }
    }
  }
  for (auto& [worker, list] : by_worker) {
    const auto cost = [on = worker](const VictimGroup* it) {
      return it->cost / std::max(CoreEquivalents(NeedOn(*it, on)), 0.1);
    };
    std::stable_sort(
        list.begin(), list.end(),
        [&](const auto* a, const auto* b) { return cost(a) < cost(b); });
  }
  return by_worker;
}

/// @brief Chooses groups until the demand fits, the worker first where another
/// task costs least: room in small pieces on many workers holds no large task.
/// @return The chosen groups; the demand still does not fit if they are all
/// that there is.
GroupSet ChooseGroups(TrialRoom& room, const std::vector<VictimGroup>& groups) {
  const auto by_worker = GroupsByWorker(room, groups);
  GroupSet chosen;
  std::priority_queue<Option, std::vector<Option>, std::greater<>> options;
  const auto offer = [&](int worker) {
    auto option = FindOption(room, worker, by_worker.at(worker), chosen);
    if (option) {
      options.push(std::move(*option));
    }
  };
  for (const auto& [worker, list] : by_worker) {
    offer(worker);
  }
  while (!room.Fits() && !options.empty()) {
    const Option option = options.top();
    options.pop();
    const bool outdated =
        std::any_of(option.groups.begin(), option.groups.end(),
                    [&](const auto* it) { return chosen.contains(it); });
    if (!outdated) {
      for (const VictimGroup* it : option.groups) {
        FreeGroup(room, *it);
        chosen.insert(it);
      }
    }
    offer(option.worker);
  }
  return chosen;
}

/// @brief Chooses groups so that the unit fits into the candidates, then drops
/// those that are not needed, the most expensive first.
/// @param stopping Runs that are stopping already; their room counts as free.
std::optional<PreemptionPlan> FindPreemptionWithin(
    std::size_t fleet_size,
    const std::vector<Candidate>& candidates,
    const std::vector<Victim>& stopping,
    const std::vector<VictimGroup>& groups,
    const Demand& demand) {
  TrialRoom room(candidates, demand, fleet_size);
  for (const Victim& it : stopping) {
    room.Free(it.worker, it.need);
  }
  const GroupSet set = ChooseGroups(room, groups);
  if (!room.Fits()) {
    return std::nullopt;
  }
  std::vector<const VictimGroup*> chosen(set.begin(), set.end());
  std::sort(chosen.begin(), chosen.end(), [](const auto* a, const auto* b) {
    return std::tie(b->cost, a) < std::tie(a->cost, b);
  });
  PreemptionPlan preemption;
  for (const VictimGroup* it : chosen) {
    OccupyGroup(room, *it);
    if (room.Fits()) {
      continue;
    }
    FreeGroup(room, *it);
    preemption.lost_work += it->lost_work;
    preemption.harmful_work += it->HarmfulWork();
    preemption.cost += it->cost;
    for (const Victim& victim : it->runs) {
      preemption.victims.push_back(*victim.task);
    }
  }
  preemption.workers = room.Workers();
  return preemption;
}

/// @brief Whether the preemption costs others too much for what the unit does.
bool CostsTooMuch(const State& state,
                  const PreemptionPlan& preemption,
                  const Unit& unit,
                  const Demand& demand) {
  const double seconds =
      std::chrono::duration<double>(unit.step->estimate).count();
  const double work = CoreEquivalents(demand.need) * demand.count * seconds;
  if (unit.Priority() > 0) {
    return preemption.cost > work * kBatchCostShare;
  }
  // Work that is repeated in time costs callers nothing but room.
  if (state.options.weigh_lateness && unit.credit == Credit::kFull) {
    return preemption.harmful_work > kMaxUrgentLoss ||
           preemption.lost_work >
               std::max(work * kRepeatedWorkShare, kMaxUrgentLoss);
  }
  return preemption.lost_work > kMaxUrgentLoss;
}

// The room of a run that does not stop in time is not counted on.
std::vector<Victim> StoppingRuns(const State& state,
                                 const Fleet& fleet,
                                 TimePoint now) {
  std::vector<Victim> stopping;
  for (const auto& [task, run] : state.runs.All()) {
    if (run.stop_requested &&
        now - run.stop_requested_at <= StopLimit(state.options)) {
      stopping.push_back({&task, FindWorker(fleet, run.on.agent), run.need});
    }
  }
  return stopping;
}

}  // namespace

Millis StopLimit(const SchedulerOptions& options) {
  return options.stop_timeout + kStopReportTime;
}

std::optional<PreemptionPlan> FindPreemption(
    const State& state,
    const Fleet& fleet,
    const Unit& unit,
    const std::vector<Candidate>& candidates,
    const Demand& demand,
    bool spread,
    Now now) {
  const std::vector<VictimGroup> groups = Groups(state, fleet, unit, now);
  if (groups.empty()) {
    return std::nullopt;
  }
  const std::vector<Victim> stopping = StoppingRuns(state, fleet, now.local);
  std::optional<PreemptionPlan> best;
  const auto consider = [&](const std::vector<Candidate>& among) {
    std::optional<PreemptionPlan> it =
        FindPreemptionWithin(fleet.size(), among, stopping, groups, demand);
    if (it && (!best || it->cost < best->cost)) {
      best = std::move(it);
    }
  };
  for (const std::vector<Candidate>& members : ByRack(candidates)) {
    consider(members);
  }
  if (!best && spread) {
    consider(candidates);
  }
  if (best && !unit.guaranteed && CostsTooMuch(state, *best, unit, demand)) {
    return std::nullopt;
  }
  return best;
}

}  // namespace shallotlug::scheduler
