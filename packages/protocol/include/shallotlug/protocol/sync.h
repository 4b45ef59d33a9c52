#ifndef SHALLOTLUG_PROTOCOL_SYNC_H_
#define SHALLOTLUG_PROTOCOL_SYNC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/workload/worker.h"

/// The call between the scheduler and an agent. Each reply holds all that the
/// agent knows, and each order may be sent again, so that a lost message needs
/// no treatment of its own.
namespace shallotlug::protocol {

/// @brief Asks for a run to be started; the same order may come again.
struct StartOrder {
  workload::RunRef run;
  std::string payload;
  std::string checkpoint;  ///< Empty: from the beginning.
  /// It was sent before, maybe to a former process of the agent: a start
  /// without an answer may yet reach the worker.
  bool repeated = false;

  bool operator==(const StartOrder&) const = default;
};

/// @brief What a scheduler has learnt about the speed of a worker's current
/// life. The agent keeps it for the next scheduler.
struct SpeedNote {
  /// Natural logarithm of the time that the worker takes for a task, relative
  /// to a worker of factor 1.
  double log_factor = 0;
  double weight = 0;  ///< Inverse variance of `log_factor`; 0: nothing known.

  bool operator==(const SpeedNote&) const = default;
};

struct SyncRequest {
  std::uint64_t epoch = 0;
  EntryName entry;
  /// The lease runs for `lease` from this reading of the agent's clock, which
  /// the agent sent before; a lease of 0 extends nothing. Leases and starts
  /// that refer to another incarnation of the agent are ignored.
  ClockReading lease_from;
  Millis lease{0};
  /// The life of the worker that orders and noted ends are meant for.
  workload::WorkerLife worker;
  std::vector<StartOrder> starts;
  std::vector<workload::RunRef> stops;
  /// Ends up to this number are recorded; the worker may forget them.
  std::uint64_t noted_ends = 0;
  /// Refusals, ends of former lives and crashes that are recorded.
  std::vector<workload::RunRef> settled;
  /// The reply waits until the agent knows something newer than this version
  /// of the incarnation in `lease_from`.
  std::uint64_t known_version = 0;
  Millis wait{0};
  SpeedNote speed;  ///< Of `worker`.

  bool operator==(const SyncRequest&) const = default;
};

enum class RunPhase {
  kStarting,  ///< Ordered; the worker has not confirmed it.
  kRunning,
  kStopping,
};

struct RunReport {
  workload::ActiveRun active;
  RunPhase phase = RunPhase::kStarting;
  /// When the worker confirmed the start to this process of the agent, by the
  /// agent's clock; zero if it did not.
  PeerTime started_at{};

  bool operator==(const RunReport&) const = default;
};

/// @brief Why a run is not on the worker and never will be.
enum class RefusalReason {
  kNoRoom,
  kDraining,
  kOtherLife,   ///< The worker has started again.
  kSuperseded,  ///< A run as high was stopped or ended there.
  kFenced,      ///< The worker knows a higher epoch.
  kNoLease,
  kUnhealthy,  ///< The worker refuses work.
  kNoAnswer,   ///< Stopped, because the start was not confirmed.
  kStopped,    ///< Stopped by order before it was there.
  kInvalid,
  kNoTicket,
  kLapsed,  ///< The worker is silent, and its lease has run out.
};

struct Refusal {
  workload::RunRef run;
  RefusalReason reason = RefusalReason::kNoRoom;

  bool operator==(const Refusal&) const = default;
};

/// @brief A run that its worker had confirmed when the worker ended without
/// notice.
struct CrashReport {
  workload::RunRef run;
  /// The worker was last heard shortly after the start of the run.
  bool early = false;
  /// No run of another job may have been on the worker.
  bool alone = false;

  bool operator==(const CrashReport&) const = default;
};

enum class WorkerState {
  kUnknown,  ///< Nothing was heard of it yet.
  kPresent,
  kSilent,  ///< It does not answer; its runs may go on.
  kGone,    ///< It has left; nothing of it runs.
};

struct SyncReply {
  AgentName agent;
  Incarnation incarnation{};
  PeerTime clock{};  ///< Read when the reply was made.
  std::uint64_t epoch = 0;
  /// Whether the request's epoch was high enough to be obeyed.
  bool accepted = false;
  std::uint64_t version = 0;
  WorkerState worker_state = WorkerState::kUnknown;
  workload::WorkerFacts worker;
  std::vector<RunReport> runs;
  std::vector<workload::RunEnd> ends;
  /// The worker has not listed all ends yet: a run that is neither in `runs`
  /// nor in `ends` may have ended.
  bool more_ends = false;
  std::vector<Refusal> refusals;
  /// Ends that former lives of the worker listed and that are not settled.
  std::vector<workload::RunEnd> former_ends;
  /// Crashes of former lives of the worker that are not settled.
  std::vector<CrashReport> crashes;
  /// When the progress in `runs` was read from the worker.
  PeerTime read_at{};
  SpeedNote speed;  ///< Of `worker`, as a scheduler noted it.

  bool operator==(const SyncReply&) const = default;
};

/// @brief An agent refuses larger requests.
inline constexpr std::size_t kMaxSyncRequestBytes = 4 << 20;

std::string Encode(const SyncRequest& request);
std::string Encode(const SyncReply& reply);

/// @brief Decodes a message; nothing when it is malformed.
std::optional<SyncRequest> DecodeSyncRequest(std::string_view bytes);
std::optional<SyncReply> DecodeSyncReply(std::string_view bytes);

const char* Name(RefusalReason reason);
const char* Name(WorkerState state);

}  // namespace shallotlug::protocol

#endif  // SHALLOTLUG_PROTOCOL_SYNC_H_
