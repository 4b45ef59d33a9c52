#ifndef SHALLOTLUG_SERVICE_SRC_SCHEDULER_HOST_H_
#define SHALLOTLUG_SERVICE_SRC_SCHEDULER_HOST_H_

#include <map>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "agent_link.h"
#include "shallotlug/base/histograms.h"
#include "shallotlug/joblog/follower.h"
#include "shallotlug/platform/store_client.h"
#include "shallotlug/scheduler/role.h"
#include "shallotlug/settings/job_settings.h"
#include "shallotlug/workload/ledger.h"

namespace shallotlug::service {

/// @brief Performs the I/O of an entry's scheduler role: appends to the log and
/// calls to the agents.
class SchedulerHost {
 public:
  SchedulerHost(boost::asio::io_context& context,
                const settings::JobEntrySettings& settings,
                workload::Ledger& ledger,
                const workload::Policy& policy,
                HistogramTable& histograms);

  /// @brief Called after a log record was applied to the ledger.
  void OnRecord(const joblog::StoredRecord& stored);
  /// @brief Called after each page read from the log.
  void OnPage(const joblog::Follower& follower);

  /// @brief Posts a planning step unless one is already posted.
  void ScheduleStep();

  /// @brief Gives up the scheduler role.
  void Retire();
  bool Retired() const { return role_.Retired(); }

  /// @brief Epoch of this entry's leadership; 0 while it is not the scheduler.
  std::uint64_t Epoch() const { return role_.Epoch(); }

  /// @brief Agents known and lately heard; 0 while this entry is not the
  /// scheduler.
  scheduler::Scheduler::Reach AgentsHeard();
  /// @brief Workers by learnt speed; none while this entry is not the
  /// scheduler.
  scheduler::Scheduler::SpeedCounts CountSpeeds();

 private:
  void Step();
  void StartTimer();
  void RecordStepDelay(Millis delay);
  void UpdateLinks();
  /// @brief Opens the links to new agents, and to those with a new address.
  void ReplaceLinks(const std::vector<workload::AgentAddress>& agents);
  /// @brief Removes the links to agents that are no longer registered.
  void RemoveStaleLinks(const std::vector<workload::AgentAddress>& agents);

  boost::asio::io_context& context_;
  HistogramTable& histograms_;
  scheduler::Role role_;
  platform::StoreClient producer_;
  boost::asio::steady_timer timer_;
  std::uint64_t links_epoch_ = 0;    ///< Epoch that the links belong to.
  std::uint64_t links_version_ = 0;  ///< Of the scheduler's list of agents.
  std::map<AgentName, std::unique_ptr<AgentLink>> links_;
  bool step_posted_ = false;
};

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_SCHEDULER_HOST_H_
