#ifndef SHALLOTLUG_SCHEDULER_SRC_TEST_SCHEDULER_H_
#define SHALLOTLUG_SCHEDULER_SRC_TEST_SCHEDULER_H_

#include <map>
#include <string>
#include <vector>

#include "shallotlug/scheduler/scheduler.h"

/// A scheduler with agents that carry out every order at once, for tests of
/// what it decides.
namespace shallotlug::scheduler {

class TestScheduler {
 public:
  TestScheduler();

  void AddWorker(const std::string& agent,
                 const std::string& rack,
                 const workload::Resources& capacity);
  void AddQueue(const std::string& name, int priority);
  void AddCustomer(const std::string& name, std::int64_t guaranteed);

  /// @brief A job of one step.
  workload::Job Job(const std::string& id,
                    const std::string& queue,
                    const std::string& customer,
                    int tasks,
                    std::int64_t accelerators);
  void Submit(const workload::Job& job);

  /// @brief Plans, commits and carries out, `rounds` times with 50 ms each.
  void Run(int rounds = 1);

  /// @brief The worker says that it leaves; its tasks are at `percent`.
  void Drain(const std::string& agent, Millis remaining, int percent);

  /// @brief The worker's tasks are at `percent`.
  void Advance(const std::string& agent, int percent) {
    agents_.at(agent).percent = percent;
  }

  /// @brief Records that the last plans have appended, by key.
  const std::map<std::string, std::string>& Log() const { return log_; }

  /// @brief Ends a run, as its worker would list it.
  void End(const workload::TaskRef& task, workload::EndReason reason);

  /// @brief Runs of a job that are on workers now, by agent.
  std::map<std::string, int> Running(const std::string& job) const;

  Scheduler& Get() { return scheduler_; }
  workload::Policy& Policy() { return policy_; }
  Now& Clock() { return now_; }

 private:
  struct Agent {
    workload::WorkerFacts facts;
    std::map<workload::RunRef, bool> runs;  ///< Whether it is to be stopped.
    std::vector<workload::RunEnd> ends;
    std::uint64_t next_end = 1;
    std::uint64_t version = 1;
    int percent = 0;
  };

  void Call(const std::string& name, Agent& agent);
  static protocol::SyncReply ReplyOf(const std::string& name,
                                     const Agent& agent);

  Now now_{TimePoint(Millis(100'000)), workload::WallTime(Millis(100'000))};
  workload::Policy policy_;
  Scheduler scheduler_;
  std::map<std::string, Agent> agents_;
  std::map<std::string, std::string> log_;
};

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_TEST_SCHEDULER_H_
