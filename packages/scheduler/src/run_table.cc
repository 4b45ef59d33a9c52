#include "run_table.h"

#include <limits>
#include <utility>

namespace shallotlug::scheduler {

using workload::TaskRef;

RunRow& RunTable::Put(const TaskRef& task, RunRow row) {
  Erase(task);
  RunRow& stored = rows_.emplace(task, std::move(row)).first->second;
  AgentRuns& agent = by_agent_[stored.on.agent];
  agent.rows.emplace(task, &stored);
  agent.used += stored.need;
  if (stored.urgent) {
    urgent_accelerators_ += stored.need.accelerators;
  }
  return stored;
}

void RunTable::Erase(const TaskRef& task) {
  const auto it = rows_.find(task);
  if (it == rows_.end()) {
    return;
  }
  // `task` may be a key of the index, which is erased before the row.
  const RunRow& row = it->second;
  if (row.urgent) {
    urgent_accelerators_ -= row.need.accelerators;
  }
  const auto agent = by_agent_.find(row.on.agent);
  agent->second.used -= row.need;
  agent->second.rows.erase(it->first);
  if (agent->second.rows.empty()) {
    by_agent_.erase(agent);
  }
  rows_.erase(it);
}

RunRow* RunTable::Find(const TaskRef& task) {
  const auto it = rows_.find(task);
  return it == rows_.end() ? nullptr : &it->second;
}

const RunRow* RunTable::Find(const TaskRef& task) const {
  const auto it = rows_.find(task);
  return it == rows_.end() ? nullptr : &it->second;
}

RunTable::Range RunTable::OfStep(const JobId& job,
                                 int occurrence,
                                 int step) const {
  constexpr int kMax = std::numeric_limits<int>::max();
  return {rows_.lower_bound({job, occurrence, step, 0}),
          rows_.upper_bound({job, occurrence, step, kMax})};
}

RunTable::Range RunTable::OfOccurrence(const JobId& job, int occurrence) const {
  constexpr int kMax = std::numeric_limits<int>::max();
  return {rows_.lower_bound({job, occurrence, 0, 0}),
          rows_.upper_bound({job, occurrence, kMax, kMax})};
}

bool RunTable::HasJob(const JobId& job) const {
  const auto it = rows_.lower_bound({job, 0, 0, 0});
  return it != rows_.end() && it->first.job == job;
}

const AgentRuns& RunTable::On(const AgentName& agent) const {
  static const AgentRuns none;
  const auto it = by_agent_.find(agent);
  return it == by_agent_.end() ? none : it->second;
}

}  // namespace shallotlug::scheduler
