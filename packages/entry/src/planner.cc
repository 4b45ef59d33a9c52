#include "planner.h"

#include <algorithm>
#include <utility>

#include "agents.h"
#include "attempts.h"
#include "cluster_sync.h"
#include "shallotlug/decision/plan.h"

#include "job_table.h"
#include "log.h"
#include "peers.h"
#include "replies.h"

namespace shallotlug::entry {
namespace {

// Planning interval when nothing changes and no back-off ends.
constexpr Millis kFullPlanInterval{1000};
constexpr Millis kReconcileInterval{500};

decision::WaitingJob MakeWaiting(const stream::JobRow& row,
                                 const JobTrack& track) {
  decision::WaitingJob job;
  job.id = row.spec.id;
  job.customer = row.spec.customer;
  job.job_class = row.spec.job_class;
  job.shape = row.spec.shape;
  job.repeatable = row.spec.repeatable;
  job.checkpointable = row.spec.checkpointable;
  job.submitted = track.submitted;
  job.declared_run_time = row.spec.declared_run_time;
  job.progress = row.progress;
  job.failures = row.failures;
  job.not_before = track.not_before;
  job.failed_at = row.failed_at;
  return job;
}

struct QueuedJob {
  std::uint64_t order = 0;
  const stream::JobRow* row = nullptr;
  const JobTrack* track = nullptr;
};

// Returns queued jobs in submission order.
std::vector<decision::WaitingJob> CollectWaiting(const State& state) {
  std::vector<QueuedJob> queued;
  for (const auto& [job, track] : state.jobs.tracks) {
    const stream::JobRow* row = FindProjectedJob(state, job);
    const bool needs_log =
        row != nullptr && !row->spec.repeatable && state.job_io.reader.failing;
    if (row != nullptr && row->standing == stream::JobStanding::kQueued &&
        !track.waiting_proposal && !needs_log) {
      queued.push_back({track.order, row, &track});
    }
  }
  std::sort(
      queued.begin(), queued.end(),
      [](const QueuedJob& a, const QueuedJob& b) { return a.order < b.order; });
  std::vector<decision::WaitingJob> waiting;
  waiting.reserve(queued.size());
  for (const QueuedJob& it : queued) {
    waiting.push_back(MakeWaiting(*it.row, *it.track));
  }
  return waiting;
}

// Members in ascending order of agent name, which is the order of reservation.
// Empty when an agent is no longer linked.
std::vector<GangMember> MakeMembers(
    State& state,
    const std::vector<decision::Allocation>& tasks) {
  std::map<AgentName, GangMember> members;
  for (const decision::Allocation& it : tasks) {
    const AgentName& name = state.jobs.cluster.Info(it.worker).agent;
    const auto agent = state.agents.find(name);
    if (agent == state.agents.end() || !agent->second.linked) {
      return {};
    }
    GangMember& member = members[name];
    member.agent = agent->second.ref;
    member.address = agent->second.peer_address;
    member.tasks.push_back(it.mask);
  }
  std::vector<GangMember> sorted;
  for (auto& [name, member] : members) {
    sorted.push_back(std::move(member));
  }
  return sorted;
}

// Unrepeatable jobs run only on healthy workers, because a worker under probe
// may fail them.
bool MayUseWorkers(const State& state,
                   const JobSpec& spec,
                   const std::vector<GangMember>& members) {
  return spec.repeatable ||
         std::all_of(members.begin(), members.end(), [&](const auto& it) {
           return decision::StateOf(state.health, it.agent.name) ==
                  decision::HealthState::kHealthy;
         });
}

bool MustWaitForClaim(const State& state, const JobSpec& spec) {
  return !spec.repeatable && state.options.guards.claim_before_start;
}

void Preempt(State& state, const JobId& job) {
  JobTrack* track = FindTrack(state, job);
  const stream::JobRow* row = FindProjectedJob(state, job);
  if (track == nullptr || row == nullptr || track->stopping ||
      row->standing != stream::JobStanding::kClaimed) {
    return;
  }
  Count(state, "shallotlug_entry_preemptions_total");
  track->stopping = StopReason::kPreempted;
  track->last_stop = state.now;
  SendStop(state, row->coordinator, {job, row->attempt},
           StopReason::kPreempted);
  SyncJob(state, job);
}

std::vector<Attempt> AttemptsOf(const State& state,
                                const std::vector<JobId>& jobs) {
  std::vector<Attempt> attempts;
  for (const JobId& job : jobs) {
    if (const stream::JobRow* row = FindProjectedJob(state, job)) {
      attempts.push_back({job, row->attempt});
    }
  }
  return attempts;
}

// Claims the attempt and proposes it: immediately, or, for a job that must not
// run twice, once its winning claim has been read back.
void Start(State& state, const decision::Placement& placement) {
  const stream::JobRow* row = FindProjectedJob(state, placement.job);
  JobTrack* track = FindTrack(state, placement.job);
  std::vector<GangMember> members = MakeMembers(state, placement.tasks);
  if (row == nullptr || track == nullptr || members.empty() ||
      row->standing != stream::JobStanding::kQueued ||
      !MayUseWorkers(state, row->spec, members)) {
    return;
  }
  ProposeJob proposal;
  proposal.attempt = {placement.job,
                      std::max(row->attempt, track->highest_attempt) + 1};
  proposal.spec = row->spec;
  proposal.members = std::move(members);
  proposal.victims = AttemptsOf(state, placement.victims);
  proposal.checkpoint = row->checkpoint;
  const bool wait = MustWaitForClaim(state, row->spec);
  const std::string id = QueueJobRecord(
      state, placement.job,
      stream::JobClaimed{proposal.attempt, proposal.members.front().agent,
                         proposal.members},
      wait ? state.now + state.options.log_timeout : TimePoint::max());
  if (id.empty()) {
    return;
  }
  Count(state, "shallotlug_entry_claims_total");
  if (wait) {
    track->waiting_proposal = WaitingProposal{id, std::move(proposal)};
  } else {
    SendProposal(state, proposal);
  }
}

void Execute(State& state, const decision::Plan& plan) {
  for (const decision::Preemption& it : plan.preemptions) {
    Preempt(state, it.job);
  }
  for (const decision::Placement& it : plan.placements) {
    for (const JobId& victim : it.victims) {
      Preempt(state, victim);
    }
    Start(state, it);
  }
}

bool PlanIsDue(State& state) {
  const bool due = state.jobs.dirty && state.now >= state.jobs.next_plan;
  if (!due && state.now < state.jobs.next_full_plan) {
    return false;
  }
  state.jobs.next_plan = state.now + state.options.plan_interval;
  state.jobs.next_full_plan = state.now + kFullPlanInterval;
  state.jobs.dirty = false;
  return true;
}

bool Answered(const StreamIo& io) {
  return io.reader.caught_up || io.reader.failing;
}

}  // namespace

bool MayPlan(const State& state) {
  if (state.shutting_down) {
    return false;
  }
  if (!state.options.guards.warm_up) {
    return true;
  }
  return state.now - state.started >= state.options.warm_up &&
         state.now >= state.jobs.plan_not_before && Answered(state.config_io) &&
         Answered(state.job_io) && Answered(state.entry_io);
}

void PlanJobs(State& state) {
  if (!IsPlanner(state) || !MayPlan(state)) {
    return;
  }
  if (state.now >= state.jobs.next_reconcile) {
    state.jobs.next_reconcile = state.now + kReconcileInterval;
    ResolveAttempts(state);
  }
  if (!PlanIsDue(state)) {
    return;
  }
  decision::PlanOptions options;
  options.keep_guarantees = state.options.guards.keep_guarantees;
  const std::vector<decision::WaitingJob> waiting = CollectWaiting(state);
  for (const decision::WaitingJob& it : waiting) {
    if (it.not_before > state.now) {
      state.jobs.next_full_plan =
          std::min(state.jobs.next_full_plan, it.not_before);
    }
  }
  Execute(state, decision::MakePlan(state.jobs.cluster, waiting,
                                    stream::Current(state.config),
                                    state.jobs.run_times, options, state.now));
  Count(state, "shallotlug_entry_plans_total");
}

}  // namespace shallotlug::entry
