#ifndef SHALLOTLUG_SCHEDULER_SRC_RUN_TABLE_H_
#define SHALLOTLUG_SCHEDULER_SRC_RUN_TABLE_H_

#include <cstdint>
#include <map>
#include <string>

#include "shallotlug/base/clock.h"
#include "shallotlug/workload/job.h"
#include "shallotlug/workload/progress.h"
#include "shallotlug/workload/resources.h"

/// Runs that may exist on workers, indexed by task and by agent.
namespace shallotlug::scheduler {

enum class RunState {
  kPlanned,   ///< Its record is not durable yet; no order was sent.
  kOrdered,   ///< May be on the worker.
  kStarting,  ///< The agent reports that it is starting.
  kRunning,
};

/// @brief Progress of a run when its worker was read.
struct ProgressRead {
  TimePoint at{};  ///< Zero: not read yet.
  int percent = 0;
};

/// @brief A run that may exist on a worker. `on`, `need` and `urgent` do not
/// change while the row is in a RunTable.
struct RunRow {
  int run = 0;
  workload::Placement on;
  workload::Resources need;
  bool urgent = false;  ///< Of a queue with priority 0.
  RunState state = RunState::kPlanned;
  bool stop_requested = false;
  TimePoint stop_requested_at{};
  TimePoint order_sent{};
  bool ordered_before = false;
  TimePoint stop_sent{};
  TimePoint placed_at{};
  TimePoint running_since{};
  std::string checkpoint;
  bool resumed = false;  ///< Maybe started from a checkpoint.
  int percent = 0;
  TimePoint advanced_at{};  ///< When its progress last increased.
  /// When the worker confirmed the start, as far as the agent knows.
  TimePoint started_at{};
  /// Progress and time since which its rate is measured, and the latest ones
  /// that the rate contains.
  ProgressRead measured_from;
  ProgressRead measured_to;
};

/// @brief The runs of one agent, and the resources that they occupy.
struct AgentRuns {
  std::map<workload::TaskRef, RunRow*> rows;
  workload::Resources used;
};

/// @brief All runs by task. Each change updates the index by agent and the
/// sums, so that a plan does not derive them from all runs.
class RunTable {
 public:
  using Rows = std::map<workload::TaskRef, RunRow>;

  /// @brief Inserts the run, or replaces the one of the same task.
  RunRow& Put(const workload::TaskRef& task, RunRow row);
  /// @brief Removes the task's run; no effect if there is none.
  void Erase(const workload::TaskRef& task);

  /// @brief The run of a task, or null.
  RunRow* Find(const workload::TaskRef& task);
  const RunRow* Find(const workload::TaskRef& task) const;
  bool Contains(const workload::TaskRef& task) const {
    return Find(task) != nullptr;
  }

  const Rows& All() const { return rows_; }

  /// @brief Runs of one step of an occurrence, in order of their index.
  struct Range {
    Rows::const_iterator first;
    Rows::const_iterator last;

    Rows::const_iterator begin() const { return first; }
    Rows::const_iterator end() const { return last; }
  };
  Range OfStep(const JobId& job, int occurrence, int step) const;
  /// @brief Runs of all steps of an occurrence.
  Range OfOccurrence(const JobId& job, int occurrence) const;
  bool HasJob(const JobId& job) const;

  /// @brief The runs of an agent; empty if it has none.
  const AgentRuns& On(const AgentName& agent) const;
  /// @brief Agents with runs, in order of their names.
  const std::map<AgentName, AgentRuns>& ByAgent() const { return by_agent_; }

  /// @brief Accelerators that urgent runs occupy.
  std::int64_t UrgentAccelerators() const { return urgent_accelerators_; }

 private:
  Rows rows_;
  std::map<AgentName, AgentRuns> by_agent_;
  std::int64_t urgent_accelerators_ = 0;
};

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_RUN_TABLE_H_
