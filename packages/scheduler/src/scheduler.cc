#include "shallotlug/scheduler/scheduler.h"

#include <algorithm>
#include <utility>

#include "batch.h"
#include "occurrences.h"
#include "orders.h"
#include "rates.h"
#include "state.h"
#include "units.h"

namespace shallotlug::scheduler {

using protocol::SyncReply;
using protocol::SyncRequest;
using workload::Outcome;
using workload::TaskPhase;
using workload::TaskRef;

namespace {

// An acknowledgement of ends waits this long for an order to travel with.
constexpr Millis kMaxNotedDelay{200};
// Orders to be repeated are found by a sweep over all agents.
constexpr Millis kNewsSweepInterval{100};
// A draining worker leaves without a word; its runs are placed again when its
// lease is over.
constexpr Millis kMaxDrainingLease{3'000};
// How long leases are extended without contact to the store; longer than its
// usual outages.
constexpr Millis kAuthorityTimeout{12'000};

}  // namespace

struct Scheduler::Impl {
  State state;
  Batch batch;           ///< Planned last.
  TimePoint swept_at{};  ///< When all agents were last checked for news.
};

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
       {"runs", std::to_string(impl_->state.runs.All().size())},
       {"agents", std::to_string(impl_->state.agents.size())}});
}

Scheduler::Scheduler(Scheduler&&) noexcept = default;
Scheduler& Scheduler::operator=(Scheduler&&) noexcept = default;
Scheduler::~Scheduler() = default;

void Scheduler::AddJob(const workload::JobEntry& entry, Now now) {
  if (entry.job) {
    AddOccurrences(impl_->state, entry, now);
  }
}

void Scheduler::CancelJob(const JobId& job) {
  CancelOccurrences(impl_->state, job);
}

void Scheduler::AddAgent(const workload::AgentAddress& address, Now now) {
  State& state = impl_->state;
  const auto [it, added] = state.agents.try_emplace(address.agent);
  it->second.address = address;
  ++state.agents_version;
  if (added) {
    state.placement_outdated = true;
    it->second.added_at = now.local;
    it->second.lease_expiry = now.local + state.options.predecessor_grace +
                              state.options.lease +
                              LeaseMargin(state.options.lease);
  }
}

std::vector<workload::RawRecord> Scheduler::Plan(const workload::Policy& policy,
                                                 Now now) {
  State& state = impl_->state;
  AddDueOccurrences(state, now);
  ApplyPolicy(state, policy);
  ExpireLeases(state, now.local);
  LearnSpeeds(state, now.local);
  DecideOutcomes(state, policy, now.local);
  PlaceUnits(state, policy, now);
  impl_->batch = PlanBatch(state, now.local);
  return std::exchange(impl_->batch.records, {});
}

void Scheduler::HoldPlacement(bool held) {
  State& state = impl_->state;
  if (std::exchange(state.placement_held, held) == held) {
    return;
  }
  state.placement_outdated = true;
  Log(state, held ? "placement_held" : "placement_resumed",
      {{"epoch", std::to_string(state.options.epoch)}});
}

void Scheduler::Commit(const std::set<std::string>& refused) {
  CommitBatch(impl_->state, std::exchange(impl_->batch, {}), refused);
}

std::vector<workload::AgentAddress> Scheduler::Agents() const {
  std::vector<workload::AgentAddress> addresses;
  for (const auto& [name, agent] : impl_->state.agents) {
    addresses.push_back(agent.address);
  }
  return addresses;
}

namespace {

void ExtendLease(State& state,
                 AgentRow& agent,
                 SyncRequest& request,
                 TimePoint now) {
  // The agent grants leases only to a worker that answers it. The end of the
  // last lease is the only end that the runs of any other worker are certain to
  // have: a new process of the agent may never hear of it.
  if (!agent.heard || now - state.authority_confirmed > kAuthorityTimeout ||
      agent.worker_state != protocol::WorkerState::kPresent) {
    return;
  }
  request.lease = agent.worker.draining
                      ? std::min(state.options.lease, kMaxDrainingLease)
                      : state.options.lease;
  // The agent read its clock before its reply arrived here.
  agent.lease_expiry =
      std::max(LeaseExpiry(state.options, agent.heard_at, request.lease),
               agent.lease_expiry);
}

}  // namespace

std::uint64_t Scheduler::AgentsVersion() const {
  return impl_->state.agents_version;
}

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
  request.lease_from = agent.clock;
  request.known_version = agent.version;
  request.wait = agent.heard ? wait : Millis{0};
  request.noted_ends = agent.noted_ends;
  agent.noted_sent = agent.noted_ends;
  const Belief speed = NoteOf(state.speeds, name);
  request.speed = {speed.mean, speed.weight};
  ExtendLease(state, agent, request, now.local);
  AddOrders(state, agent, request, now.local);
  return request;
}

bool Scheduler::HasNews(const AgentName& name, Now now) const {
  const State& state = impl_->state;
  const auto agent = state.agents.find(name);
  if (agent == state.agents.end() || !agent->second.heard) {
    return false;
  }
  const AgentRow& row = agent->second;
  if (!row.settled.empty() || (row.noted_ends > row.noted_sent &&
                               now.local - row.noted_at >= kMaxNotedDelay)) {
    return true;
  }
  return OrderIsDue(state, row, now.local);
}

std::vector<AgentName> Scheduler::TakeNews(Now now) {
  State& state = impl_->state;
  if (now.local - impl_->swept_at >= kNewsSweepInterval) {
    impl_->swept_at = now.local;
    for (const auto& [name, agent] : state.agents) {
      state.news.insert(name);
    }
  }
  std::vector<AgentName> names;
  for (const AgentName& it : std::exchange(state.news, {})) {
    if (HasNews(it, now)) {
      names.push_back(it);
    }
  }
  return names;
}

void Scheduler::OnReply(const AgentName& agent,
                        Incarnation known,
                        const SyncReply& reply,
                        Now now) {
  ApplyReply(impl_->state, agent, known, reply, now.local);
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

Scheduler::SpeedCounts Scheduler::CountSpeeds(Now now) const {
  const State& state = impl_->state;
  SpeedCounts counts;
  for (const auto& [name, agent] : state.agents) {
    const auto worker = state.speeds.workers.find(name);
    if (worker == state.speeds.workers.end() || worker->second.weight <= 0) {
      ++counts.unknown;
      continue;
    }
    const int speed_class = SpeedClass(LogFactor(worker->second, now.local));
    ++(speed_class < 0   ? counts.faster
       : speed_class > 0 ? counts.slower
                         : counts.usual);
  }
  return counts;
}

std::vector<LogLine> Scheduler::TakeLog() {
  return std::exchange(impl_->state.log, {});
}

}  // namespace shallotlug::scheduler
