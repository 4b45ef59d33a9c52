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

/// @brief What the calls are answered from.
struct JobApiState {
  const workload::Ledger& ledger;
  const workload::Policy& policy;
  RecordQueue& records;
  CounterTable& counters;
  HistogramTable& histograms;
  PeerRelay& peers;
  /// When the log was last read to its end; nothing before the first time.
  std::function<std::optional<TimePoint>()> log_current_at;
  /// Whether the store answers this entry.
  std::function<bool()> store_answers;
};

/// @brief Answers the calls of callers.
class JobApi {
 public:
  using Reply = std::function<void(net::HttpResponse)>;

  explicit JobApi(JobApiState state);

  /// @brief Answers a caller; another entry does it when this one cannot.
  void Handle(const net::HttpRequest& request, Reply reply);

  /// @brief Answers a request that another entry has handed over, which goes
  /// no further.
  void HandleForPeer(const net::HttpRequest& request, Reply reply);

 private:
  /// @brief Answers from what this entry knows and can store.
  void Answer(const net::HttpRequest& request, Reply reply);
  /// @brief Hands the request to another entry.
  /// @param own What this entry has to say when no other entry answers; nothing
  /// when it was not asked yet.
  void Forward(const net::HttpRequest& request,
               TimePoint deadline,
               std::optional<net::HttpResponse> own,
               Reply reply);
  void Submit(platform::SubmitCall call, const Reply& reply);
  void Cancel(const platform::CancelCall& call, const Reply& reply);
  void State(const platform::StateCall& call, const Reply& reply);
  /// @brief Whether the log was read to its end within `age`.
  bool LogCurrent(Millis age) const;

  JobApiState state_;
};

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_JOB_API_H_
