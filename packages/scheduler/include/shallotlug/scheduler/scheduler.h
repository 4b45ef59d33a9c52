#ifndef SHALLOTLUG_SCHEDULER_SCHEDULER_H_
#define SHALLOTLUG_SCHEDULER_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/base/log_line.h"
#include "shallotlug/joblog/log_calls.h"
#include "shallotlug/protocol/sync.h"
#include "shallotlug/workload/ledger.h"
#include "shallotlug/workload/policy.h"
#include "shallotlug/workload/record.h"

namespace shallotlug::scheduler {

struct SchedulerOptions {
  EntryName entry;
  std::uint64_t epoch = 0;
  /// How long a worker's runs continue after the last contact with its agent.
  Millis lease{7'500};
  /// How long a predecessor that has lost the store may still extend leases.
  Millis predecessor_grace{12'000};
  /// Guaranteed jobs start within this time after their acknowledgement.
  Millis reclaim{2'500};
  Millis stop_timeout{400};
  /// A gang that prefers one rack takes this multiple of its time in several.
  double remote_factor = 3;
  /// How long the state of a job can be queried after its end.
  Millis state_retention{180'000};
  /// An agent without runs is removed after this time without contact.
  Millis agent_retention{600'000};
  /// Places tasks by the speeds of the workers, which it learns from the
  /// progress of their runs.
  bool learn_speeds = false;
  joblog::StoreLimits store{};
  /// When there is too little room, weighs what callers lose: jobs that can
  /// still meet their objectives go first, and runs that can be repeated in
  /// time yield first.
  bool weigh_lateness = false;
};

/// @brief The current time on the monotonic and on the wall clock.
struct Now {
  TimePoint local;
  workload::WallTime wall;
};

/// @brief Places tasks on workers while its process holds the epoch. Does no
/// I/O: the owner appends the planned batches, reports when they are durable,
/// and sends the calls to the agents.
class Scheduler {
 public:
  /// @brief Starts from the state replayed from the log.
  Scheduler(const SchedulerOptions& options,
            const workload::Ledger& ledger,
            Now now);
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;
  ~Scheduler();

  /// @brief Adds a job as recorded in the log; no effect if it is known
  /// already.
  void AddJob(const workload::JobEntry& entry, Now now);
  void CancelJob(const JobId& job);
  void AddAgent(const workload::AgentAddress& address, Now now);

  /// @brief Applies pending changes and plans. The returned records fit into
  /// one append and must be appended before the next call; they take effect
  /// with Commit(). What did not fit follows with the next plans.
  std::vector<workload::RawRecord> Plan(const workload::Policy& policy,
                                        Now now);

  /// @brief While held, plans place no tasks and preempt no runs. The placement
  /// of a job whose cancelling was not read yet would break a promise.
  void HoldPlacement(bool held);

  /// @brief Called when the records of the last plan are durable.
  /// @param refused Keys of those that the store has refused for good. Their
  /// occurrences wait and are recorded again later.
  void Commit(const std::set<std::string>& refused = {});

  /// @brief Addresses of the agents to call.
  std::vector<workload::AgentAddress> Agents() const;
  /// @brief Changes whenever Agents() does.
  std::uint64_t AgentsVersion() const;

  /// @brief Builds the next call to an agent, with all pending orders and
  /// acknowledgements.
  protocol::SyncRequest MakeSync(const AgentName& agent, Millis wait, Now now);

  /// @brief Whether there are updates that should not wait until the agent's
  /// call in flight returns.
  bool HasNews(const AgentName& agent, Now now) const;

  /// @brief Takes the agents that may have got news since the last call, and
  /// have some. An agent whose call cannot be sent now must be asked about
  /// again with HasNews().
  std::vector<AgentName> TakeNews(Now now);

  /// @param known The incarnation of the agent that the answered request was
  /// made for, its `lease_from.incarnation`.
  void OnReply(const AgentName& agent,
               Incarnation known,
               const protocol::SyncReply& reply,
               Now now);

  /// @brief Confirms that this process still holds the epoch. Leases are
  /// extended only for a limited time after the last call.
  void ConfirmAuthority(Now now);

  /// @brief Number of agents heard within the last `age`, and of all known
  /// agents.
  struct Reach {
    int heard = 0;
    int known = 0;
  };
  Reach AgentsHeard(Millis age, Now now) const;

  /// @brief Numbers of workers by their learnt speed.
  struct SpeedCounts {
    int unknown = 0;  ///< No run has told anything yet.
    int faster = 0;
    int usual = 0;
    int slower = 0;
  };
  SpeedCounts CountSpeeds(Now now) const;

  /// @brief Takes the log lines since the last call.
  std::vector<LogLine> TakeLog();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SCHEDULER_H_
