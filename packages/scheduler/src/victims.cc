#include "victims.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace shallotlug::scheduler {

using workload::CoreEquivalents;
using workload::Resources;
using workload::TaskRef;

namespace {

// In core-seconds; limit for a unit that is not guaranteed.
constexpr double kMaxLossBeyondGuarantee = 100.0;
// Added to the loss of urgent runs beyond their guarantee, so that runs of
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
                                TimePoint now) {
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
    group.lost_work += LostWork(run, facts.saves_checkpoints, now);
    if (row->terms.priority <= unit.Priority()) {
      group.lost_work += kUrgentVictimPenalty;
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

/// @brief Core equivalents that a stop of the group frees on the candidates.
double RoomOf(const TrialRoom& room, const VictimGroup& group) {
  double n = 0;
  for (const Victim& it : group.runs) {
    if (room.Has(it.worker)) {
      n += CoreEquivalents(it.need);
    }
  }
  return n;
}

/// @brief The groups with runs on the candidates, those with the least loss for
/// each core freed first.
std::vector<const VictimGroup*> ByCost(const TrialRoom& room,
                                       const std::vector<VictimGroup>& groups) {
  std::vector<std::pair<double, const VictimGroup*>> costs;
  for (const VictimGroup& it : groups) {
    const double freed = RoomOf(room, it);
    if (freed > 0) {
      // The added constant keeps groups that lose nothing from having no cost,
      // so that no more of them are stopped than needed.
      costs.emplace_back((it.lost_work + 1.0) / std::max(freed, 0.1), &it);
    }
  }
  std::stable_sort(
      costs.begin(), costs.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<const VictimGroup*> sorted;
  sorted.reserve(costs.size());
  for (const auto& [cost, group] : costs) {
    sorted.push_back(group);
  }
  return sorted;
}

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

/// @brief Greedily adds the groups with the least loss per core freed until the
/// unit fits into the candidates, then drops those that are not needed.
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
  std::vector<const VictimGroup*> chosen;
  if (!room.Fits()) {
    for (const VictimGroup* it : ByCost(room, groups)) {
      FreeGroup(room, *it);
      chosen.push_back(it);
      if (room.Fits()) {
        break;
      }
    }
    if (!room.Fits()) {
      return std::nullopt;
    }
  }
  std::sort(chosen.begin(), chosen.end(), [](const auto* a, const auto* b) {
    return a->lost_work > b->lost_work;
  });
  PreemptionPlan preemption;
  for (const VictimGroup* it : chosen) {
    OccupyGroup(room, *it);
    if (room.Fits()) {
      continue;
    }
    FreeGroup(room, *it);
    preemption.lost_work += it->lost_work;
    for (const Victim& victim : it->runs) {
      preemption.victims.push_back(*victim.task);
    }
  }
  preemption.workers = room.Workers();
  return preemption;
}

std::vector<Victim> StoppingRuns(const State& state, const Fleet& fleet) {
  std::vector<Victim> stopping;
  for (const auto& [task, run] : state.runs.All()) {
    if (run.stop_requested) {
      stopping.push_back({&task, FindWorker(fleet, run.on.agent), run.need});
    }
  }
  return stopping;
}

}  // namespace

std::optional<PreemptionPlan> FindPreemption(
    const State& state,
    const Fleet& fleet,
    const Unit& unit,
    const std::vector<Candidate>& candidates,
    const Demand& demand,
    bool spread,
    TimePoint now) {
  const std::vector<VictimGroup> groups = Groups(state, fleet, unit, now);
  const std::vector<Victim> stopping = StoppingRuns(state, fleet);
  std::optional<PreemptionPlan> best;
  const auto consider = [&](const std::vector<Candidate>& among) {
    std::optional<PreemptionPlan> it =
        FindPreemptionWithin(fleet.size(), among, stopping, groups, demand);
    if (it && (!best || it->lost_work < best->lost_work)) {
      best = std::move(it);
    }
  };
  for (const std::vector<Candidate>& members : ByRack(candidates)) {
    consider(members);
  }
  if (!best && spread) {
    consider(candidates);
  }
  if (best && !unit.guaranteed && best->lost_work > kMaxLossBeyondGuarantee) {
    return std::nullopt;
  }
  return best;
}

}  // namespace shallotlug::scheduler
