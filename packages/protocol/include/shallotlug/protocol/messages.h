#ifndef SHALLOTLUG_PROTOCOL_MESSAGES_H_
#define SHALLOTLUG_PROTOCOL_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/base/work.h"
#include "shallotlug/protocol/request_id.h"

/// Messages between the processes of the system. A link delivers messages in
/// order or not at all, but one logical exchange may span several links, so
/// every message may be repeated, late or lost.
namespace shallotlug {

// ---------------------------------------------------------------- both ways

/// @brief A change of the configuration, or the whole of it.
struct ConfigUpdate {
  std::uint64_t base_revision = 0;  ///< 0: `entries` is the whole.
  std::uint64_t revision = 0;
  std::vector<VersionedTarget> entries;
};

// ---------------------------------------------------------- entry to agent

/// @brief First message of an entry on a link.
struct EntryHello {
  EntryRef entry;
  DataCentreName data_centre;
  std::uint64_t config_revision = 0;
  std::vector<std::string> known_entries;  ///< Addresses, `ip:port`.
};

/// @brief Sent every second, and as an acknowledgement of an agent's report.
struct EntryHeartbeat {
  std::uint64_t config_revision = 0;
  std::vector<std::string> known_entries;
};

/// @brief Asks an agent to run a live request once.
struct StartRequest {
  RequestId id;
  CustomerName customer;
  ClassName request_class;
  PeerTime start_before{};   ///< Agent's clock; refused when it has passed.
  PeerTime finish_before{};  ///< Agent's clock; the caller's deadline.
  int accelerators = 1;
  bool repeatable = false;
  std::string body;
};

/// @brief Asks for the outcome of a request. The agent records an id that it
/// has not started as refused, so that the answer is final.
struct ResolveRequest {
  RequestId id;
  CustomerName customer;
  bool cancel = false;  ///< Also stops it when it runs.
};

/// @brief Members of a job attempt on one agent.
struct GangMember {
  AgentRef agent;
  std::string address;  ///< Peer listener of the agent, `ip:port`.
  std::vector<AcceleratorMask> tasks;  ///< One mask for each task.

  bool operator==(const GangMember&) const = default;
};

/// @brief Asks the first member's agent to coordinate an attempt. Members are
/// sorted by agent name.
struct ProposeJob {
  Attempt attempt;
  JobSpec spec;
  std::vector<GangMember> members;
  /// Attempts that the planner has asked to stop to make room.
  std::vector<Attempt> victims;
  std::string checkpoint;  ///< State of the previous attempt; may be empty.
};

enum class StopReason { kCancelled, kPreempted, kSuperseded };

/// @brief Asks a coordinator to stop an attempt as a whole.
struct StopJob {
  Attempt attempt;
  StopReason reason = StopReason::kCancelled;
};

/// @brief Confirms that a final JobUpdate is on the log; the agent may forget
/// the attempt.
struct JobUpdateAck {
  Attempt attempt;
};

// ---------------------------------------------------------- agent to entry

/// @brief What does not change during an agent's life.
struct WorkerInventory {
  DataCentreName data_centre;
  RackName rack;
  std::string region;
  int accelerators = 8;
  int slots = 8;
  int connections = 64;
};

/// @brief State of a job attempt as its coordinator sees it.
enum class JobPhase {
  kReserving,
  kRunning,
  kCheckpointed,  ///< Final: stopped, may continue as the next attempt.
  kFinished,      ///< Final: every member finished; carries the result.
  kFailed,        ///< Final: a task failed.
  kNotStarted,    ///< Final: no task of the attempt was ever started.
  kLost,          ///< Final: a member fell silent; outcome unknown.
};

constexpr bool IsFinal(JobPhase phase) {
  return phase != JobPhase::kReserving && phase != JobPhase::kRunning;
}

/// @brief Progress or outcome of a job attempt. Repeated until acknowledged
/// when final.
struct JobUpdate {
  Attempt attempt;
  JobPhase phase = JobPhase::kReserving;
  double progress = 0;     ///< 0 to 1, as the backend servers report it.
  std::string result;      ///< With kFinished.
  std::string checkpoint;  ///< With kCheckpointed.
  std::string reason;      ///< With kFailed, kNotStarted and kLost.
  /// Agents whose tasks failed; empty when no task failed.
  std::vector<AgentName> failed_at;
};

/// @brief Use of one accelerator.
enum class AcceleratorUse : std::uint8_t {
  kFree,
  kLive,
  kThrottleable,  ///< Single-worker batch task that can be throttled.
  kGang,
  kReserved,
  kFaulty,
};

/// @brief A job attempt that this agent coordinates or has members of.
struct RunningAttempt {
  Attempt attempt;
  bool coordinator = false;
  JobPhase phase = JobPhase::kReserving;
  AcceleratorMask accelerators = 0;
  /// Filled in by the coordinator, so that an entry that starts during a log
  /// outage can rebuild its tables.
  JobSpec spec;
  std::vector<GangMember> members;
  double progress = 0;
};

/// @brief First message of an agent on a link to an entry.
struct AgentHello {
  AgentRef agent;
  WorkerInventory inventory;
  std::string peer_address;
  std::uint64_t config_revision = 0;
  PeerTime now{};
};

/// @brief Heartbeat, and the load of the worker.
struct AgentReport {
  PeerTime now{};  ///< Agent's clock when the report was made.
  std::uint64_t config_revision = 0;
  bool leaving = false;
  bool backend_reachable = true;
  std::vector<AcceleratorUse> accelerators;
  int free_slots = 0;
  int live_running = 0;
  int live_queued = 0;
  Millis expected_wait{};  ///< For a live request that arrived now.
  /// Live requests that finished and that failed since the agent's start. Each
  /// entry learns from them what the requests of other entries met.
  std::int64_t live_finished = 0;
  std::int64_t live_failed = 0;
  /// Entries that this agent is linked to. Entries learn from it that another
  /// entry is gone, long before its announcement on the log expires.
  std::vector<EntryName> linked_entries;
  /// Whether `attempts` is complete; a report without changes leaves it out.
  bool has_attempts = false;
  std::vector<RunningAttempt> attempts;
};

enum class RequestResult {
  kAnswered,
  kFailed,    ///< The backend server ran it and reported a failure.
  kNotRun,    ///< Recorded as refused; it will never start.
  kRunning,   ///< Queued or started, no outcome yet.
  kUnknown,   ///< Started, and its outcome was lost.
  kConflict,  ///< The id is known with another body or customer.
};

/// @brief Outcome of a live request.
struct RequestOutcome {
  RequestId id;
  RequestResult result = RequestResult::kUnknown;
  std::uint32_t attempt = 1;  ///< Start number at the backend server.
  std::string answer;
  std::uint64_t answer_length = 0;  ///< Must equal the size of `answer`.
  std::uint64_t answer_hash = 0;    ///< xxHash64 of `answer`.
  std::string reason;  ///< Stable word, such as `queue_full` or `leaving`.
};

// ---------------------------------------------------------- agent to agent

/// @brief First message on a link between agents, from the one that dialled.
struct PeerHello {
  AgentRef agent;
};

/// @brief A coordinator asks a member to hold accelerators.
struct Reserve {
  Attempt attempt;
  AgentRef coordinator;
  std::uint32_t round = 0;
  JobSpec spec;
  std::vector<AcceleratorMask> tasks;
  std::vector<Attempt> victims;
  std::string checkpoint;
};

/// @brief State of a member of an attempt.
enum class MemberPhase {
  kRefused,
  kGranted,  ///< Promised, but victims still occupy the accelerators.
  kReady,    ///< The accelerators are held and free.
  kRunning,
  kFinished,
  kFailed,
  kCheckpointed,
  kStopped,
};

/// @brief A member's answer to Reserve and Renew, also sent on a change of its
/// phase.
struct MemberStatus {
  Attempt attempt;
  AgentRef member;
  std::uint32_t round = 0;  ///< Of the message that this answers.
  MemberPhase phase = MemberPhase::kRefused;
  PeerTime now{};     ///< Member's clock when it sent this.
  Millis hold_for{};  ///< Promise, counted by the member from its receipt.
  double progress = 0;
  std::string result;
  std::string checkpoint;
  std::string reason;
};

/// @brief Renews the promise of a member and its permission to compute.
struct Renew {
  Attempt attempt;
  AgentRef coordinator;
  std::uint32_t round = 0;
  /// Member's clock; the member computes only before it. The epoch means that
  /// it may not compute yet.
  ClockReading run_until;
};

/// @brief Ends an attempt at a member: stops its tasks and frees its
/// accelerators.
struct Release {
  Attempt attempt;
  AgentRef coordinator;
  bool checkpoint = false;  ///< Checkpoint first and answer kCheckpointed.
};

using Message = std::variant<ConfigUpdate,
                             EntryHello,
                             EntryHeartbeat,
                             StartRequest,
                             ResolveRequest,
                             ProposeJob,
                             StopJob,
                             JobUpdateAck,
                             AgentHello,
                             AgentReport,
                             JobUpdate,
                             RequestOutcome,
                             PeerHello,
                             Reserve,
                             MemberStatus,
                             Renew,
                             Release>;

}  // namespace shallotlug

#endif  // SHALLOTLUG_PROTOCOL_MESSAGES_H_
