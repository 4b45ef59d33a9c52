#include "units.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "suspects.h"
#include "triage.h"
#include "waits.h"

namespace shallotlug::scheduler {

using workload::Step;
using workload::WallTime;

namespace {

/// @brief Estimated duration of the critical path.
Millis LongestChain(const workload::Job& job) {
  std::vector<Millis> ends(job.steps.size(), Millis{0});
  Millis longest{0};
  for (std::size_t n = 0; n < job.steps.size(); ++n) {
    Millis start{0};
    for (const int it : job.steps[n].depends_on) {
      start = std::max(start, ends[static_cast<std::size_t>(it)]);
    }
    ends[n] = start + job.steps[n].estimate;
    longest = std::max(longest, ends[n]);
  }
  return longest;
}

std::int64_t LargestStep(const workload::Job& job) {
  std::int64_t largest = 0;
  for (const Step& it : job.steps) {
    largest = std::max(largest, it.need.accelerators * it.count);
  }
  return largest;
}

bool HasCrashes(OccurrenceRow& row, const workload::TaskRef& task) {
  return !ProgressOf(row, task).crashes.empty();
}

/// @brief What the unit's job can still earn. Without weighing by lateness a
/// job counts as late when it earns nothing any more.
Credit CreditOf(const State& state, const Unit& unit, WallTime now) {
  if (state.options.weigh_lateness) {
    return CreditIfStarted(*unit.row, unit.key.step, state.fastest_factor, now);
  }
  return now > DeadlinesOf(*unit.row).zero_credit_after ? Credit::kNone
                                                        : Credit::kFull;
}

// Tasks that have failed are kept apart, as each avoids other workers.
void AddUnits(const State& state,
              const Unit& base,
              const WaitingStep& waiting,
              WallTime now,
              std::vector<Unit>& units) {
  Unit unit = base;
  unit.step = &StepOf(*base.row, waiting.step);
  unit.key.step = waiting.step;
  unit.time_behind = TimeBehind(*base.row->job, waiting.step);
  unit.credit = CreditOf(state, unit, now);
  const auto is_suspect = [&](int it) {
    return IsSuspect(ProgressOf(*unit.row, TaskOf(unit, it)));
  };
  if (unit.step->gang) {
    unit.tasks = waiting.tasks;
    unit.suspect =
        std::any_of(unit.tasks.begin(), unit.tasks.end(), is_suspect);
    units.push_back(std::move(unit));
    return;
  }
  Unit single = unit;
  for (const int it : waiting.tasks) {
    if (state.failed_on.contains(TaskOf(unit, it)) ||
        HasCrashes(*unit.row, TaskOf(unit, it))) {
      single.key.index = it;
      single.tasks = {it};
      single.suspect = is_suspect(it);
      units.push_back(single);
    } else {
      unit.tasks.push_back(it);
    }
  }
  if (!unit.tasks.empty()) {
    units.push_back(std::move(unit));
  }
}

}  // namespace

workload::TaskRef TaskOf(const Unit& unit, int index) {
  return {unit.key.occurrence.job, unit.key.occurrence.number, unit.key.step,
          index};
}

Millis ObjectiveSpan(const workload::Job& job, const workload::Terms& terms) {
  const double chain = static_cast<double>(LongestChain(job).count());
  return Millis(static_cast<std::int64_t>(chain * terms.slack_factor)) +
         terms.target;
}

void UpdateGuaranteed(State& state, const workload::Policy& policy, Now now) {
  if (!state.guarantees_outdated) {
    return;
  }
  state.guarantees_outdated = false;
  std::vector<std::pair<WallTime, OccurrenceKey>> urgent;
  for (const OccurrenceKey& it : state.open) {
    const OccurrenceRow& row = state.occurrences.at(it);
    if (row.terms.priority == 0) {
      urgent.emplace_back(row.due, it);
    }
  }
  std::sort(urgent.begin(), urgent.end());
  std::map<CustomerName, std::int64_t> left;
  for (const workload::Customer& it : policy.customers) {
    left[it.name] = it.guaranteed_accelerators;
  }
  const std::set<OccurrenceKey> former = std::exchange(state.guaranteed, {});
  for (const auto& [due, key] : urgent) {
    const OccurrenceRow& row = state.occurrences.at(key);
    std::int64_t& room = left[row.job->customer];
    const std::int64_t need = LargestStep(*row.job);
    const bool within = need <= room;
    if (within != former.contains(key)) {
      LogGuarantee(state, key, row, {within, need, room}, now);
    }
    if (within) {
      room -= need;
      state.guaranteed.insert(key);
    }
  }
}

workload::Resources NeedOf(const Step& step) {
  workload::Resources need = step.need;
  if (step.uses_spare_cpu) {
    need.cpu_millis = 0;
  }
  return need;
}

std::vector<Unit> CollectUnits(State& state, Now now) {
  std::vector<Unit> units;
  for (const OccurrenceKey& it : state.waiting) {
    OccurrenceRow& row = state.occurrences.at(it);
    if (row.due > now.wall || row.cancelled || now.local < row.refused_until) {
      continue;
    }
    Unit base;
    base.key = {it, 0, -1};
    base.row = &row;
    base.objective = DeadlinesOf(row).objective;
    base.guaranteed = state.guaranteed.contains(it);
    for (const WaitingStep& step : row.waiting) {
      AddUnits(state, base, step, now.wall, units);
    }
  }
  std::stable_sort(units.begin(), units.end(),
                   [&](const Unit& a, const Unit& b) {
                     const auto rank = [&](const Unit& it) {
                       return std::make_tuple(!it.guaranteed, it.Priority(),
                                              it.credit, it.objective);
                     };
                     return rank(a) < rank(b);
                   });
  return units;
}

}  // namespace shallotlug::scheduler
