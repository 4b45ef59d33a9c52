#ifndef SHALLOTLUG_SERVICE_SRC_JOB_API_H_
#define SHALLOTLUG_SERVICE_SRC_JOB_API_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "peer_relay.h"
#include "record_queue.h"
#include "shallotlug/base/counters.h"
#include "shallotlug/base/histograms.h"
#include "shallotlug/net/http_server.h"
#include "shallotlug/platform/job_calls.h"
#include "shallotlug/workload/ledger.h"

namespace shallotlug::service {

/// @brief Dependencies of `JobApi`.
struct JobApiState {
  const workload::Ledger& ledger;
  const workload::Policy& policy;
  RecordQueue& records;
  CounterTable& counters;
  HistogramTable& histograms;
  PeerRelay& peers;
  /// When the log was last read to its end; empty before the first time.
  std::function<std::optional<TimePoint>()> log_caught_up_at;
  /// Calls back once the records that are in the log now have been read.
  std::function<void(std::function<void()>)> refresh;
  /// Calls back with `true` once all records that were appended before the call
  /// have been read, or with `false` if the store cannot be read.
  std::function<void(std::function<void(bool current)>)> read_to_end;
  /// Whether this entry can reach the store.
  std::function<bool()> store_available;
  /// For how long all reads of the store have failed; 0 while they succeed.
  std::function<Millis()> store_unavailable_for;
};

/// @brief Serves the job API to callers and to other entries.
class JobApi {
 public:
  using Reply = std::function<void(net::HttpResponse)>;

  explicit JobApi(JobApiState state);

  /// @brief Handles a caller's request; forwards it to another entry if it
  /// cannot be served here.
  void Handle(const net::HttpRequest& request, Reply reply);

  /// @brief Handles a request forwarded by another entry; it is never forwarded
  /// again.
  void HandleForPeer(const net::HttpRequest& request, Reply reply);

 private:
  /// @brief Serves the request from this entry's ledger and store connection.
  void ServeLocally(const net::HttpRequest& request, Reply reply);
  /// @brief Forwards the request to another entry.
  /// @param local_response The local response, returned if no other entry
  /// answers; empty if the request has not been tried locally.
  void Forward(const net::HttpRequest& request,
               TimePoint deadline,
               std::optional<net::HttpResponse> local_response,
               Reply reply);
  void Submit(platform::SubmitCall call, const Reply& reply);
  void Cancel(const platform::CancelCall& call, const Reply& reply);
  void CancelKnownJob(const JobId& job, const Reply& reply);
  /// @brief Records the cancel of a job that is not in the log: its submission
  /// may still be on its way there.
  void CancelUnknownJob(const JobId& job, const Reply& reply);
  void AppendCancel(const JobId& job, std::function<void(Stored)> handler);
  void QueryState(const platform::StateCall& call, const Reply& reply);
  void ReplyState(const JobId& job, const Reply& reply);
  /// @brief Whether an append would be tried in vain.
  bool IsStoreLost() const;
  /// @brief Whether the log was read to its end within `age`.
  bool IsLogCurrent(Millis age) const;

  JobApiState state_;
};

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_JOB_API_H_
