#include "shallotlug/jobharness/job_simulation.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <utility>

#include "job_simulation_impl.h"

namespace shallotlug::jobharness {

using detail::kCallTimeout;
using detail::SimulatedAgent;
using detail::SimulatedEntry;

namespace {

constexpr Millis kStep{5};
constexpr Millis kSubmitRetry{400};
constexpr int kSubmitAttempts = 60;
constexpr int kMaxDelayMs = 6;
constexpr double kMaxClockDrift = 0.02;
// The machines of the agents have started at different times.
constexpr Millis kFirstClockOffset{10'000'000};
constexpr Millis kClockOffsetPerAgent{1'000'000};

}  // namespace

void JobSimulation::Impl::Trace(const std::string& process,
                                const std::vector<LogLine>& lines) {
  for (const LogLine& it : lines) {
    if (options.trace) {
      std::cerr << now.time_since_epoch().count() << " " << process << " "
                << it.event;
      for (const Label& field : it.fields) {
        std::cerr << " " << field.name << "=" << field.value;
      }
      std::cerr << "\n";
    }
  }
}

TimePoint JobSimulation::Impl::AgentClock(std::size_t n) const {
  const auto simulated = static_cast<double>(now.time_since_epoch().count());
  return TimePoint(Millis(std::llround(simulated * agents[n].clock_rate))) +
         agents[n].clock_offset;
}

Millis JobSimulation::Impl::Delay() {
  return Millis(std::uniform_int_distribution<>(1, kMaxDelayMs)(random));
}

Millis JobSimulation::Impl::AnswerDelay() {
  if (options.slow_answers > 0 && Chance(options.slow_answers)) {
    return Millis(std::uniform_int_distribution<std::int64_t>(
        1, kCallTimeout.count())(random));
  }
  return Delay();
}

void JobSimulation::Impl::Deliver(std::size_t n,
                                  std::uint64_t life,
                                  std::function<void()> call) {
  if (!AgentLives(n, life)) {
    return;
  }
  if (agents[n].frozen) {
    agents[n].queued.push_back(std::move(call));
  } else {
    call();
  }
}

std::optional<std::size_t> JobSimulation::Impl::FindAgent(
    const AgentName& name) const {
  for (std::size_t n = 0; n < agents.size(); ++n) {
    if (agents[n].machine == name.value) {
      return n;
    }
  }
  return std::nullopt;
}

// An append whose answer is lost may have been carried out.
void JobSimulation::Impl::CallStore(
    std::function<joblog::AppendResult()> call,
    std::function<void(const joblog::AppendResult&)> answer) {
  const bool lost = Chance(options.lost_appends);
  const bool done = !lost || Chance(0.5);
  After(Delay(), [this, call, answer, lost, done] {
    joblog::AppendResult result;
    result.status = joblog::AppendStatus::kOutcomeUnknown;
    if (done) {
      const joblog::AppendResult real = call();
      if (!lost) {
        result = real;
      }
    }
    After(lost ? kCallTimeout : Delay(), [answer, result] { answer(result); });
  });
}

void JobSimulation::Impl::Tick() {
  now += kStep;
  fleet.Advance(now);
  while (!events.empty() && events.begin()->first <= now) {
    const std::function<void()> call = std::move(events.begin()->second);
    events.erase(events.begin());
    call();
  }
  for (std::size_t n = 0; n < entries.size(); ++n) {
    if (entries[n].running && !entries[n].frozen) {
      StepEntry(n);
    }
  }
  for (std::size_t n = 0; n < agents.size(); ++n) {
    if (agents[n].running && !agents[n].frozen) {
      StepAgent(n);
    }
  }
}

void JobSimulation::Impl::AppendUntilDone(const workload::RawRecord& record,
                                          int attempts,
                                          std::function<void()> done) {
  CallStore([this, record] { return store.Append("caller", {record}, {}); },
            [this, record, attempts, done](const joblog::AppendResult& result) {
              if (result.status == joblog::AppendStatus::kDone) {
                done();
              } else if (attempts > 1) {
                After(kSubmitRetry, [this, record, attempts, done] {
                  AppendUntilDone(record, attempts - 1, done);
                });
              }
            });
}

JobSimulation::JobSimulation(const JobSimulationOptions& options)
    : impl_(std::make_unique<Impl>(options)) {
  Impl& it = *impl_;
  it.store.SetLimits(options.store);
  it.policy.version = 1;
  workload::Queue queue;
  queue.name = "live";
  queue.terms.pool = "pool";
  queue.terms.max_attempts = 3;
  it.policy.queues.push_back(queue);
  queue.name = "batch";
  queue.terms.priority = 1;
  it.policy.queues.push_back(queue);
  it.policy.customers.push_back({CustomerName("acme"), {"key"}, 4});
  it.entries.resize(static_cast<std::size_t>(options.entries));
  it.agents.resize(static_cast<std::size_t>(options.agents));
  for (int n = 0; n < options.agents; ++n) {
    SimulatedAgent& agent = it.agents[static_cast<std::size_t>(n)];
    agent.machine = "machine-" + std::to_string(n);
    agent.clock_offset = kFirstClockOffset + n * kClockOffsetPerAgent;
    FakeWorkerSetup worker{"rack-" + std::to_string(n / 2), options.worker};
    worker.ends_per_page = options.ends_per_page;
    if (options.clocks_drift) {
      agent.clock_rate = it.ClockRate(1 - kMaxClockDrift, 1 + kMaxClockDrift);
      worker.clock_rate = it.ClockRate(1 - kMaxClockDrift, 1);
    }
    it.fleet.Add("machine-" + std::to_string(n), worker, it.now);
    StartAgent(n);
  }
  for (int n = 0; n < options.entries; ++n) {
    StartEntry(n);
  }
}

JobSimulation::~JobSimulation() = default;

void JobSimulation::Run(Millis time) {
  const TimePoint until = impl_->now + time;
  while (impl_->now < until) {
    impl_->Tick();
  }
}

void JobSimulation::Submit(const workload::Job& job) {
  impl_->jobs[job.id] = job;
  impl_->jobs[job.id].accepted_at = impl_->BothClocks().wall;
  impl_->oracle.OnSent(job);
  for (std::size_t n = 0; n < job.steps.size(); ++n) {
    if (job.steps[n].gang) {
      impl_->fleet.AddGang(job.id, static_cast<int>(n), job.steps[n].count);
    }
  }
  impl_->AppendUntilDone(
      workload::Encode(workload::JobAccepted{impl_->jobs.at(job.id)}),
      kSubmitAttempts, [impl = impl_.get(), id = job.id] {
        impl->oracle.OnAccepted(impl->jobs.at(id));
      });
}

void JobSimulation::Cancel(const JobId& job) {
  impl_->AppendUntilDone(
      workload::Encode(workload::JobCancelled{job}), kSubmitAttempts,
      [impl = impl_.get(), job] { impl->oracle.OnCancelled(job, impl->now); });
}

void JobSimulation::KillEntry(int entry) {
  impl_->entries[static_cast<std::size_t>(entry)].running = false;
}

void JobSimulation::StartEntry(int entry) {
  Impl* world = impl_.get();
  const auto n = static_cast<std::size_t>(entry);
  SimulatedEntry& it = world->entries[n];
  if (it.running) {
    return;
  }
  const std::uint64_t life = it.life + 1;
  it = {};
  it.running = true;
  it.life = life;
  scheduler::SchedulerOptions options;
  options.entry = EntryName("entry-" + std::to_string(n));
  options.lease = Millis(4'000);
  options.stop_timeout = Millis(300);
  options.store = world->options.store;
  it.role.emplace(options, it.ledger, world->policy);
  it.follower.emplace([world, n](const joblog::StoredRecord& stored) {
    SimulatedEntry& self = world->entries[n];
    Apply(self.ledger, stored.record.key, stored.record.value, stored.offset);
    self.role->OnRecord(stored, world->BothClocks());
  });
}

void JobSimulation::FreezeEntry(int entry, bool frozen) {
  impl_->entries[static_cast<std::size_t>(entry)].frozen = frozen;
}

void JobSimulation::RetireEntry(int entry) {
  SimulatedEntry& it = impl_->entries[static_cast<std::size_t>(entry)];
  if (it.running) {
    it.role->Retire();
  }
}

void JobSimulation::KillAgent(int agent) {
  SimulatedAgent& it = impl_->agents[static_cast<std::size_t>(agent)];
  it.running = false;
  it.frozen = false;
  it.queued.clear();
}

void JobSimulation::StartAgent(int agent) {
  SimulatedAgent& it = impl_->agents[static_cast<std::size_t>(agent)];
  if (it.running) {
    return;
  }
  it.running = true;
  ++it.life;
  it.registered = false;
  it.executor.emplace(
      executor::ExecutorOptions{AgentName(it.machine), Incarnation{it.life}});
}

void JobSimulation::FreezeAgent(int agent, bool frozen) {
  SimulatedAgent& it = impl_->agents[static_cast<std::size_t>(agent)];
  it.frozen = frozen && it.running;
  if (it.frozen) {
    return;
  }
  auto queued = std::exchange(it.queued, {});
  std::shuffle(queued.begin(), queued.end(), impl_->random);
  for (const auto& call : queued) {
    call();
  }
}

void JobSimulation::RebootAgent(int agent, Millis clock_step) {
  KillAgent(agent);
  SimulatedAgent& it = impl_->agents[static_cast<std::size_t>(agent)];
  // A steady clock shows no time before its own start.
  it.clock_offset = std::max(it.clock_offset + clock_step, Millis{0});
  StartAgent(agent);
}

void JobSimulation::PartitionAgent(int agent, bool partitioned) {
  impl_->agents[static_cast<std::size_t>(agent)].partitioned = partitioned;
}

void JobSimulation::PartitionWorker(int agent, bool partitioned) {
  impl_->agents[static_cast<std::size_t>(agent)].worker_partitioned =
      partitioned;
}

void JobSimulation::RestartWorker(int agent) {
  SimulatedAgent& it = impl_->agents[static_cast<std::size_t>(agent)];
  it.draining = false;
  impl_->fleet.Restart(it.machine, impl_->now);
}

void JobSimulation::DrainWorker(int agent) {
  impl_->agents[static_cast<std::size_t>(agent)].draining = true;
}

int JobSimulation::Scheduler() const {
  int best = -1;
  std::uint64_t epoch = 0;
  for (std::size_t n = 0; n < impl_->entries.size(); ++n) {
    const SimulatedEntry& it = impl_->entries[n];
    if (it.running && it.role->Epoch() > epoch) {
      epoch = it.role->Epoch();
      best = static_cast<int>(n);
    }
  }
  return best;
}

void JobSimulation::SetLosses(double orders, double appends) {
  impl_->options.lost_orders = orders;
  impl_->options.lost_appends = appends;
}

FakeStore& JobSimulation::Store() {
  return impl_->store;
}

FakeFleet& JobSimulation::Fleet() {
  return impl_->fleet;
}

JobOracle& JobSimulation::Oracle() {
  return impl_->oracle;
}

workload::Policy& JobSimulation::Policy() {
  return impl_->policy;
}

TimePoint JobSimulation::Now() const {
  return impl_->now;
}

std::string JobSimulation::Shown(const JobId& job) const {
  // An entry that has not read the log hands its callers to one that has.
  const SimulatedEntry* newest = nullptr;
  for (const SimulatedEntry& it : impl_->entries) {
    if (it.running && !it.frozen && it.follower &&
        (newest == nullptr ||
         it.follower->CurrentAt() > newest->follower->CurrentAt())) {
      newest = &it;
    }
  }
  if (newest == nullptr) {
    return "nobody answers";
  }
  const auto state = StateOf(newest->ledger, job);
  return state ? workload::Name(*state) : "unknown";
}

std::string JobSimulation::Finish(Millis settle) {
  SetLosses(0, 0);
  impl_->store.Serve("*");
  for (int n = 0; n < impl_->options.entries; ++n) {
    impl_->store.Serve("entry-" + std::to_string(n));
    FreezeEntry(n, false);
    StartEntry(n);
  }
  for (int n = 0; n < impl_->options.agents; ++n) {
    FreezeAgent(n, false);
    PartitionAgent(n, false);
    PartitionWorker(n, false);
    StartAgent(n);
    impl_->agents[static_cast<std::size_t>(n)].draining = false;
  }
  Run(settle);
  for (const auto& [id, job] : impl_->jobs) {
    impl_->oracle.OnShown(id, Shown(id), impl_->now);
  }
  impl_->oracle.Finish();
  std::string broken;
  for (const std::string& it : impl_->oracle.Violations()) {
    broken += it + "\n";
  }
  return broken;
}

workload::Job MakeJob(const std::string& id,
                      int tasks,
                      const std::string& payload) {
  workload::Job job;
  job.id = JobId(id);
  job.queue = "batch";
  job.terms.pool = "pool";
  job.terms.priority = 1;
  job.terms.max_attempts = 3;
  job.customer = CustomerName("acme");
  job.payload = payload;
  workload::Step step;
  step.count = tasks;
  step.need = {1'000, 1'000, 1};
  step.estimate = Millis(1'000);
  job.steps.push_back(step);
  return job;
}

}  // namespace shallotlug::jobharness
