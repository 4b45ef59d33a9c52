#include "speeds.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace shallotlug::scheduler {

namespace {

constexpr double Weight(double deviation) {
  return 1.0 / (deviation * deviation);
}

// Standard deviations, as logarithms. Tasks of a step differ by 15 to 30 %.
constexpr double kTaskDeviation = 0.2;
constexpr double kEstimateDeviation = 0.7;
constexpr double kWorkerDeviation = 0.5;
// Error of a progress in whole percent, and of the times of its reads.
constexpr double kPercentError = 0.5;
constexpr double kReadErrorMs = 30.0;
// With each step that ends, what earlier ones told counts less, so that some
// five steps decide and a change is learnt.
constexpr double kFormerShare = 0.8;
// Logarithm by which a worker that stands still counts as slower.
constexpr double kMaxSlowdown = 2.5;
// A step with new rates is solved again at this interval: a solution looks at
// all of its runs.
constexpr Millis kSolveInterval{250};
// Logarithmic width of a speed class.
constexpr double kClassWidth = 0.15;
constexpr int kMaxClass = 20;

/// @brief The belief in a worker's factor, with the prior.
Belief FactorOf(double weighted_sum, double weight) {
  const double total = weight + Weight(kWorkerDeviation);
  return {weighted_sum / total, total};
}

void Add(WorkerSpeed& worker, const Belief& it) {
  worker.weighted_sum += it.mean * it.weight;
  worker.weight += it.weight;
}

void Subtract(WorkerSpeed& worker, const Belief& it) {
  worker.weighted_sum -= it.mean * it.weight;
  worker.weight -= it.weight;
}

Belief Sum(const Belief& a, const Belief& b) {
  const double weight = a.weight + b.weight;
  if (weight <= 0) {
    return {};
  }
  return {(a.mean * a.weight + b.mean * b.weight) / weight, weight};
}

/// @brief Mean rate of a step's runs on one worker, and what is known of the
/// worker from elsewhere.
struct Member {
  WorkerSpeed* worker = nullptr;
  Belief rate;
  Belief factor;  ///< With the prior.

  /// @brief The rate on a worker of factor 1 that the member tells.
  double UsualRate() const { return rate.mean + factor.mean; }
  double UsualWeight() const {
    return 1.0 / (1.0 / rate.weight + 1.0 / factor.weight);
  }
};

std::map<AgentName, Member> MembersOf(SpeedTable& table,
                                      const StepKey& key,
                                      const StepRates& rates) {
  std::map<AgentName, Member> members;
  for (const auto& [run, it] : rates.runs) {
    Member& member = members[it.agent];
    member.rate = Sum(member.rate, {it.log_rate, it.weight});
  }
  for (auto& [agent, member] : members) {
    WorkerSpeed& worker = table.workers.at(agent);
    const auto found = worker.steps.find(key);
    const Belief own = found != worker.steps.end() ? found->second : Belief{};
    member.worker = &worker;
    member.factor = FactorOf(worker.weighted_sum - own.mean * own.weight,
                             worker.weight - own.weight);
  }
  return members;
}

void SetBelief(WorkerSpeed& worker, const StepKey& key, const Belief& it) {
  Belief& belief = worker.steps[key];
  Subtract(worker, belief);
  belief = it;
  Add(worker, belief);
}

/// @brief Derives what the step tells of each of its workers: the rate of the
/// step on a worker of factor 1 follows from its estimate and from the other
/// members, and the worker's factor from its own rate against that.
void Solve(SpeedTable& table, const StepKey& key, const StepRates& rates) {
  const std::map<AgentName, Member> members = MembersOf(table, key, rates);
  double sum = 0;
  double weight = Weight(kEstimateDeviation);
  for (const auto& [agent, it] : members) {
    sum += it.UsualRate() * it.UsualWeight();
    weight += it.UsualWeight();
  }
  for (const auto& [agent, it] : members) {
    const double others_weight = weight - it.UsualWeight();
    const double others =
        (sum - it.UsualRate() * it.UsualWeight()) / others_weight;
    SetBelief(*it.worker, key,
              {others - it.rate.mean,
               1.0 / (1.0 / it.rate.weight + 1.0 / others_weight)});
  }
}

void ForgetLife(SpeedTable& table,
                const AgentName& agent,
                WorkerSpeed& worker) {
  for (const auto& [key, belief] : worker.steps) {
    const auto step = table.steps.find(key);
    if (step != table.steps.end()) {
      std::erase_if(step->second.runs,
                    [&](const auto& it) { return it.second.agent == agent; });
    }
  }
  worker = {};
}

}  // namespace

void NoteLife(SpeedTable& table,
              const AgentName& agent,
              const workload::WorkerLife& life,
              const protocol::SpeedNote& note) {
  // A new process of the agent has not heard of its worker yet.
  if (life == workload::WorkerLife{}) {
    return;
  }
  WorkerSpeed& worker = table.workers[agent];
  if (worker.life != life) {
    ForgetLife(table, agent, worker);
    worker.life = life;
  }
  if (worker.weight <= 0 && note.weight > 0) {
    worker.former = {note.log_factor, note.weight};
    Add(worker, worker.former);
  }
}

void NoteProgress(SpeedTable& table,
                  const workload::RunRef& run,
                  const AgentName& agent,
                  Millis estimate,
                  const MeasuredProgress& progress) {
  const auto ms = static_cast<double>(progress.over.count());
  if (progress.percent <= 0 || ms <= 0 || estimate <= Millis{0}) {
    return;
  }
  const double read_error =
      kPercentError / progress.percent + kReadErrorMs / ms;
  RunRate rate;
  rate.agent = agent;
  rate.log_rate = std::log(progress.percent / 100.0 *
                           static_cast<double>(estimate.count()) / ms);
  rate.weight =
      1.0 / (kTaskDeviation * kTaskDeviation + read_error * read_error);
  const StepKey key = StepKeyOf(run.task);
  table.workers[agent].steps.try_emplace(key);
  table.steps[key].runs[{run.task.index, run.run}] = rate;
  table.changed.insert(key);
}

void NoteSlowdown(SpeedTable& table,
                  const AgentName& agent,
                  double slowdown,
                  TimePoint until) {
  WorkerSpeed& worker = table.workers[agent];
  worker.slow_until = until;
  worker.slowdown = std::clamp(slowdown, 0.0, kMaxSlowdown);
}

void EndSlowdown(SpeedTable& table, const AgentName& agent) {
  table.workers[agent].slow_until = {};
}

void DropOccurrence(SpeedTable& table, const JobId& job, int occurrence) {
  const auto first = table.steps.lower_bound({job, occurrence, 0});
  const auto last = table.steps.lower_bound({job, occurrence + 1, 0});
  for (auto it = first; it != last; ++it) {
    if (table.changed.erase(it->first) > 0) {
      Solve(table, it->first, it->second);
    }
    for (const auto& [run, rate] : it->second.runs) {
      WorkerSpeed& worker = table.workers.at(rate.agent);
      const auto told = worker.steps.find(it->first);
      if (told == worker.steps.end()) {
        continue;
      }
      Subtract(worker, told->second);
      Subtract(worker, worker.former);
      worker.former.weight *= kFormerShare;
      worker.former = Sum(worker.former, told->second);
      Add(worker, worker.former);
      worker.steps.erase(told);
    }
  }
  table.steps.erase(first, last);
}

void DropWorker(SpeedTable& table, const AgentName& agent) {
  const auto it = table.workers.find(agent);
  if (it != table.workers.end()) {
    ForgetLife(table, agent, it->second);
    table.workers.erase(it);
  }
}

bool UpdateSpeeds(SpeedTable& table, TimePoint now) {
  return std::erase_if(table.changed, [&](const StepKey& key) {
           const auto step = table.steps.find(key);
           if (step == table.steps.end()) {
             return true;
           }
           if (now - step->second.solved_at < kSolveInterval) {
             return false;
           }
           step->second.solved_at = now;
           Solve(table, key, step->second);
           return true;
         }) > 0;
}

Belief NoteOf(const SpeedTable& table, const AgentName& agent) {
  const auto it = table.workers.find(agent);
  return it == table.workers.end() ? Belief{} : it->second.former;
}

double LogFactor(const WorkerSpeed& worker, TimePoint now) {
  const double slowdown = now < worker.slow_until ? worker.slowdown : 0;
  return FactorOf(worker.weighted_sum, worker.weight).mean + slowdown;
}

double LogFactor(const SpeedTable& table,
                 const AgentName& agent,
                 TimePoint now) {
  const auto it = table.workers.find(agent);
  return it == table.workers.end() ? 0 : LogFactor(it->second, now);
}

int SpeedClass(double log_factor) {
  return std::clamp(static_cast<int>(log_factor / kClassWidth), -kMaxClass,
                    kMaxClass);
}

std::string FactorText(double factor) {
  std::array<char, 32> buf{};
  const int n = std::snprintf(buf.data(), buf.size(), "%.2f", factor);
  return {buf.data(), static_cast<std::size_t>(n)};
}

}  // namespace shallotlug::scheduler
