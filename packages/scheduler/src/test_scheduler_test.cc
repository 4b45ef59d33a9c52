#include "test_scheduler.h"

#include <algorithm>
#include <utility>

namespace shallotlug::scheduler {

namespace {

constexpr Millis kRound{50};

protocol::WorkerState StateOf(bool left, bool silent) {
  if (left) {
    return protocol::WorkerState::kGone;
  }
  return silent ? protocol::WorkerState::kSilent
                : protocol::WorkerState::kPresent;
}

SchedulerOptions Options(const TestScheduler::Switches& switches) {
  SchedulerOptions options;
  options.entry = EntryName("entry");
  options.epoch = 1;
  options.learn_speeds = switches.learn_speeds;
  options.weigh_lateness = switches.weigh_lateness;
  options.store = switches.store;
  return options;
}

}  // namespace

TestScheduler::TestScheduler(const Switches& switches)
    : switches_(switches),
      scheduler_(Options(switches), workload::Ledger{}, now_) {
  policy_.version = 1;
}

void TestScheduler::AddWorker(const std::string& agent,
                              const std::string& rack,
                              const workload::Resources& capacity) {
  Agent& it = agents_[agent];
  it.facts.life = {"w-" + agent, 1};
  it.facts.service = "pool";
  it.facts.rack = rack;
  it.facts.data_centre = "dc-" + rack;
  it.facts.labels = {"a", rack};
  it.facts.capacity = capacity;
  scheduler_.AddAgent({AgentName(agent), agent, Incarnation{1}}, now_);
}

void TestScheduler::AddQueue(const std::string& name, int priority) {
  workload::Queue queue;
  queue.name = name;
  queue.terms.pool = "pool";
  queue.terms.priority = priority;
  queue.terms.max_attempts = 3;
  queue.terms.slack_factor = 2;
  policy_.queues.push_back(queue);
  ++policy_.version;
}

void TestScheduler::AddCustomer(const std::string& name,
                                std::int64_t guaranteed) {
  policy_.customers.push_back({CustomerName(name), {}, guaranteed});
  ++policy_.version;
}

workload::Job TestScheduler::Job(const std::string& id,
                                 const std::string& queue,
                                 const std::string& customer,
                                 int tasks,
                                 std::int64_t accelerators) {
  workload::Job job;
  job.id = JobId(id);
  job.queue = queue;
  job.terms = FindQueue(policy_, queue)->terms;
  job.customer = CustomerName(customer);
  job.accepted_at = now_.wall;
  workload::Step step;
  step.count = tasks;
  step.need = {1'000, 1'000, accelerators};
  step.estimate = Millis(2'000);
  job.steps.push_back(step);
  return job;
}

void TestScheduler::Submit(const workload::Job& job) {
  workload::JobEntry entry;
  entry.job = job;
  scheduler_.AddJob(entry, now_);
  submitted_[job.id] = entry;
}

void TestScheduler::Replace() {
  workload::Ledger ledger;
  ledger.jobs = submitted_;
  std::uint64_t offset = 0;
  for (const auto& [key, value] : log_) {
    Apply(ledger, key, value, offset++);
  }
  for (const auto& [name, agent] : agents_) {
    ledger.agents[AgentName(name)] = {AgentName(name), name, Incarnation{1}};
  }
  SchedulerOptions options = Options(switches_);
  ++options.epoch;
  scheduler_ = Scheduler(options, ledger, now_);
}

protocol::SyncReply TestScheduler::ReplyOf(const std::string& name,
                                           const Agent& agent) const {
  protocol::SyncReply reply;
  reply.clock = AsPeerTime(now_.local);
  reply.read_at = reply.clock;
  reply.speed = agent.speed;
  reply.agent = AgentName(name);
  reply.incarnation = agent.incarnation;
  reply.accepted = true;
  reply.version = agent.version;
  if (agent.lost) {
    return reply;
  }
  reply.worker_state = StateOf(agent.left, agent.silent);
  reply.worker = agent.facts;
  for (const auto& [run, stopping] : agent.runs) {
    protocol::RunReport report;
    report.active.run = run;
    report.active.percent = agent.percent;
    report.active.checkpoint = agent.checkpoint;
    report.phase = protocol::RunPhase::kRunning;
    report.started_at = AsPeerTime(agent.started.at(run));
    const auto worked = agent.worked.find(run);
    if (worked != agent.worked.end()) {
      report.active.percent = static_cast<int>(std::min<std::int64_t>(
          100, 100 * worked->second / work_.at(run.task.job)));
    }
    reply.runs.push_back(report);
  }
  reply.ends = agent.ends;
  reply.crashes = agent.crashes;
  return reply;
}

void TestScheduler::Call(const std::string& name, Agent& agent) {
  // What was to be stopped has ended by now.
  std::erase_if(agent.runs, [&](const auto& it) {
    const bool stopped = it.second && !agent.holds_stops;
    if (stopped) {
      agent.ends.push_back(
          {agent.next_end++, it.first, workload::EndReason::kStopped, "saved"});
    }
    return stopped;
  });
  const protocol::SyncRequest request =
      scheduler_.MakeSync(AgentName(name), Millis{0}, now_);
  if (protocol::Encode(request).size() > protocol::kMaxSyncRequestBytes) {
    return;  // It is refused.
  }
  for (const workload::RunRef& it : request.settled) {
    std::erase_if(agent.crashes,
                  [&](const auto& crash) { return crash.run == it; });
  }
  if (request.speed.weight > 0) {
    agent.speed = request.speed;
  }
  bool crashes = false;
  for (const protocol::StartOrder& it : request.starts) {
    if (agent.runs.try_emplace(it.run, false).second) {
      agent.started[it.run] = now_.local;
      starts_[it.run.task].push_back(name);
      crashes = crashes || deadly_.contains(it.run.task);
    }
  }
  if (crashes) {
    Crash(name, true);
  }
  for (const workload::RunRef& it : request.stops) {
    const auto run = agent.runs.find(it);
    if (run != agent.runs.end()) {
      run->second = true;
    }
  }
  std::erase_if(agent.ends, [&](const workload::RunEnd& it) {
    return !acknowledgements_lost_ && it.number <= request.noted_ends;
  });
  ++agent.version;
  scheduler_.OnReply(AgentName(name), request.lease_from.incarnation,
                     ReplyOf(name, agent), now_);
}

void TestScheduler::RestartAgent(const std::string& name) {
  Agent& agent = agents_.at(name);
  agent.incarnation =
      Incarnation{static_cast<std::uint64_t>(agent.incarnation) + 1};
  agent.version = 1;
}

void TestScheduler::Crash(const std::string& name, bool early) {
  Agent& agent = agents_.at(name);
  std::set<JobId> jobs;
  for (const auto& [run, stopping] : agent.runs) {
    jobs.insert(run.task.job);
  }
  for (const auto& [run, stopping] : agent.runs) {
    if (!crash_reports_lost_) {
      agent.crashes.push_back({run, early, jobs.size() == 1});
    }
    if (!deadly_.contains(run.task)) {
      ++lost_to_others_;
    }
  }
  agent.runs.clear();
  agent.ends.clear();
  agent.next_end = 1;
  ++agent.facts.life.born;
  agent.speed = {};
  ++agent.version;
}

void TestScheduler::CallAgents() {
  for (auto& [name, agent] : agents_) {
    Call(name, agent);
  }
}

void TestScheduler::Run(int rounds) {
  for (int n = 0; n < rounds; ++n) {
    now_.local += kRound;
    now_.wall += kRound;
    Work(kRound);
    CallAgents();
    const auto plan = scheduler_.Plan(policy_, now_);
    largest_plan_ = std::max(largest_plan_, joblog::AppendedBytes(plan));
    for (const workload::RawRecord& it : plan) {
      log_[it.key] = it.value;
      ++records_;
    }
    scheduler_.Commit();
    scheduler_.ConfirmAuthority(now_);
    CallAgents();
  }
}

void TestScheduler::Work(Millis time) {
  // Tasks of a gang work together, once all of them are present.
  std::map<JobId, std::size_t> present;
  for (const auto& [name, agent] : agents_) {
    for (const auto& [run, stopping] : agent.runs) {
      ++present[run.task.job];
    }
  }
  std::map<JobId, std::vector<workload::TaskRef>> done;
  for (auto& [name, agent] : agents_) {
    for (const auto& [run, stopping] : agent.runs) {
      const JobId& job = run.task.job;
      const auto work = work_.find(job);
      const workload::Step& step = submitted_.at(job).job->steps[0];
      if (work == work_.end() ||
          (step.gang && present[job] < static_cast<std::size_t>(step.count))) {
        continue;
      }
      Millis& worked = agent.worked[run];
      worked += Millis(static_cast<std::int64_t>(
          static_cast<double>(time.count()) / agent.factor));
      if (worked >= work->second) {
        done[job].push_back(run.task);
      }
    }
  }
  for (const auto& [job, tasks] : done) {
    const workload::Step& step = submitted_.at(job).job->steps[0];
    if (step.gang && tasks.size() < static_cast<std::size_t>(step.count)) {
      continue;
    }
    for (const workload::TaskRef& it : tasks) {
      End(it, workload::EndReason::kDone);
    }
    if (tasks.size() == present[job]) {
      ended_[job] = now_.local;
    }
  }
}

std::optional<TimePoint> TestScheduler::EndOf(const std::string& job) const {
  const auto it = ended_.find(JobId(job));
  return it != ended_.end() ? std::optional(it->second) : std::nullopt;
}

void TestScheduler::Drain(const std::string& agent,
                          Millis remaining,
                          int percent) {
  Agent& it = agents_.at(agent);
  it.facts.draining = true;
  it.facts.remaining = remaining;
  it.percent = percent;
}

void TestScheduler::End(const workload::TaskRef& task,
                        workload::EndReason reason) {
  for (auto& entry : agents_) {
    Agent& agent = entry.second;
    std::erase_if(agent.runs, [&](const auto& it) {
      if (it.first.task == task) {
        agent.ends.push_back({agent.next_end++, it.first, reason, ""});
        return true;
      }
      return false;
    });
  }
}

void TestScheduler::EndAll(const std::string& agent,
                           workload::EndReason reason) {
  Agent& it = agents_.at(agent);
  for (const auto& [run, stopping] : std::exchange(it.runs, {})) {
    it.ends.push_back({it.next_end++, run, reason, ""});
  }
}

void TestScheduler::EndAllOf(const std::string& job,
                             workload::EndReason reason) {
  std::set<workload::TaskRef> tasks;
  for (const auto& [name, agent] : agents_) {
    for (const auto& [run, stopping] : agent.runs) {
      if (run.task.job.value == job) {
        tasks.insert(run.task);
      }
    }
  }
  for (const workload::TaskRef& it : tasks) {
    End(it, reason);
  }
}

std::map<std::string, int> TestScheduler::Running(
    const std::string& job) const {
  std::map<std::string, int> running;
  for (const auto& [name, agent] : agents_) {
    const auto n = std::count_if(
        agent.runs.begin(), agent.runs.end(),
        [&](const auto& it) { return it.first.task.job.value == job; });
    if (n > 0) {
      running[name] = static_cast<int>(n);
    }
  }
  return running;
}

}  // namespace shallotlug::scheduler
