#ifndef SHALLOTLUG_EXECUTOR_WORKER_CALLS_H_
#define SHALLOTLUG_EXECUTOR_WORKER_CALLS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/workload/worker.h"

/// Calls from the agent to a worker.
namespace shallotlug::executor {

/// @brief Time by the worker's clock, which may run 2 % slow.
using WorkerTime = PeerTime;

/// @brief Sent with every order to a worker.
struct OrderContext {
  std::string worker;       ///< Id; a worker with another id refuses.
  std::uint64_t epoch = 0;  ///< A worker rejects lower ones.
  /// Runs on the worker may continue until then; never shortened.
  std::optional<WorkerTime> lease_until;
};

enum class OrderStatus {
  kDone,
  kNoAnswer,    ///< The order may have taken effect, or still may.
  kNotReached,  ///< Nothing was sent.
  kFenced,
  kSuperseded,  ///< This or a higher run was stopped or has ended.
  kLeaseOver,
  kNoRoom,
  kNoTicket,
  kOtherWorker,
  kUnhealthy,  ///< Refused without effect.
  kInvalid,
};

struct OrderResult {
  OrderStatus status = OrderStatus::kNoAnswer;
  std::optional<WorkerTime> clock;
  std::string detail;  ///< For the log.
};

/// @brief A worker's report of its runs.
struct WorkerView {
  OrderStatus status = OrderStatus::kNoAnswer;
  std::optional<WorkerTime> clock;
  std::int64_t born = 0;  ///< 0: not reported.
  std::vector<workload::ActiveRun> active;
  std::vector<workload::RunEnd> ends;
  /// The worker lists ends in pages: runs that are in neither list may have
  /// ended, too.
  bool more_ends = false;
  std::uint64_t skipped = 0;  ///< Rows that could not be decoded.
  std::string detail;
};

const char* Name(OrderStatus status);

}  // namespace shallotlug::executor

#endif  // SHALLOTLUG_EXECUTOR_WORKER_CALLS_H_
