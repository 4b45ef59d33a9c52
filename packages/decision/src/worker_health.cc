#include "shallotlug/decision/worker_health.h"

#include <algorithm>

namespace shallotlug::decision {
namespace {

constexpr std::size_t kFailuresToQuarantine = 3;
/// One bad job that is retried at a worker must not quarantine it.
constexpr std::size_t kDistinctJobsToQuarantine = 2;
constexpr std::size_t kWorkersToBlameJob = 3;
constexpr int kSuccessesToResetQuarantines = 20;
constexpr Millis kFirstQuarantine{30'000};
constexpr int kMaxDoublings = 5;
/// A probe needs work that may be repeated. Without any, the worker is trusted
/// again after this time, so that other work does not wait for it for ever.
constexpr Millis kProbeLimit{60'000};

/// Whether the failures since the last success speak against the worker. Live
/// requests have no id; each counts as distinct work.
bool WorkerIsSuspect(const WorkerHealthRow& row) {
  if (row.failed_work.size() < kFailuresToQuarantine) {
    return false;
  }
  std::vector<JobId> jobs = row.failed_work;
  std::sort(jobs.begin(), jobs.end());
  const auto live = static_cast<std::size_t>(std::count_if(
      jobs.begin(), jobs.end(), [](const JobId& it) { return it.empty(); }));
  jobs.erase(std::unique(jobs.begin(), jobs.end()), jobs.end());
  const std::size_t named = jobs.size() - (live > 0 ? 1 : 0);
  return named + live >= kDistinctJobsToQuarantine;
}

void Quarantine(WorkerHealthRow& row, TimePoint now) {
  row.state = HealthState::kQuarantined;
  row.probe_at =
      now + kFirstQuarantine * (1 << std::min(row.quarantines, kMaxDoublings));
  ++row.quarantines;
}

/// The next failure quarantines the worker again.
void EndProbe(WorkerHealthRow& row) {
  row.state = HealthState::kHealthy;
  row.failed_work.resize(
      std::min(row.failed_work.size(), kFailuresToQuarantine - 1));
}

void RecordSuccess(WorkerHealthRow& row) {
  row.state = HealthState::kHealthy;
  row.consecutive_failures = 0;
  row.failed_work.clear();
  if (++row.consecutive_successes >= kSuccessesToResetQuarantines) {
    row.quarantines = 0;
  }
}

/// A job that is to blame no longer counts against the workers it failed at.
void ClearFailuresOfJob(HealthTable& table, const JobId& job) {
  for (const AgentName& it : table.job_failures[job]) {
    WorkerHealthRow& row = table.workers[it];
    std::erase(row.failed_work, job);
    row.consecutive_failures = static_cast<int>(row.failed_work.size());
    if (row.state == HealthState::kQuarantined && !WorkerIsSuspect(row)) {
      row.state = HealthState::kHealthy;
      row.quarantines = std::max(0, row.quarantines - 1);
    }
  }
}

void RecordJobFailure(HealthTable& table,
                      const AgentName& agent,
                      const JobId& job) {
  std::vector<AgentName>& agents = table.job_failures[job];
  if (std::find(agents.begin(), agents.end(), agent) == agents.end()) {
    agents.push_back(agent);
  }
}

}  // namespace

void RecordOutcome(HealthTable& table,
                   const AgentName& agent,
                   const JobId& job,
                   bool success,
                   TimePoint now) {
  WorkerHealthRow& row = table.workers[agent];
  if (success) {
    RecordSuccess(row);
    return;
  }
  row.consecutive_successes = 0;
  if (!job.empty()) {
    RecordJobFailure(table, agent, job);
    if (JobIsToBlame(table, job)) {
      ClearFailuresOfJob(table, job);
      return;
    }
  }
  // Bounds the memory; failures beyond the threshold do not change the result.
  if (row.failed_work.size() < 2 * kFailuresToQuarantine) {
    row.failed_work.push_back(job);
  }
  ++row.consecutive_failures;
  const bool failed_probe = row.state == HealthState::kProbing;
  const bool suspect =
      row.state == HealthState::kHealthy && WorkerIsSuspect(row);
  if (failed_probe || suspect) {
    Quarantine(row, now);
  }
}

void UpdateHealth(HealthTable& table, TimePoint now) {
  for (auto& [agent, row] : table.workers) {
    if (row.state == HealthState::kQuarantined && now >= row.probe_at) {
      row.state = HealthState::kProbing;
    } else if (row.state == HealthState::kProbing &&
               now >= row.probe_at + kProbeLimit) {
      EndProbe(row);
    }
  }
}

HealthState StateOf(const HealthTable& table, const AgentName& agent) {
  const auto it = table.workers.find(agent);
  return it == table.workers.end() ? HealthState::kHealthy : it->second.state;
}

bool JobIsToBlame(const HealthTable& table, const JobId& job) {
  const auto it = table.job_failures.find(job);
  if (it == table.job_failures.end()) {
    return false;
  }
  const auto healthy = std::count_if(
      it->second.begin(), it->second.end(), [&](const AgentName& agent) {
        return StateOf(table, agent) == HealthState::kHealthy;
      });
  return static_cast<std::size_t>(healthy) >= kWorkersToBlameJob;
}

void ForgetJob(HealthTable& table, const JobId& job) {
  table.job_failures.erase(job);
}

}  // namespace shallotlug::decision
