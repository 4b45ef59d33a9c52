#include "job_scheduler.h"

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "processor_time.h"
#include "shallotlug/scheduler/scheduler.h"

namespace shallotlug::bench {
namespace {

using scheduler::Now;
using workload::RunRef;

constexpr Millis kTick{20};
constexpr Millis kDay{20'000};
// An agent reports at this interval, and when one of its runs has ended.
constexpr Millis kPollInterval{1'000};
constexpr workload::Resources kWorker{128'000, 262'144, 8};
constexpr int kWorkersPerRack = 8;
// Jobs a second for each worker: about 80 % of the accelerators are busy.
constexpr double kJobsPerWorkerSecond = 0.022;

/// @brief A class of jobs of one step.
struct JobShape {
  const char* queue;
  int mean_tasks;
  workload::Resources need;
  Millis estimate;
  bool gang;
};

// The urgent, batch and filling work of the users' large deployment.
constexpr JobShape kJobShapes[] = {
    {"urgent", 8, {15'000, 31'000, 4}, Millis(2'500), true},
    {"batch", 25, {52'000, 140'000, 4}, Millis(6'800), true},
    {"filling", 100, {11'000, 16'000, 1}, Millis(7'600), false}};
constexpr double kShapeShares[] = {0.67, 0.19, 0.14};

workload::Policy MakePolicy() {
  workload::Policy policy;
  policy.version = 1;
  for (int n = 0; n < 3; ++n) {
    workload::Queue queue;
    queue.name = kJobShapes[n].queue;
    queue.terms.pool = "pool";
    queue.terms.priority = n;
    queue.terms.max_attempts = 2;
    queue.terms.slack_factor = n == 0 ? 1.5 : 3;
    policy.queues.push_back(queue);
  }
  policy.customers.push_back({CustomerName("customer"), {}, 64});
  return policy;
}

/// @brief An agent that carries out its orders at once.
struct FakeAgent {
  AgentName name;
  workload::WorkerFacts facts;
  std::map<RunRef, TimePoint> runs;  ///< With the times of their ends.
  std::vector<workload::RunEnd> ends;
  std::uint64_t next_end = 1;
  std::uint64_t version = 1;
  TimePoint poll_at{};
  bool changed = true;
};

class Day {
 public:
  Day(int workers, std::uint64_t seed)
      : random_(seed),
        policy_(MakePolicy()),
        scheduler_(Options(), workload::Ledger{}, now_) {
    for (int n = 0; n < workers; ++n) {
      FakeAgent agent;
      agent.name = AgentName("agent-" + std::to_string(n));
      agent.facts.life = {"worker-" + std::to_string(n), 1};
      agent.facts.service = "pool";
      agent.facts.rack = "rack-" + std::to_string(n / kWorkersPerRack);
      agent.facts.capacity = kWorker;
      agent.poll_at = now_.local + kPollInterval * n / workers;
      scheduler_.AddAgent({agent.name, "address", Incarnation{1}}, now_);
      index_[agent.name] = agents_.size();
      agents_.push_back(std::move(agent));
    }
  }

  void Run() {
    const TimePoint end = now_.local + kDay;
    while (now_.local < end) {
      now_.local += kTick;
      now_.wall += kTick;
      SubmitJobs();
      EndRuns();
      Measure([&] { Report(); });
      Measure([&] { Plan(); });
    }
  }

  double MicrosPerTask() const { return micros_ / std::max(placed_, 1.0); }
  double BytesPerTask() const { return bytes_ / std::max(placed_, 1.0); }
  double LongestStepMillis() const { return longest_micros_ / 1e3; }
  double Placed() const { return placed_; }

 private:
  static scheduler::SchedulerOptions Options() {
    scheduler::SchedulerOptions options;
    options.entry = EntryName("entry");
    options.epoch = 1;
    return options;
  }

  template <class Function>
  void Measure(Function step) {
    const double before = ProcessorMicros();
    step();
    const double took = ProcessorMicros() - before;
    micros_ += took;
    longest_micros_ = std::max(longest_micros_, took);
  }

  double RandomFraction() {
    return std::uniform_real_distribution<>(0, 1)(random_);
  }

  void SubmitJobs() {
    const double per_tick = kJobsPerWorkerSecond *
                            static_cast<double>(agents_.size()) *
                            static_cast<double>(kTick.count()) / 1'000.0;
    int n = std::poisson_distribution<>(per_tick)(random_);
    for (; n > 0; --n) {
      std::discrete_distribution<std::size_t> shape(std::begin(kShapeShares),
                                                    std::end(kShapeShares));
      Submit(kJobShapes[shape(random_)]);
    }
  }

  void Submit(const JobShape& shape) {
    workload::JobEntry entry;
    workload::Job& job = entry.job.emplace();
    job.id = JobId("job-" + std::to_string(next_job_++));
    job.queue = shape.queue;
    job.customer = CustomerName("customer");
    job.accepted_at = now_.wall;
    workload::Step& step = job.steps.emplace_back();
    step.count = 1 + static_cast<int>(RandomFraction() * 2 * shape.mean_tasks);
    // No gang asks for more than a quarter of the workers.
    const int most = static_cast<int>(agents_.size()) / 4;
    step.count = shape.gang ? std::min(step.count, most) : step.count;
    step.need = shape.need;
    step.estimate = shape.estimate;
    step.gang = shape.gang;
    Measure([&] { scheduler_.AddJob(entry, now_); });
  }

  void EndRuns() {
    for (FakeAgent& agent : agents_) {
      std::erase_if(agent.runs, [&](const auto& it) {
        if (it.second > now_.local) {
          return false;
        }
        agent.ends.push_back(
            {agent.next_end++, it.first, workload::EndReason::kDone, ""});
        agent.changed = true;
        return true;
      });
    }
  }

  void Report() {
    for (FakeAgent& it : agents_) {
      if (it.changed || it.poll_at <= now_.local) {
        Call(it);
        it.poll_at = now_.local + kPollInterval;
      }
    }
  }

  void Plan() {
    for (const workload::RawRecord& it : scheduler_.Plan(policy_, now_)) {
      bytes_ += static_cast<double>(it.key.size() + it.value.size());
    }
    scheduler_.Commit();
    scheduler_.ConfirmAuthority(now_);
    for (const AgentName& it : scheduler_.TakeNews(now_)) {
      Call(agents_[index_.at(it)]);
    }
    scheduler_.TakeLog();
  }

  void Call(FakeAgent& agent) {
    const protocol::SyncRequest request =
        scheduler_.MakeSync(agent.name, Millis{0}, now_);
    for (const protocol::StartOrder& it : request.starts) {
      if (agent.runs.try_emplace(it.run, now_.local + RunTime()).second) {
        ++placed_;
      }
    }
    for (const RunRef& it : request.stops) {
      if (agent.runs.erase(it) > 0) {
        agent.ends.push_back(
            {agent.next_end++, it, workload::EndReason::kStopped, ""});
      }
    }
    std::erase_if(agent.ends, [&](const workload::RunEnd& it) {
      return it.number <= request.noted_ends;
    });
    ++agent.version;
    agent.changed = !request.stops.empty();
    scheduler_.OnReply(agent.name, request.lease_from.incarnation,
                       ReplyOf(agent), now_);
  }

  // Between half and one and a half of the mean of all shapes.
  Millis RunTime() {
    return Millis(3'000 + static_cast<int>(RandomFraction() * 6'000));
  }

  static protocol::SyncReply ReplyOf(const FakeAgent& agent) {
    protocol::SyncReply reply;
    reply.agent = agent.name;
    reply.incarnation = Incarnation{1};
    reply.accepted = true;
    reply.version = agent.version;
    reply.worker_state = protocol::WorkerState::kPresent;
    reply.worker = agent.facts;
    for (const auto& [run, end] : agent.runs) {
      protocol::RunReport report;
      report.active.run = run;
      report.phase = protocol::RunPhase::kRunning;
      reply.runs.push_back(report);
    }
    reply.ends = agent.ends;
    return reply;
  }

  Now now_{TimePoint(Millis(100'000)), workload::WallTime(Millis(100'000))};
  std::mt19937_64 random_;
  workload::Policy policy_;
  scheduler::Scheduler scheduler_;
  std::vector<FakeAgent> agents_;
  std::map<AgentName, std::size_t> index_;
  int next_job_ = 0;
  double placed_ = 0;
  double micros_ = 0;
  double bytes_ = 0;
  double longest_micros_ = 0;
};

}  // namespace

Measurements MeasureJobScheduler(std::uint64_t seed) {
  constexpr int kSizes[] = {11, 84, 240, 1'000};
  Measurements out;
  for (const int size : kSizes) {
    Day day(size, seed);
    day.Run();
    const std::string prefix = "jobs_" + std::to_string(size) + "_workers_";
    out.push_back({prefix + "placed", day.Placed(), "tasks", 0, seed});
    out.push_back(
        {prefix + "time_per_task", day.MicrosPerTask(), "us", 0, seed});
    out.push_back(
        {prefix + "longest_step", day.LongestStepMillis(), "ms", 0, seed});
    out.push_back(
        {prefix + "record_bytes_per_task", day.BytesPerTask(), "B", 0, seed});
  }
  return out;
}

}  // namespace shallotlug::bench
