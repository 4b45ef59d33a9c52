#ifndef SHALLOTLUG_SCHEDULER_SRC_TEST_SCHEDULER_H_
#define SHALLOTLUG_SCHEDULER_SRC_TEST_SCHEDULER_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "shallotlug/scheduler/scheduler.h"

/// Test fixture: a scheduler with simulated agents that execute orders at once.
namespace shallotlug::scheduler {

class TestScheduler {
 public:
  /// @brief Parts of the scheduler that settings switch on.
  struct Switches {
    bool learn_speeds = false;
    bool weigh_lateness = false;
    joblog::StoreLimits store{};
  };
  TestScheduler() : TestScheduler(Switches{}) {}
  explicit TestScheduler(const Switches& switches);

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

  /// @brief Runs `rounds` rounds of 50 ms: plan, commit and agent calls.
  void Run(int rounds = 1);

  /// @brief Calls all agents without a plan.
  void CallAgents();

  /// @brief Number of crashes that the agent still reports.
  std::size_t UnsettledCrashes(const std::string& agent) const {
    return agents_.at(agent).crashes.size();
  }

  /// @brief The worker's reports state this capacity from now on.
  void SetCapacity(const std::string& agent,
                   const workload::Resources& capacity) {
    agents_.at(agent).facts.capacity = capacity;
  }

  /// @brief Makes the worker drain, with its tasks at `percent`.
  void Drain(const std::string& agent, Millis remaining, int percent);

  /// @brief Replaces the scheduler by one that knows only what was recorded.
  void Replace();

  /// @brief From now on acknowledgements of ends do not reach the agents, which
  /// report these ends again.
  void LoseAcknowledgements() { acknowledgements_lost_ = true; }

  /// @brief The agent reports on, but its worker does not answer it any more.
  void Silence(const std::string& agent) { agents_.at(agent).silent = true; }

  /// @brief The worker is lost for good; only a new process of the agent
  /// reports that it knows no worker.
  void LoseWorker(const std::string& agent) { agents_.at(agent).lost = true; }

  /// @brief The worker leaves, and the agent keeps a run that it cannot stop
  /// there.
  void LeaveWithRuns(const std::string& agent) {
    agents_.at(agent).left = true;
  }

  /// @brief From now on the worker answers, but its runs do not stop while
  /// `holds` is set.
  void HoldStops(const std::string& agent, bool holds = true) {
    agents_.at(agent).holds_stops = holds;
  }

  /// @brief The worker ends without notice and starts again under its id.
  /// @param early Its runs had just been started.
  void Crash(const std::string& agent, bool early);

  /// @brief Another process of the agent takes over.
  void RestartAgent(const std::string& agent);

  /// @brief What the agent would report now.
  protocol::SyncReply Report(const std::string& agent) const {
    return ReplyOf(agent, agents_.at(agent));
  }

  /// @brief From now on each start of the task crashes its worker.
  void MakeDeadly(const workload::TaskRef& task) { deadly_.insert(task); }

  /// @brief From now on no agent knows of the crashes of its worker.
  void LoseCrashReports() { crash_reports_lost_ = true; }

  /// @brief Agents to which a start of the task was sent, in order.
  const std::vector<std::string>& Starts(const workload::TaskRef& task) {
    return starts_[task];
  }

  /// @brief Runs of other jobs that ended when a task crashed their worker.
  int LostToOthers() const { return lost_to_others_; }

  /// @brief Sets the progress of the worker's tasks.
  void Advance(const std::string& agent, int percent) {
    agents_.at(agent).percent = percent;
  }

  /// @brief From now on each task of the job ends after this work, which takes
  /// a worker of factor 1 as long.
  void SetWork(const std::string& job, Millis work) {
    work_[JobId(job)] = work;
  }
  /// @brief The worker takes this multiple of its tasks' work from now on.
  void SetFactor(const std::string& agent, double factor) {
    agents_.at(agent).factor = factor;
  }
  /// @brief When the job's last task ended; nothing while it has not.
  std::optional<TimePoint> EndOf(const std::string& job) const;

  /// @brief Sets the newest checkpoint of the worker's tasks.
  void SaveCheckpoint(const std::string& agent, const std::string& checkpoint) {
    agents_.at(agent).checkpoint = checkpoint;
  }

  /// @brief Ends that the agent has not been told to be recorded.
  std::size_t UnnotedEnds(const std::string& agent) const {
    return agents_.at(agent).ends.size();
  }

  /// @brief Bytes of the largest plan so far.
  std::size_t LargestPlan() const { return largest_plan_; }

  /// @brief Number of records that were planned.
  int Records() const { return records_; }

  /// @brief Latest planned record of each key.
  const std::map<std::string, std::string>& Log() const { return log_; }

  /// @brief Replaces the labels of a worker.
  void SetLabel(const std::string& agent, const std::string& label) {
    agents_.at(agent).facts.labels = {label, agents_.at(agent).facts.rack};
  }

  /// @brief Ends all runs of a worker; its agent reports the ends at once.
  void EndAll(const std::string& agent, workload::EndReason reason);
  /// @brief Ends all runs of a job.
  void EndAllOf(const std::string& job, workload::EndReason reason);

  /// @brief Ends the run of a task; its agent reports the end.
  void End(const workload::TaskRef& task, workload::EndReason reason);

  /// @brief Number of present runs of a job, by agent.
  std::map<std::string, int> Running(const std::string& job) const;

  Scheduler& Get() { return scheduler_; }
  workload::Policy& Policy() { return policy_; }
  Now& Clock() { return now_; }

 private:
  struct Agent {
    workload::WorkerFacts facts;
    std::map<workload::RunRef, bool> runs;  ///< Value: stop requested.
    std::map<workload::RunRef, TimePoint> started;
    std::map<workload::RunRef, Millis> worked;  ///< Of jobs with set work.
    double factor = 1;
    protocol::SpeedNote speed;
    std::vector<workload::RunEnd> ends;
    std::vector<protocol::CrashReport> crashes;
    std::uint64_t next_end = 1;
    std::uint64_t version = 1;
    Incarnation incarnation{1};
    int percent = 0;
    bool silent = false;
    bool lost = false;
    bool left = false;
    bool holds_stops = false;
    std::string checkpoint;
  };

  void Call(const std::string& name, Agent& agent);
  /// @brief Advances the tasks of jobs with set work, and ends those done.
  void Work(Millis time);
  protocol::SyncReply ReplyOf(const std::string& name,
                              const Agent& agent) const;

  Switches switches_;
  Now now_{TimePoint(Millis(100'000)), workload::WallTime(Millis(100'000))};
  workload::Policy policy_;
  Scheduler scheduler_;
  std::map<std::string, Agent> agents_;
  std::map<std::string, std::string> log_;
  std::map<JobId, workload::JobEntry> submitted_;
  std::map<JobId, Millis> work_;
  std::map<JobId, TimePoint> ended_;
  std::set<workload::TaskRef> deadly_;
  std::map<workload::TaskRef, std::vector<std::string>> starts_;
  int lost_to_others_ = 0;
  bool crash_reports_lost_ = false;
  bool acknowledgements_lost_ = false;
  int records_ = 0;
  std::size_t largest_plan_ = 0;
};

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_TEST_SCHEDULER_H_
