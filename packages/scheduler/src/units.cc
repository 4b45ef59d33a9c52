#include "units.h"

#include <algorithm>
#include <tuple>

namespace shallotlug::scheduler {

using workload::Outcome;
using workload::Step;
using workload::TaskPhase;
using workload::TaskRef;
using workload::WallTime;

namespace {

// A job earns no credit after this multiple of its objective.
constexpr int kZeroCreditFactor = 3;

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

Millis ObjectiveSpan(const workload::Job& job, const workload::Terms& terms) {
  const double chain = static_cast<double>(LongestChain(job).count());
  return Millis(static_cast<std::int64_t>(chain * terms.slack_factor)) +
         terms.target;
}

std::int64_t LargestStep(const workload::Job& job) {
  std::int64_t largest = 0;
  for (const Step& it : job.steps) {
    largest = std::max(largest, it.need.accelerators * it.count);
  }
  return largest;
}

void AddUnits(State& state,
              const OccurrenceKey& key,
              OccurrenceRow& row,
              const Unit& base,
              std::vector<Unit>& units) {
  for (int n = 0; n < static_cast<int>(row.progress.steps.size()); ++n) {
    if (!StepReady(*row.job, row.progress, n)) {
      continue;
    }
    const Step& step = StepOf(row, n);
    Unit unit = base;
    unit.step = &step;
    unit.key = {key, n, -1};
    for (int index = 0; index < step.count; ++index) {
      const TaskRef task{key.job, key.number, n, index};
      const bool waits = ProgressOf(row, task).phase == TaskPhase::kWaiting &&
                         !state.runs.contains(task);
      if (step.gang) {
        if (!waits) {
          unit.tasks.clear();
          break;
        }
        unit.tasks.push_back(task);
      } else if (waits) {
        unit.tasks = {task};
        unit.key.index = index;
        units.push_back(unit);
      }
    }
    if (step.gang && !unit.tasks.empty()) {
      units.push_back(unit);
    }
  }
}

}  // namespace

std::set<OccurrenceKey> GuaranteedOccurrences(const State& state,
                                              const workload::Policy& policy) {
  std::vector<std::pair<WallTime, OccurrenceKey>> urgent;
  for (const OccurrenceKey& it : state.open) {
    const OccurrenceRow& row = state.occurrences.at(it);
    if (TermsOf(policy, *row.job).priority == 0) {
      urgent.emplace_back(row.due, it);
    }
  }
  std::sort(urgent.begin(), urgent.end());
  std::map<CustomerName, std::int64_t> left;
  for (const workload::Customer& it : policy.customers) {
    left[it.name] = it.guaranteed_accelerators;
  }
  std::set<OccurrenceKey> guaranteed;
  for (const auto& [due, key] : urgent) {
    const workload::Job& job = *state.occurrences.at(key).job;
    std::int64_t& room = left[job.customer];
    const std::int64_t need = LargestStep(job);
    if (need <= room) {
      room -= need;
      guaranteed.insert(key);
    }
  }
  return guaranteed;
}

workload::Resources NeedOf(const Step& step) {
  workload::Resources need = step.need;
  if (step.uses_spare_cpu) {
    need.cpu_millis = 0;
  }
  return need;
}

std::vector<Unit> CollectUnits(State& state,
                               const workload::Policy& policy,
                               const std::set<OccurrenceKey>& guaranteed,
                               Now now) {
  std::vector<Unit> units;
  for (const OccurrenceKey& it : state.open) {
    OccurrenceRow& row = state.occurrences.at(it);
    if (row.due > now.wall || row.cancelled) {
      continue;
    }
    Unit base;
    base.row = &row;
    base.terms = TermsOf(policy, *row.job);
    const Millis span = ObjectiveSpan(*row.job, base.terms);
    base.objective = row.due + span;
    base.zero_credit_after = row.due + kZeroCreditFactor * span;
    base.guaranteed = guaranteed.contains(it);
    AddUnits(state, it, row, base, units);
  }
  std::stable_sort(
      units.begin(), units.end(), [&](const Unit& a, const Unit& b) {
        const auto rank = [&](const Unit& it) {
          return std::make_tuple(!it.guaranteed, it.terms.priority,
                                 now.wall > it.zero_credit_after, it.objective);
        };
        return rank(a) < rank(b);
      });
  return units;
}

}  // namespace shallotlug::scheduler
