#ifndef SHALLOTLUG_JOBHARNESS_SRC_JOB_SIMULATION_IMPL_H_
#define SHALLOTLUG_JOBHARNESS_SRC_JOB_SIMULATION_IMPL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "shallotlug/executor/executor.h"
#include "shallotlug/jobharness/job_simulation.h"
#include "shallotlug/joblog/follower.h"
#include "shallotlug/scheduler/role.h"

namespace shallotlug::jobharness {

namespace detail {

/// @brief How long the caller of a store, an agent or a worker waits.
constexpr Millis kCallTimeout{700};

/// @brief An entry process of the simulation.
struct SimulatedEntry {
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

/// @brief An agent process of the simulation, with its machine's clock.
struct SimulatedAgent {
  std::string machine;
  bool running = false;
  std::uint64_t life = 0;
  bool partitioned = false;
  bool worker_partitioned = false;
  bool draining = false;
  bool frozen = false;
  std::vector<std::function<void()>> queued;  ///< While it was frozen.
  Millis clock_offset{0};  ///< Of its machine's clock to the simulated one.
  double clock_rate = 1;   ///< The same.
  std::optional<executor::Executor> executor;
  TimePoint next_heartbeat{};
  TimePoint next_poll{};
  bool registered = false;
};

}  // namespace detail

/// @brief The processes, the messages under way, and the simulated clock.
struct JobSimulation::Impl {
  explicit Impl(const JobSimulationOptions& given)
      : options(given), random(given.seed), fleet(oracle) {}

  JobSimulationOptions options;
  std::mt19937_64 random;
  TimePoint now{Millis(1'000)};
  std::multimap<TimePoint, std::function<void()>> events;
  JobOracle oracle;
  FakeStore store;
  FakeFleet fleet;
  workload::Policy policy;
  std::vector<detail::SimulatedEntry> entries;
  std::vector<detail::SimulatedAgent> agents;
  std::map<JobId, workload::Job> jobs;

  void Trace(const std::string& process, const std::vector<LogLine>& lines);
  scheduler::Now BothClocks() const {
    return {now, workload::WallTime(now.time_since_epoch())};
  }
  /// @brief The time by the clock of the agent's machine.
  TimePoint AgentClock(std::size_t n) const;
  bool Chance(double share) {
    return std::uniform_real_distribution<>(0, 1)(random) < share;
  }
  double ClockRate(double slowest, double fastest) {
    return std::uniform_real_distribution<>(slowest, fastest)(random);
  }
  Millis Delay();
  Millis AnswerDelay();
  void After(Millis delay, std::function<void()> call) {
    events.emplace(now + delay, std::move(call));
  }
  /// @brief Calls when the agent is not frozen, if it still lives by then.
  void Deliver(std::size_t n, std::uint64_t life, std::function<void()> call);
  template <class Result, class Answer>
  void DeliverAnswer(std::size_t n,
                     std::uint64_t life,
                     Answer answer,
                     const Result& result);

  void Tick();
  void StepEntry(std::size_t n);
  void Read(std::size_t n);
  void StartAppend(std::size_t n);
  void Sync(std::size_t n, const AgentName& name);
  void DeliverLate(const AgentName& name, const protocol::SyncRequest& request);
  void StepAgent(std::size_t n);
  void Register(std::size_t n);
  void SendAction(std::size_t n, const executor::Action& action);
  void QueryWorker(std::size_t n, const executor::WorkerQuery& query);
  /// @brief Appends a caller's record, and tries again without an answer.
  void AppendUntilDone(const workload::RawRecord& record,
                       int attempts,
                       std::function<void()> done);
  std::optional<std::size_t> FindAgent(const AgentName& name) const;
  void CallStore(std::function<joblog::AppendResult()> call,
                 std::function<void(const joblog::AppendResult&)> answer);
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

}  // namespace shallotlug::jobharness

#endif  // SHALLOTLUG_JOBHARNESS_SRC_JOB_SIMULATION_IMPL_H_
