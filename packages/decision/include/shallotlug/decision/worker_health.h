#ifndef SHALLOTLUG_DECISION_WORKER_HEALTH_H_
#define SHALLOTLUG_DECISION_WORKER_HEALTH_H_

#include <unordered_map>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"

namespace shallotlug::decision {

/// @brief Whether a worker gets work.
enum class HealthState {
  kHealthy,
  kQuarantined,  ///< Gets nothing until `probe_at`.
  kProbing,      ///< Gets one repeatable task at a time.
};

struct WorkerHealthRow {
  HealthState state = HealthState::kHealthy;
  int consecutive_failures = 0;
  int quarantines = 0;
  TimePoint probe_at{};
  int consecutive_successes = 0;
  /// Work that failed here since the last success; an empty id for each live
  /// request.
  std::vector<JobId> failed_work;
};

/// @brief Failures by worker and by job, to distinguish faulty workers from
/// faulty jobs.
struct HealthTable {
  std::unordered_map<AgentName, WorkerHealthRow> workers;
  /// Distinct workers at which a job or class failed lately.
  std::unordered_map<JobId, std::vector<AgentName>> job_failures;
};

/// @brief Records the outcome of one task of a job or, with an empty job, of a
/// live request.
void RecordOutcome(HealthTable& table,
                   const AgentName& agent,
                   const JobId& job,
                   bool success,
                   TimePoint now);

/// @brief Moves quarantined workers whose probe time has come to kProbing.
void UpdateHealth(HealthTable& table, TimePoint now);

HealthState StateOf(const HealthTable& table, const AgentName& agent);

/// @brief Whether a job has failed at so many distinct healthy workers that it
/// is to blame.
bool JobIsToBlame(const HealthTable& table, const JobId& job);

/// @brief Removes the failure records of a job that has ended.
void ForgetJob(HealthTable& table, const JobId& job);

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_WORKER_HEALTH_H_
