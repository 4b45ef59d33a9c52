#include "victims.h"

#include <algorithm>
#include <set>

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

/// @brief Runs that are stopped together: a gang, or one task.
struct VictimGroup {
  std::vector<TaskRef> tasks;
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

/// @brief Whether the unit may preempt the run: one of lower priority or, for a
/// guaranteed unit, any that is not guaranteed.
bool IsPreemptible(const State& state,
                   const workload::Policy& policy,
                   const std::set<OccurrenceKey>& guaranteed,
                   const TaskRef& task,
                   const RunRow& run,
                   const Unit& unit) {
  const auto it = state.occurrences.find(KeyOf(task));
  if (run.stop_requested || it == state.occurrences.end() ||
      StepOf(it->second, task.step).lasting) {
    return false;
  }
  return TermsOf(policy, *it->second.job).priority > unit.terms.priority ||
         (unit.guaranteed && !guaranteed.contains(KeyOf(task)));
}

std::vector<VictimGroup> Groups(const State& state,
                                const workload::Policy& policy,
                                const std::set<OccurrenceKey>& guaranteed,
                                const Unit& unit,
                                TimePoint now) {
  std::map<UnitKey, VictimGroup> groups;
  for (const auto& [task, run] : state.runs) {
    if (!IsPreemptible(state, policy, guaranteed, task, run, unit)) {
      continue;
    }
    const OccurrenceRow& row = state.occurrences.at(KeyOf(task));
    const workload::Step& step = StepOf(row, task.step);
    VictimGroup& group =
        groups[{KeyOf(task), task.step, step.gang ? -1 : task.index}];
    group.tasks.push_back(task);
    group.lost_work += LostWork(run, step.saves_checkpoints, now);
    if (TermsOf(policy, *row.job).priority <= unit.terms.priority) {
      group.lost_work += kUrgentVictimPenalty;
    }
  }
  std::vector<VictimGroup> list;
  for (auto& [key, group] : groups) {
    list.push_back(std::move(group));
  }
  return list;
}

/// @brief Greedily adds the groups with the least loss per core freed until the
/// unit fits into the candidates, then drops those that are not needed.
std::optional<PreemptionPlan> FindPreemptionWithin(
    const State& state,
    std::vector<Candidate> candidates,
    const std::vector<VictimGroup>& groups,
    const Demand& demand) {
  const auto find = [&](const AgentName& agent) {
    return std::find_if(candidates.begin(), candidates.end(),
                        [&](const Candidate& it) { return it.agent == agent; });
  };
  // Count the resources of runs that are already stopping as free.
  for (const auto& [task, run] : state.runs) {
    const auto it = find(run.on.agent);
    if (run.stop_requested && it != candidates.end()) {
      it->free += run.need;
    }
  }
  PreemptionPlan preemption;
  std::vector<const VictimGroup*> chosen;
  std::set<const VictimGroup*> left;
  for (const VictimGroup& it : groups) {
    const bool here =
        std::any_of(it.tasks.begin(), it.tasks.end(), [&](const TaskRef& t) {
          return find(state.runs.at(t).on.agent) != candidates.end();
        });
    if (here) {
      left.insert(&it);
    }
  }
  const auto room = [&](const VictimGroup& group) {
    double n = 0;
    for (const TaskRef& it : group.tasks) {
      const RunRow& run = state.runs.at(it);
      if (find(run.on.agent) != candidates.end()) {
        n += CoreEquivalents(run.need);
      }
    }
    return n;
  };
  const auto change = [&](const VictimGroup& group, bool add) {
    for (const TaskRef& it : group.tasks) {
      const RunRow& run = state.runs.at(it);
      const auto at = find(run.on.agent);
      if (at != candidates.end()) {
        if (add) {
          at->free += run.need;
        } else {
          at->free -= run.need;
        }
      }
    }
  };
  while (FitInto(candidates, demand).empty()) {
    if (left.empty()) {
      return std::nullopt;
    }
    // The added constant keeps groups that lose nothing from having no cost,
    // so that no more of them are stopped than needed.
    const auto cost = [&](const VictimGroup* it) {
      return (it->lost_work + 1.0) / std::max(room(*it), 0.1);
    };
    const auto best = std::min_element(
        left.begin(), left.end(),
        [&](const auto* a, const auto* b) { return cost(a) < cost(b); });
    change(**best, true);
    chosen.push_back(*best);
    left.erase(best);
  }
  std::sort(chosen.begin(), chosen.end(), [](const auto* a, const auto* b) {
    return a->lost_work > b->lost_work;
  });
  for (const VictimGroup* it : chosen) {
    change(*it, false);
    if (!FitInto(candidates, demand).empty()) {
      continue;
    }
    change(*it, true);
    preemption.lost_work += it->lost_work;
    preemption.victims.insert(preemption.victims.end(), it->tasks.begin(),
                              it->tasks.end());
  }
  preemption.workers = FitInto(candidates, demand);
  return preemption;
}

}  // namespace

std::optional<PreemptionPlan> FindPreemption(
    const State& state,
    const workload::Policy& policy,
    const std::set<OccurrenceKey>& guaranteed,
    const Unit& unit,
    const std::vector<Candidate>& candidates,
    const Demand& demand,
    bool spread,
    TimePoint now) {
  const std::vector<VictimGroup> groups =
      Groups(state, policy, guaranteed, unit, now);
  std::optional<PreemptionPlan> best;
  const auto consider = [&](const std::vector<Candidate>& among) {
    std::optional<PreemptionPlan> it =
        FindPreemptionWithin(state, among, groups, demand);
    if (it && (!best || it->lost_work < best->lost_work)) {
      best = std::move(it);
    }
  };
  for (const auto& [rack, members] : ByRack(candidates)) {
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
