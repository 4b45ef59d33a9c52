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

/// @brief Carries the calls of an entry's scheduler role.
class SchedulerHost {
 public:
  SchedulerHost(boost::asio::io_context& context,
                const settings::JobEntrySettings& settings,
                workload::Ledger& ledger,
                const workload::Policy& policy,
                HistogramTable& histograms);

  /// @brief A record of the log was applied to the ledger.
  void OnRecord(const joblog::StoredRecord& stored);
  /// @brief The log was read on.
  void OnPage(const joblog::Follower& follower);

  /// @brief Plans soon.
  void Wake();

  /// @brief Hands over.
  void Retire();
  bool Retired() const { return role_.Retired(); }

  /// @brief Epoch of the running term; 0 when another entry schedules.
  std::uint64_t Epoch() const { return role_.Epoch(); }

 private:
  void Step();
  void StartTimer();
  void UpdateLinks();
  /// @brief Drops the links to agents that are known no more.
  void DropLinks(const std::vector<workload::AgentAddress>& agents);

  boost::asio::io_context& context_;
  HistogramTable& histograms_;
  scheduler::Role role_;
  platform::StoreClient producer_;
  boost::asio::steady_timer timer_;
  std::uint64_t links_epoch_ = 0;  ///< Of the term that the links belong to.
  std::map<AgentName, std::unique_ptr<AgentLink>> links_;
  bool wake_posted_ = false;
};

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_SCHEDULER_HOST_H_
