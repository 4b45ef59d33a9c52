#include "cluster_sync.h"

#include <utility>

#include "job_table.h"

namespace shallotlug::entry {
namespace {

decision::WorkerInfo InfoOf(const Agent& agent) {
  return {agent.ref.name, agent.inventory.data_centre, agent.inventory.rack,
          agent.inventory.accelerators, agent.inventory.slots};
}

bool SameInventory(const decision::WorkerInfo& a,
                   const decision::WorkerInfo& b) {
  return a.data_centre == b.data_centre && a.rack == b.rack &&
         a.accelerators == b.accelerators && a.slots == b.slots;
}

void EnsureWorker(State& state, Agent& agent) {
  const decision::WorkerInfo info = InfoOf(agent);
  decision::Cluster& cluster = state.jobs.cluster;
  if (agent.worker && !SameInventory(cluster.Info(*agent.worker), info)) {
    cluster.RemoveWorker(*agent.worker);
    agent.worker.reset();
  }
  if (!agent.worker) {
    agent.worker = cluster.AddWorker(info);
    state.jobs.workers_added = true;
  }
  if (state.jobs.all_known_agents.insert(agent.ref.name).second) {
    state.jobs.all_known_workers.AddWorker(info);
    state.jobs.shape_cache.clear();
  }
}

AcceleratorMask MaskOf(const AgentReport& report, AcceleratorUse use) {
  AcceleratorMask mask = 0;
  for (std::size_t n = 0; n < report.accelerators.size() && n < 32; ++n) {
    mask |= report.accelerators[n] == use ? AcceleratorMask{1} << n : 0;
  }
  return mask;
}

AcceleratorMask LowBits(int count) {
  return count >= 32 ? ~AcceleratorMask{0}
                     : (AcceleratorMask{1} << std::max(count, 0)) - 1;
}

// Marks accelerators that the agent reports as used but that belong to no known
// job.
void SyncOtherUse(State& state, const Agent& agent) {
  decision::Cluster& cluster = state.jobs.cluster;
  const AcceleratorMask all = LowBits(agent.inventory.accelerators);
  const AcceleratorMask live = MaskOf(agent.report, AcceleratorUse::kLive);
  const AcceleratorMask free = MaskOf(agent.report, AcceleratorUse::kFree);
  cluster.SetLiveUse(*agent.worker, 0);
  cluster.SetOtherUse(*agent.worker, 0);
  const AcceleratorMask by_jobs = all & ~cluster.Free(*agent.worker);
  cluster.SetLiveUse(*agent.worker, live & ~by_jobs);
  cluster.SetOtherUse(*agent.worker, all & ~free & ~live & ~by_jobs);
}

// A worker under probe is given one task at a time.
bool IsSchedulable(const State& state, const Agent& agent) {
  if (!agent.linked || !agent.reported || agent.report.leaving ||
      !agent.report.backend_reachable) {
    return false;
  }
  switch (decision::StateOf(state.health, agent.ref.name)) {
    case decision::HealthState::kHealthy:
      return true;
    case decision::HealthState::kQuarantined:
      return false;
    case decision::HealthState::kProbing:
      break;
  }
  const AcceleratorMask all = LowBits(agent.inventory.accelerators);
  return (state.jobs.cluster.Free(*agent.worker) & all) == all;
}

void SyncSchedulable(State& state, const Agent& agent) {
  decision::Cluster& cluster = state.jobs.cluster;
  cluster.SetSchedulable(*agent.worker, IsSchedulable(state, agent));
  cluster.SetRepeatableOnly(*agent.worker,
                            decision::StateOf(state.health, agent.ref.name) !=
                                decision::HealthState::kHealthy);
}

void SyncWorkersOf(State& state,
                   const std::vector<decision::Allocation>& tasks) {
  for (const decision::Allocation& it : tasks) {
    const auto agent =
        state.agents.find(state.jobs.cluster.Info(it.worker).agent);
    if (agent != state.agents.end() && agent->second.worker == it.worker &&
        agent->second.reported) {
      SyncOtherUse(state, agent->second);
      SyncSchedulable(state, agent->second);
    }
  }
}

decision::RunningJob RunningJobOf(const State& state,
                                  const stream::JobRow& row) {
  decision::RunningJob job;
  job.attempt = {row.spec.id, row.attempt};
  job.customer = row.spec.customer;
  job.job_class = row.spec.job_class;
  job.shape = row.spec.shape;
  job.repeatable = row.spec.repeatable;
  job.checkpointable = row.spec.checkpointable;
  job.declared_run_time = row.spec.declared_run_time;
  job.progress = row.progress;
  const auto track = state.jobs.tracks.find(row.spec.id);
  if (track != state.jobs.tracks.end()) {
    job.stopping = track->second.stopping.has_value();
    job.submitted = track->second.submitted;
    job.started =
        track->second.running_since.value_or(track->second.claimed_at);
    job.progress = std::max(job.progress, track->second.progress);
  }
  job.tasks = AllocationsOf(state, row.members);
  return job;
}

}  // namespace

void SyncWorker(State& state, Agent& agent) {
  EnsureWorker(state, agent);
  agent.health = decision::StateOf(state.health, agent.ref.name);
  if (agent.reported) {
    SyncOtherUse(state, agent);
  }
  SyncSchedulable(state, agent);
  state.jobs.dirty = true;
}

void SyncJob(State& state, const JobId& job) {
  decision::Cluster& cluster = state.jobs.cluster;
  std::vector<decision::Allocation> touched;
  if (const decision::RunningJob* before = cluster.FindJob(job)) {
    touched = before->tasks;
  }
  const stream::JobRow* row = FindProjectedJob(state, job);
  const bool holds =
      row != nullptr && row->standing == stream::JobStanding::kClaimed;
  if (holds) {
    const decision::RunningJob running = RunningJobOf(state, *row);
    touched.insert(touched.end(), running.tasks.begin(), running.tasks.end());
    cluster.AddJob(running);
  } else {
    cluster.RemoveJob(job);
  }
  SyncWorkersOf(state, touched);
}

void SyncJobsOfNewWorkers(State& state) {
  if (!std::exchange(state.jobs.workers_added, false)) {
    return;
  }
  for (const auto& [job, row] : state.jobs.fold.rows) {
    if (row.standing == stream::JobStanding::kClaimed) {
      SyncJob(state, job);
    }
  }
}

void RemoveDeadWorkers(State& state) {
  for (auto& [name, agent] : state.agents) {
    if (agent.worker && !agent.linked &&
        state.now - agent.last_heard > state.options.abandon_after) {
      state.jobs.cluster.RemoveWorker(*agent.worker);
      agent.worker.reset();
      state.jobs.dirty = true;
    }
  }
}

std::vector<decision::Allocation> AllocationsOf(
    const State& state,
    const std::vector<GangMember>& members) {
  std::vector<decision::Allocation> tasks;
  for (const GangMember& member : members) {
    const auto agent = state.agents.find(member.agent.name);
    if (agent == state.agents.end() || !agent->second.worker) {
      continue;  // Unknown here; the rest still occupies its accelerators.
    }
    for (const AcceleratorMask mask : member.tasks) {
      tasks.push_back({*agent->second.worker, mask});
    }
  }
  return tasks;
}

}  // namespace shallotlug::entry
