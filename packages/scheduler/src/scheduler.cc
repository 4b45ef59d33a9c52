#include "shallotlug/scheduler/scheduler.h"

#include <algorithm>
#include <utility>

#include "state.h"
#include "units.h"

namespace shallotlug::scheduler {

using protocol::SyncReply;
using protocol::SyncRequest;
using workload::Outcome;
using workload::TaskPhase;
using workload::TaskRef;

namespace {

// Interval after which an order is resent that the agent has not confirmed.
constexpr Millis kOrderRepeat{500};
// How long leases are extended without contact to the store; longer than its
// usual outages.
constexpr Millis kAuthorityTimeout{12'000};

OccurrenceRow MakeRow(const std::shared_ptr<const workload::Job>& job,
                      int number) {
  OccurrenceRow row;
  row.job = job;
  row.progress = workload::MakeProgress(*job);
  row.due = job->recurrence.count > 0
                ? job->recurrence.first + number * job->recurrence.interval
                : job->accepted_at;
  return row;
}

/// @brief Whether recorded progress has the job's steps and task counts.
bool Matches(const workload::Job& job, const workload::Progress& progress) {
  if (progress.steps.size() != job.steps.size()) {
    return false;
  }
  for (std::size_t n = 0; n < job.steps.size(); ++n) {
    if (progress.steps[n].size() !=
        static_cast<std::size_t>(job.steps[n].count)) {
      return false;
    }
  }
  return true;
}

}  // namespace

struct Scheduler::Impl {
  State state;
  /// Last run end recorded by the batch in flight, with the worker life that
  /// numbered it.
  std::map<AgentName, std::pair<workload::WorkerLife, std::uint64_t>>
      batch_ends;
  std::vector<TaskRef> batch_runs;

  void RestoreRuns(const OccurrenceKey& key, const OccurrenceRow& row, Now now);
  void AddOccurrences(const workload::JobEntry& entry, Now now);
};

// Runs that a predecessor recorded may be present on their workers.
void Scheduler::Impl::RestoreRuns(const OccurrenceKey& key,
                                  const OccurrenceRow& row,
                                  Now now) {
  for (std::size_t step = 0; step < row.progress.steps.size(); ++step) {
    const auto& tasks = row.progress.steps[step];
    for (std::size_t n = 0; n < tasks.size(); ++n) {
      if (tasks[n].phase != TaskPhase::kAssigned) {
        continue;
      }
      RunRow run;
      run.run = tasks[n].run;
      run.on = tasks[n].on;
      run.need = NeedOf(row.job->steps[step]);
      run.state = RunState::kOrdered;
      run.ordered_before = true;
      run.placed_at = now.local;
      run.checkpoint = tasks[n].checkpoint;
      state.runs[{key.job, key.number, static_cast<int>(step),
                  static_cast<int>(n)}] = std::move(run);
    }
  }
}

void Scheduler::Impl::AddOccurrences(const workload::JobEntry& entry, Now now) {
  const auto job = std::make_shared<const workload::Job>(*entry.job);
  for (int n = 0; n < Occurrences(*job); ++n) {
    const OccurrenceKey key{job->id, n};
    if (state.occurrences.contains(key)) {
      continue;
    }
    OccurrenceRow row = MakeRow(job, n);
    row.cancelled = entry.cancelled;
    const auto recorded = entry.occurrences.find(n);
    if (recorded != entry.occurrences.end() &&
        Matches(*job, recorded->second)) {
      row.progress = recorded->second;
      RestoreRuns(key, row, now);
    }
    if (row.progress.outcome == Outcome::kOpen) {
      state.open.insert(key);
    } else {
      row.final_at = now.local;
    }
    state.occurrences.emplace(key, std::move(row));
  }
}

Scheduler::Scheduler(const SchedulerOptions& options,
                     const workload::Ledger& ledger,
                     Now now)
    : impl_(std::make_unique<Impl>()) {
  impl_->state.options = options;
  impl_->state.authority_confirmed = now.local;
  for (const auto& [name, address] : ledger.agents) {
    AddAgent(address, now);
  }
  for (const auto& [id, entry] : ledger.jobs) {
    AddJob(entry, now);
  }
  Log(impl_->state, "scheduler_started",
      {{"epoch", std::to_string(options.epoch)},
       {"open", std::to_string(impl_->state.open.size())},
       {"runs", std::to_string(impl_->state.runs.size())},
       {"agents", std::to_string(impl_->state.agents.size())}});
}

Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;
Scheduler::~Scheduler() = default;

void Scheduler::AddJob(const workload::JobEntry& entry, Now now) {
  if (entry.job) {
    impl_->AddOccurrences(entry, now);
  }
}

void Scheduler::CancelJob(const JobId& job) {
  State& state = impl_->state;
  for (auto it = state.occurrences.lower_bound({job, 0});
       it != state.occurrences.end() && it->first.job == job; ++it) {
    it->second.cancelled = true;
  }
}

void Scheduler::AddAgent(const workload::AgentAddress& address, Now now) {
  State& state = impl_->state;
  const auto [it, added] = state.agents.try_emplace(address.agent);
  it->second.address = address;
  if (added) {
    it->second.added_at = now.local;
    it->second.lease_expiry = now.local + state.options.predecessor_grace +
                              state.options.lease +
                              LeaseMargin(state.options.lease);
  }
}

std::vector<workload::RawRecord> Scheduler::Plan(const workload::Policy& policy,
                                                 Now now) {
  State& state = impl_->state;
  ExpireLeases(state, now.local);
  DecideOutcomes(state, policy, now.local);
  PlaceUnits(state, policy, now);
  impl_->batch_ends.clear();
  impl_->batch_runs.clear();
  std::vector<workload::RawRecord> records = DropOldJobs(state, now.local);
  for (workload::RawRecord& it : DropLostAgents(state, now.local)) {
    records.push_back(std::move(it));
  }
  for (auto& [key, row] : state.occurrences) {
    if (row.dirty) {
      row.dirty = false;
      records.push_back(workload::Encode(
          workload::OccurrenceProgress{key.job, key.number, row.progress}));
    }
  }
  for (const auto& [task, run] : state.runs) {
    if (run.state == RunState::kPlanned) {
      impl_->batch_runs.push_back(task);
    }
  }
  for (const auto& [name, agent] : state.agents) {
    impl_->batch_ends[name] = {agent.worker.life, agent.processed_ends};
  }
  return records;
}

void Scheduler::Commit() {
  State& state = impl_->state;
  for (const TaskRef& it : impl_->batch_runs) {
    const auto run = state.runs.find(it);
    if (run != state.runs.end() && run->second.state == RunState::kPlanned) {
      run->second.state = RunState::kOrdered;
    }
  }
  for (const auto& [name, ends] : impl_->batch_ends) {
    const auto& [life, number] = ends;
    const auto agent = state.agents.find(name);
    // A worker that has restarted since then numbers its ends from 1 again.
    if (agent != state.agents.end() && agent->second.worker.life == life) {
      agent->second.noted_ends = std::max(agent->second.noted_ends, number);
    }
  }
}

std::vector<workload::AgentAddress> Scheduler::Agents() const {
  std::vector<workload::AgentAddress> addresses;
  for (const auto& [name, agent] : impl_->state.agents) {
    addresses.push_back(agent.address);
  }
  return addresses;
}

namespace {

bool StartIsDue(const RunRow& run, TimePoint now) {
  return run.state == RunState::kOrdered && !run.stop_requested &&
         now - run.order_sent >= kOrderRepeat;
}

bool StopIsDue(const RunRow& run, TimePoint now) {
  return run.state != RunState::kPlanned && run.stop_requested &&
         now - run.stop_sent >= kOrderRepeat;
}

void AddOrders(State& state,
               const AgentName& name,
               SyncRequest& request,
               TimePoint now) {
  for (auto& [task, run] : state.runs) {
    if (run.on.agent != name) {
      continue;
    }
    if (StopIsDue(run, now)) {
      run.stop_sent = now;
      request.stops.push_back({task, run.run});
    } else if (StartIsDue(run, now) && run.on.worker == request.worker) {
      const OccurrenceRow* row = FindOccurrence(state, task);
      request.starts.push_back({{task, run.run},
                                row->job->payload,
                                run.checkpoint,
                                run.ordered_before});
      run.order_sent = now;
      run.ordered_before = true;
    }
  }
}

void ExtendLease(State& state,
                 AgentRow& agent,
                 SyncRequest& request,
                 TimePoint now) {
  if (!agent.heard || now - state.authority_confirmed > kAuthorityTimeout) {
    return;
  }
  request.lease_from = agent.clock;
  request.lease = state.options.lease;
  // The agent read its clock before its reply arrived here.
  agent.lease_expiry =
      std::max(LeaseExpiry(state.options, agent.heard_at), agent.lease_expiry);
}

}  // namespace

SyncRequest Scheduler::MakeSync(const AgentName& name, Millis wait, Now now) {
  State& state = impl_->state;
  SyncRequest request;
  request.epoch = state.options.epoch;
  request.entry = state.options.entry;
  const auto found = state.agents.find(name);
  if (found == state.agents.end()) {
    return request;
  }
  AgentRow& agent = found->second;
  request.worker = agent.worker.life;
  request.known_version = agent.version;
  request.wait = agent.heard ? wait : Millis{0};
  request.noted_ends = agent.noted_ends;
  agent.noted_sent = agent.noted_ends;
  request.settled = std::exchange(agent.settled, {});
  request.stops = agent.orphans;
  ExtendLease(state, agent, request, now.local);
  AddOrders(state, name, request, now.local);
  return request;
}

bool Scheduler::HasNews(const AgentName& name, Now now) const {
  const State& state = impl_->state;
  const auto agent = state.agents.find(name);
  if (agent == state.agents.end() || !agent->second.heard) {
    return false;
  }
  if (agent->second.noted_ends > agent->second.noted_sent ||
      !agent->second.settled.empty()) {
    return true;
  }
  return std::any_of(state.runs.begin(), state.runs.end(), [&](const auto& it) {
    const RunRow& run = it.second;
    return run.on.agent == name &&
           (StopIsDue(run, now.local) ||
            (StartIsDue(run, now.local) &&
             run.on.worker == agent->second.worker.life));
  });
}

void Scheduler::OnReply(const AgentName& agent,
                        const SyncReply& reply,
                        Now now) {
  ApplyReply(impl_->state, agent, reply, now.local);
}

void Scheduler::ConfirmAuthority(Now now) {
  impl_->state.authority_confirmed = now.local;
}

Scheduler::Reach Scheduler::AgentsHeard(Millis age, Now now) const {
  Reach reach;
  for (const auto& [name, agent] : impl_->state.agents) {
    ++reach.known;
    if (agent.heard && now.local - agent.heard_at <= age) {
      ++reach.heard;
    }
  }
  return reach;
}

std::vector<LogLine> Scheduler::TakeLog() {
  return std::exchange(impl_->state.log, {});
}

}  // namespace shallotlug::scheduler
