#ifndef SHALLOTLUG_EXECUTOR_EXECUTOR_H_
#define SHALLOTLUG_EXECUTOR_EXECUTOR_H_

#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/log_line.h"
#include "shallotlug/executor/worker_calls.h"
#include "shallotlug/protocol/sync.h"

namespace shallotlug::executor {

struct ExecutorOptions {
  AgentName agent;
  Incarnation incarnation{};
  Millis longest_lease{10'000};  ///< The worker shortens longer leases.
};

struct StartAction {
  protocol::StartOrder order;
};
struct StopAction {
  workload::RunRef run;
};
using Action = std::variant<StartAction, StopAction>;

/// @brief A call that reads the worker's run lists and renews its lease.
struct WorkerQuery {
  std::uint64_t number = 0;  ///< Passed to OnView() with the answer.
  OrderContext context;
  std::uint64_t noted_ends = 0;
  Millis wait{0};
};

/// @brief Executes the scheduler's orders on one worker and tracks its runs. It
/// does no I/O: its owner makes the calls that it requests.
class Executor {
 public:
  explicit Executor(const ExecutorOptions& options);
  Executor(Executor&&) noexcept;
  Executor& operator=(Executor&&) noexcept;
  ~Executor();

  /// @brief A heartbeat from the worker, or from another writer: another life
  /// than the present one is taken over once the worker has answered a look
  /// that names it.
  void OnHeartbeat(const workload::WorkerFacts& facts,
                   std::uint64_t sequence,
                   TimePoint now);
  /// @brief The worker has left. Its lists must have been read before.
  void OnDeparture(const std::string& worker, TimePoint now);
  /// @brief The final call to a worker that announces its departure.
  WorkerQuery LastCall();

  /// @brief Handles the scheduler's call; false when its epoch is outdated.
  bool OnSync(const protocol::SyncRequest& request, TimePoint now);
  protocol::SyncReply MakeReply(bool accepted, TimePoint now) const;
  std::uint64_t Version() const;
  /// @brief Whether the caller already knows the present state.
  bool IsKnown(const protocol::SyncRequest& request) const;

  /// @brief Orders that are due; called at least every 500 ms. Each must be
  /// answered by OnStartResult() or OnStopResult().
  std::vector<Action> TakeActions(TimePoint now);
  /// @brief The context of the next order.
  OrderContext Context();
  void OnStartResult(const workload::RunRef& run,
                     const OrderResult& result,
                     TimePoint now);
  void OnStopResult(const workload::RunRef& run,
                    const OrderResult& result,
                    TimePoint now);

  /// @brief The long-polling call, which waits for the end of a run.
  WorkerQuery WatchCall(TimePoint now);
  /// @brief A call without a wait, if one is needed before the long poll ends.
  /// It may name another worker than the present one, to ask which is there.
  std::optional<WorkerQuery> QuickCall(TimePoint now);
  void OnView(std::uint64_t number, const WorkerView& view, TimePoint now);

  std::vector<LogLine> TakeLog();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shallotlug::executor

#endif  // SHALLOTLUG_EXECUTOR_EXECUTOR_H_
