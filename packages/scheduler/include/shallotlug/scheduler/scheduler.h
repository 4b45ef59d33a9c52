#ifndef SHALLOTLUG_SCHEDULER_SCHEDULER_H_
#define SHALLOTLUG_SCHEDULER_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/base/log_line.h"
#include "shallotlug/protocol/sync.h"
#include "shallotlug/workload/ledger.h"
#include "shallotlug/workload/policy.h"
#include "shallotlug/workload/record.h"

namespace shallotlug::scheduler {

struct SchedulerOptions {
  EntryName entry;
  std::uint64_t epoch = 0;
  /// Longest time that a worker's runs go on after its agent was last heard.
  Millis lease{7'500};
  /// A predecessor that has lost the store may extend leases for so long.
  Millis predecessor_grace{12'000};
  /// Within this time of their acknowledgement guaranteed jobs begin.
  Millis reclaim{2'500};
  Millis stop_timeout{400};
  /// The state of a job can be asked for this long after its end.
  Millis state_retention{180'000};
  /// An agent without runs that was not heard for so long is forgotten.
  Millis agent_retention{600'000};
};

/// @brief The time now, on both clocks that the scheduler needs.
struct Now {
  TimePoint local;
  workload::WallTime wall;
};

/// @brief Decides what runs where, while its process holds the epoch. It does
/// no I/O: its owner appends the batches that it plans, tells it when they are
/// durable, and carries its calls to the agents.
class Scheduler {
 public:
  /// @brief Takes over from the state that the log adds up to.
  Scheduler(const SchedulerOptions& options,
            const workload::Ledger& ledger,
            Now now);
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;
  ~Scheduler();

  /// @brief Takes in what the log says of a job; nothing when it knows the job.
  void AddJob(const workload::JobEntry& entry, Now now);
  void CancelJob(const JobId& job);
  void AddAgent(const workload::AgentAddress& address, Now now);

  /// @brief Takes in what has changed and plans. The records must be appended
  /// before the next call; nothing of them has effect until Commit.
  std::vector<workload::RawRecord> Plan(const workload::Policy& policy,
                                        Now now);

  /// @brief The records of the last plan are durable.
  void Commit();

  /// @brief Addresses of the agents to call.
  std::vector<workload::AgentAddress> Agents() const;

  /// @brief The next call to an agent, with all that it has to be told.
  protocol::SyncRequest MakeSync(const AgentName& agent, Millis wait, Now now);

  /// @brief Whether the agent should be called before its running call ends.
  bool HasNews(const AgentName& agent, Now now) const;

  void OnReply(const AgentName& agent,
               const protocol::SyncReply& reply,
               Now now);

  /// @brief Leases are extended only while this was called recently.
  void ConfirmAuthority(Now now);

  /// @brief Agents heard within the last `age`, and agents known to live.
  struct Reach {
    int heard = 0;
    int known = 0;
  };
  Reach AgentsHeard(Millis age, Now now) const;

  /// @brief Takes the log lines since the last call.
  std::vector<LogLine> TakeLog();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SCHEDULER_H_
