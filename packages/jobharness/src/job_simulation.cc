#include "shallotlug/jobharness/job_simulation.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <utility>

#include "shallotlug/executor/executor.h"
#include "shallotlug/joblog/follower.h"
#include "shallotlug/scheduler/role.h"

namespace shallotlug::jobharness {

namespace {

constexpr Millis kStep{5};
constexpr Millis kHeartbeat{500};
constexpr Millis kReadInterval{20};
constexpr Millis kPollInterval{50};
constexpr Millis kCallTimeout{700};
constexpr Millis kMaxDeliveryDelay{15'000};
constexpr Millis kSyncInterval{100};
constexpr Millis kSubmitRetry{400};
constexpr int kSubmitAttempts = 60;
constexpr int kMaxDelayMs = 6;
// The machines of the agents have started at different times.
constexpr Millis kFirstClockOffset{10'000'000};
constexpr Millis kClockOffsetPerAgent{1'000'000};

struct EntrySim {
  bool running = false;
  bool frozen = false;
  std::uint64_t life = 0;
  workload::Ledger ledger;
  std::optional<joblog::Follower> follower;
  std::optional<scheduler::Role> role;
  TimePoint next_read{};
  std::map<AgentName, TimePoint> next_sync;
  std::set<AgentName> syncing;
};

struct AgentSim {
  std::string machine;
  bool running = false;
  std::uint64_t life = 0;
  bool cut = false;
  bool worker_partitioned = false;
  bool draining = false;
  Millis clock_offset{0};  ///< Of its machine's clock to the simulated one.
  std::optional<executor::Executor> executor;
  TimePoint next_heartbeat{};
  TimePoint next_poll{};
  bool registered = false;
};

}  // namespace

struct JobSimulation::Impl {
  explicit Impl(const JobSimulationOptions& given)
      : options(given), random(given.seed), fleet(oracle) {}

  JobSimulationOptions options;
  std::mt19937_64 random;
  TimePoint now{Millis(1'000)};

  void Trace(const std::string& process, const std::vector<LogLine>& lines) {
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

  std::multimap<TimePoint, std::function<void()>> events;
  JobOracle oracle;
  FakeStore store;
  FakeFleet fleet;
  workload::Policy policy;
  std::vector<EntrySim> entries;
  std::vector<AgentSim> agents;
  std::map<JobId, workload::Job> jobs;

  scheduler::Now BothClocks() const {
    return {now, workload::WallTime(now.time_since_epoch())};
  }
  /// @brief The time by the clock of the agent's machine.
  TimePoint AgentClock(std::size_t n) const {
    return now + agents[n].clock_offset;
  }
  bool Chance(double share) {
    return std::uniform_real_distribution<>(0, 1)(random) < share;
  }
  Millis Delay() {
    return Millis(std::uniform_int_distribution<>(1, kMaxDelayMs)(random));
  }
  void After(Millis delay, std::function<void()> call) {
    events.emplace(now + delay, std::move(call));
  }

  void Tick();
  void StepEntry(std::size_t n);
  void Read(std::size_t n);
  void StartAppend(std::size_t n);
  void Sync(std::size_t n, const AgentName& name);
  void DeliverLate(const AgentName& name, const protocol::SyncRequest& request);
  void StepAgent(std::size_t n);
  void Register(std::size_t n);
  void SendAction(std::size_t n, const executor::Action& action);
  void Look(std::size_t n, const executor::WorkerQuery& look);
  void TrySubmit(const JobId& job, int attempts);
  void TryCancel(const JobId& job, int attempts);
  std::optional<std::size_t> FindAgent(const AgentName& name) const;
  template <class Call, class Answer>
  void CallStore(const std::string& caller, Call call, Answer answer);
  template <class Result, class Call, class Answer>
  void CallWorker(std::size_t n, Call call, Answer answer);
  template <class Result, class Answer>
  void AnswerAfterTimeout(std::size_t n, std::uint64_t life, Answer answer);
  bool EntryLives(std::size_t n, std::uint64_t life) const {
    return entries[n].running && entries[n].life == life;
  }
  bool AgentLives(std::size_t n, std::uint64_t life) const {
    return agents[n].running && agents[n].life == life;
  }
};

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
template <class Call, class Answer>
void JobSimulation::Impl::CallStore(const std::string&,
                                    Call call,
                                    Answer answer) {
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

template <class Result, class Call, class Answer>
void JobSimulation::Impl::CallWorker(std::size_t n, Call call, Answer answer) {
  const std::uint64_t life = agents[n].life;
  if (agents[n].worker_partitioned || fleet.IsDown(agents[n].machine)) {
    After(kCallTimeout, [this, n, life, answer] {
      Result result;
      result.status = executor::OrderStatus::kNotReached;
      if (AgentLives(n, life)) {
        answer(result);
      }
    });
    return;
  }
  const bool lost = Chance(options.lost_orders);
  const Millis late = lost ? Millis(std::uniform_int_distribution<std::int64_t>(
                                 0, options.late_by.count())(random))
                           : Delay();
  // An order without an answer is carried out later, but not by another life:
  // orders name the worker and not its life, so that nothing the agent does
  // could keep a new life from carrying out what the former one was sent.
  const workload::WorkerLife meant = fleet.Facts(agents[n].machine).life;
  After(late, [this, n, life, call, answer, lost, meant] {
    if (lost && fleet.Facts(agents[n].machine).life != meant) {
      return;
    }
    if (fleet.IsDown(agents[n].machine)) {
      // The worker has crashed since the call was sent.
      if (!lost) {
        AnswerAfterTimeout<Result>(n, life, answer);
      }
      return;
    }
    const Result result = call();
    if (!lost) {
      After(Delay(), [this, n, life, answer, result] {
        if (AgentLives(n, life)) {
          answer(result);
        }
      });
    }
  });
  if (lost) {
    AnswerAfterTimeout<Result>(n, life, answer);
  }
}

template <class Result, class Answer>
void JobSimulation::Impl::AnswerAfterTimeout(std::size_t n,
                                             std::uint64_t life,
                                             Answer answer) {
  After(kCallTimeout, [this, n, life, answer] {
    Result result;
    result.status = executor::OrderStatus::kNoAnswer;
    if (AgentLives(n, life)) {
      answer(result);
    }
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
    if (agents[n].running) {
      StepAgent(n);
    }
  }
}

void JobSimulation::Impl::Read(std::size_t n) {
  EntrySim& entry = entries[n];
  entry.next_read = now + kReadInterval;
  const std::string caller = "entry-" + std::to_string(n);
  const joblog::FollowCall call = entry.follower->Next();
  if (call.kind == joblog::FollowCall::Kind::kNewest) {
    entry.follower->OnNewest(store.Newest(caller, call.after_key), now);
  } else {
    entry.follower->OnRead(store.Read(caller, call.from), now);
  }
  entry.role->OnPage(*entry.follower, BothClocks());
}

void JobSimulation::Impl::StartAppend(std::size_t n) {
  EntrySim& entry = entries[n];
  const auto append = entry.role->NextAppend(random(), BothClocks());
  if (!append) {
    return;
  }
  const std::string caller = "entry-" + std::to_string(n);
  CallStore(
      caller,
      [this, caller, append = *append] {
        return store.Append(caller, append.records, append.options);
      },
      [this, n, life = entry.life](const joblog::AppendResult& result) {
        if (EntryLives(n, life)) {
          entries[n].role->OnAppended(result, BothClocks());
        }
      });
}

void JobSimulation::Impl::StepEntry(std::size_t n) {
  EntrySim& entry = entries[n];
  if (now >= entry.next_read) {
    Read(n);
  }
  StartAppend(n);
  Trace("entry-" + std::to_string(n), entry.role->TakeLog());
  if (entry.role->Active() == nullptr) {
    return;
  }
  for (const auto& it : entry.role->Active()->Agents()) {
    if (!entry.syncing.contains(it.agent) &&
        (now >= entry.next_sync[it.agent] ||
         entry.role->Active()->HasNews(it.agent, BothClocks()))) {
      Sync(n, it.agent);
    }
  }
}

void JobSimulation::Impl::Sync(std::size_t n, const AgentName& name) {
  EntrySim& entry = entries[n];
  entry.next_sync[name] = now + kSyncInterval;
  entry.syncing.insert(name);
  const protocol::SyncRequest request =
      entry.role->Active()->MakeSync(name, Millis{0}, BothClocks());
  const std::uint64_t life = entry.life;
  const std::uint64_t epoch = entry.role->Epoch();
  After(Delay(), [this, n, name, request, life, epoch] {
    const auto release = [this, n, name, life] {
      if (EntryLives(n, life)) {
        entries[n].syncing.erase(name);
      }
    };
    const auto called = FindAgent(name);
    if (!called || !agents[*called].running || agents[*called].cut) {
      After(kCallTimeout, release);
      DeliverLate(name, request);
      return;
    }
    executor::Executor& agent = *agents[*called].executor;
    const TimePoint local = AgentClock(*called);
    const bool accepted = agent.OnSync(request, local);
    const protocol::SyncReply reply = agent.MakeReply(accepted, local);
    After(Delay(), [this, n, name, reply, life, epoch, release] {
      release();
      if (!EntryLives(n, life) || entries[n].role->Epoch() != epoch) {
        return;
      }
      if (reply.accepted) {
        entries[n].role->Active()->OnReply(name, reply, BothClocks());
      } else {
        entries[n].role->OnDeposed(epoch, BothClocks());
      }
    });
  });
}

// A request that a partition has delayed may arrive after its end, long after
// the caller has timed out.
void JobSimulation::Impl::DeliverLate(const AgentName& name,
                                      const protocol::SyncRequest& request) {
  const Millis held(std::uniform_int_distribution<std::int64_t>(
      0, kMaxDeliveryDelay.count())(random));
  After(held, [this, name, request] {
    const auto called = FindAgent(name);
    if (called && agents[*called].running && !agents[*called].cut) {
      agents[*called].executor->OnSync(request, AgentClock(*called));
    }
  });
}

void JobSimulation::Impl::Register(std::size_t n) {
  AgentSim& agent = agents[n];
  agent.registered = true;
  workload::AgentAddress address;
  address.agent = AgentName(agent.machine);
  // The simulation finds agents by their names.
  address.address = "127.0.0.1:1";
  address.incarnation = Incarnation{agent.life};
  const auto result =
      store.Append(agent.machine, {workload::Encode(address)}, {});
  agent.registered = result.status == joblog::AppendStatus::kDone;
}

void JobSimulation::Impl::StepAgent(std::size_t n) {
  AgentSim& agent = agents[n];
  if (!agent.registered) {
    Register(n);
  }
  if (now >= agent.next_heartbeat && !agent.worker_partitioned &&
      !fleet.IsDown(agent.machine)) {
    agent.next_heartbeat = now + kHeartbeat;
    workload::WorkerFacts facts = fleet.Facts(agent.machine);
    facts.draining = agent.draining;
    agent.executor->OnHeartbeat(facts, fleet.NextSequence(agent.machine),
                                AgentClock(n));
  }
  for (const executor::Action& it :
       agent.executor->TakeActions(AgentClock(n))) {
    SendAction(n, it);
  }
  if (const auto quick = agent.executor->QuickCall(AgentClock(n))) {
    Look(n, *quick);
  } else if (now >= agent.next_poll) {
    agent.next_poll = now + kPollInterval;
    Look(n, agent.executor->WatchCall(AgentClock(n)));
  }
  Trace(agent.machine, agent.executor->TakeLog());
}

void JobSimulation::Impl::Look(std::size_t n,
                               const executor::WorkerQuery& look) {
  const std::string machine = agents[n].machine;
  CallWorker<executor::WorkerView>(
      n,
      [this, machine, look] {
        return fleet.Look(machine, look.context, look.noted_ends, now);
      },
      [this, n, look](const executor::WorkerView& view) {
        agents[n].executor->OnView(look.number, view, AgentClock(n));
      });
}

void JobSimulation::Impl::SendAction(std::size_t n,
                                     const executor::Action& action) {
  AgentSim& agent = agents[n];
  const std::string machine = agent.machine;
  const executor::OrderContext context = agent.executor->Context();
  if (const auto* start = std::get_if<executor::StartAction>(&action)) {
    CallWorker<executor::OrderResult>(
        n,
        [this, machine, context, order = start->order] {
          return fleet.Start(machine, context, order, now);
        },
        [this, n, run = start->order.run](const executor::OrderResult& it) {
          agents[n].executor->OnStartResult(run, it, AgentClock(n));
        });
  } else if (const auto* stop = std::get_if<executor::StopAction>(&action)) {
    CallWorker<executor::OrderResult>(
        n,
        [this, machine, context, run = stop->run] {
          return fleet.Stop(machine, context, run, now);
        },
        [this, n, run = stop->run](const executor::OrderResult& it) {
          agents[n].executor->OnStopResult(run, it, AgentClock(n));
        });
  }
}

void JobSimulation::Impl::TrySubmit(const JobId& id, int attempts) {
  const auto record = workload::Encode(workload::JobAccepted{jobs.at(id)});
  CallStore(
      "caller", [this, record] { return store.Append("caller", {record}, {}); },
      [this, id, attempts](const joblog::AppendResult& result) {
        if (result.status == joblog::AppendStatus::kDone) {
          oracle.OnAccepted(jobs.at(id));
        } else if (attempts > 1) {
          After(kSubmitRetry,
                [this, id, attempts] { TrySubmit(id, attempts - 1); });
        }
      });
}

void JobSimulation::Impl::TryCancel(const JobId& id, int attempts) {
  const auto record = workload::Encode(workload::JobCancelled{id});
  CallStore(
      "caller", [this, record] { return store.Append("caller", {record}, {}); },
      [this, id, attempts](const joblog::AppendResult& result) {
        if (result.status == joblog::AppendStatus::kDone) {
          oracle.OnCancelled(id, now);
        } else if (attempts > 1) {
          After(kSubmitRetry,
                [this, id, attempts] { TryCancel(id, attempts - 1); });
        }
      });
}

JobSimulation::JobSimulation(const JobSimulationOptions& options)
    : impl_(std::make_unique<Impl>(options)) {
  Impl& it = *impl_;
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
    AgentSim& agent = it.agents[static_cast<std::size_t>(n)];
    agent.machine = "machine-" + std::to_string(n);
    agent.clock_offset = kFirstClockOffset + n * kClockOffsetPerAgent;
    it.fleet.Add("machine-" + std::to_string(n),
                 {"rack-" + std::to_string(n / 2), options.worker}, it.now);
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
  impl_->TrySubmit(job.id, kSubmitAttempts);
}

void JobSimulation::Cancel(const JobId& job) {
  impl_->TryCancel(job, kSubmitAttempts);
}

void JobSimulation::KillEntry(int entry) {
  impl_->entries[static_cast<std::size_t>(entry)].running = false;
}

void JobSimulation::StartEntry(int entry) {
  Impl* world = impl_.get();
  const auto n = static_cast<std::size_t>(entry);
  EntrySim& it = world->entries[n];
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
  it.role.emplace(options, it.ledger, world->policy);
  it.follower.emplace([world, n](const joblog::StoredRecord& stored) {
    EntrySim& self = world->entries[n];
    Apply(self.ledger, stored.record.key, stored.record.value, stored.offset);
    self.role->OnRecord(stored, world->BothClocks());
  });
}

void JobSimulation::FreezeEntry(int entry, bool frozen) {
  impl_->entries[static_cast<std::size_t>(entry)].frozen = frozen;
}

void JobSimulation::RetireEntry(int entry) {
  EntrySim& it = impl_->entries[static_cast<std::size_t>(entry)];
  if (it.running) {
    it.role->Retire();
  }
}

void JobSimulation::KillAgent(int agent) {
  impl_->agents[static_cast<std::size_t>(agent)].running = false;
}

void JobSimulation::StartAgent(int agent) {
  AgentSim& it = impl_->agents[static_cast<std::size_t>(agent)];
  if (it.running) {
    return;
  }
  it.running = true;
  ++it.life;
  it.registered = false;
  it.executor.emplace(
      executor::ExecutorOptions{AgentName(it.machine), Incarnation{it.life}});
}

void JobSimulation::RebootAgent(int agent, Millis clock_step) {
  KillAgent(agent);
  impl_->agents[static_cast<std::size_t>(agent)].clock_offset += clock_step;
  StartAgent(agent);
}

void JobSimulation::PartitionAgent(int agent, bool cut) {
  impl_->agents[static_cast<std::size_t>(agent)].cut = cut;
}

void JobSimulation::PartitionWorker(int agent, bool cut) {
  impl_->agents[static_cast<std::size_t>(agent)].worker_partitioned = cut;
}

void JobSimulation::RestartWorker(int agent) {
  AgentSim& it = impl_->agents[static_cast<std::size_t>(agent)];
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
    const EntrySim& it = impl_->entries[n];
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
  const EntrySim* newest = nullptr;
  for (const EntrySim& it : impl_->entries) {
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
