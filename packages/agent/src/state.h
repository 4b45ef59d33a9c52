#ifndef SHALLOTLUG_AGENT_SRC_STATE_H_
#define SHALLOTLUG_AGENT_SRC_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "shallotlug/agent/agent.h"

/// Tables of an agent.
namespace shallotlug::agent {

/// @brief A link to an entry or to another agent.
struct Link {
  PeerRole peer = PeerRole::kEntry;
  std::string dialled;  ///< Empty for an accepted link.
  TimePoint last_received{};
  std::optional<EntryRef> entry;  ///< From its EntryHello.
  bool attempts_due = true;       ///< The next report lists all attempts.
};

/// @brief An address that this agent dials.
struct DialTarget {
  PeerRole peer = PeerRole::kEntry;
  bool seed = false;
  bool pending = false;        ///< Neither LinkUp nor LinkDown has come yet.
  std::optional<LinkId> link;  ///< The newest link to this address.
  TimePoint last_dial{};
  TimePoint last_mentioned{};          ///< By an entry or a job.
  std::optional<EntryRef> last_entry;  ///< Entry that answered there last.
};

enum class LiveStage { kQueued, kRunning, kDone };

/// @brief A live request that is known until its id expires.
struct LiveRequest {
  CustomerName customer;
  ClassName request_class;
  std::optional<std::uint64_t> body_hash;  ///< None when only resolved.
  LiveStage stage = LiveStage::kDone;
  TimePoint start_before{};
  TimePoint finish_before{};
  int accelerators = 0;
  std::string body;  ///< Until it starts.
  TaskId task;
  TimePoint started{};
  bool cancelled = false;
  RequestOutcome outcome;         ///< Valid in kDone.
  std::vector<LinkId> listeners;  ///< Entry links that asked for the id.
};

/// @brief A task of a member of an attempt.
struct MemberTask {
  Attempt attempt;
  std::size_t index = 0;
};

/// @brief Owner of a task; monostate when no request or member waits for
/// its end any more.
using TaskOwner = std::variant<std::monostate, RequestId, MemberTask>;

/// @brief A task that was sent to the backend server and has not ended.
struct Task {
  TaskOwner owner;
  bool live = false;
  AcceleratorMask accelerators = 0;
  PeerTime lease_until{};  ///< Latest lease sent; backend server's clock.
  bool reported = false;   ///< Listed by the last report.
  bool throttleable = false;
  bool throttled = false;           ///< Asked to throttle.
  bool reported_throttled = false;  ///< In the last report.
  bool stopping = false;            ///< Asked to stop or to checkpoint.
  double progress = 0;
};

/// @brief The backend server as its reports show it.
struct Backend {
  bool report_received = false;
  bool reachable = false;
  bool leaving = false;
  std::uint64_t incarnation = 0;
  PeerClockSample clock;
  std::map<TaskId, Task> tasks;
  /// Tasks of an earlier incarnation of this agent.
  std::map<TaskId, AcceleratorMask> orphaned_tasks;
  std::uint64_t next_task = 1;
  TimePoint next_renewal{};
};

/// @brief Position in the queue: earliest deadline first, then arrival.
struct QueueKey {
  TimePoint finish_before{};
  std::uint64_t arrival = 0;

  friend bool operator<(const QueueKey& a, const QueueKey& b) {
    return a.finish_before != b.finish_before
               ? a.finish_before < b.finish_before
               : a.arrival < b.arrival;
  }
};

/// @brief Live requests and the queue of those that wait.
struct Live {
  std::map<RequestId, LiveRequest> known;
  std::map<QueueKey, RequestId> queue;
  std::uint64_t next_arrival = 1;
  /// Ids up to this expiry that are not in the table count as refused: some of
  /// them were refused while the table was full.
  PeerTime refused_through{};
  std::deque<RequestId> answered;         ///< Oldest first.
  std::size_t answer_bytes = 0;           ///< Of the answers kept.
  std::map<ClassName, Millis> run_times;  ///< Moving averages.
};

/// @brief How a task of a member ended.
enum class TaskEnd { kNone, kFinished, kFailed, kCheckpointed, kStopped };

/// @brief A task of a member: its accelerators and its result.
struct MemberTaskState {
  AcceleratorMask accelerators = 0;
  TaskId id;  ///< Empty until started.
  TaskEnd end = TaskEnd::kNone;
  std::string output;  ///< Answer or checkpoint.
};

/// @brief This agent's part of an attempt: a reservation of accelerators, and
/// permission to compute on them.
struct Member {
  AgentRef coordinator;
  JobSpec spec;
  std::vector<MemberTaskState> tasks;
  AcceleratorMask accelerators = 0;  ///< Of all tasks.
  std::vector<Attempt> victims;
  std::string checkpoint;  ///< One entry per task; see task_list.h.
  LinkId link{};           ///< Last link from the coordinator; 0 is local.
  std::uint32_t round = 0;
  MemberPhase phase = MemberPhase::kGranted;
  TimePoint hold_until{};
  std::optional<TimePoint> run_until;
  bool stopping = false;  ///< Tasks were asked to stop or to checkpoint.
  std::string reason;
};

/// @brief A member as its coordinator sees it.
struct JobMember {
  GangMember spec;
  bool reserved = false;  ///< Has confirmed the reservation.
  bool settled = false;   ///< Does not compute and will not, after a stop.
  MemberPhase phase = MemberPhase::kRefused;
  PeerClockSample clock;
  TimePoint hold_until{};                    ///< Counted from the send time.
  std::map<std::uint32_t, TimePoint> sends;  ///< By round, first send of each.
  double progress = 0;
  std::string result;
  std::string checkpoint;
  std::string reason;
};

enum class JobStage { kReserving, kWaiting, kRunning, kStopping, kFinal };

/// @brief How a started attempt is stopped.
struct JobStop {
  JobPhase phase = JobPhase::kLost;  ///< Final phase.
  std::string reason;
  std::vector<AgentName> failed_at;
  bool checkpoint = false;  ///< Let the members checkpoint first.
  std::uint32_t round = 0;  ///< First round of the stop.
  TimePoint since{};
};

/// @brief An attempt that this agent coordinates.
struct Job {
  JobSpec spec;
  std::vector<JobMember> members;
  std::vector<Attempt> victims;
  std::string checkpoint;
  JobStage stage = JobStage::kReserving;
  TimePoint stage_since{};
  std::size_t reserving = 0;  ///< Index of the member being reserved.
  TimePoint reserving_since{};
  std::uint32_t round = 0;
  TimePoint next_round{};
  /// Latest time until which any member may compute; none before the first
  /// permission.
  std::optional<TimePoint> permitted_until;
  JobStop stop;
  JobUpdate update;  ///< Valid in kFinal.
  TimePoint next_update{};
};

struct Gangs {
  std::map<Attempt, Member> members;
  std::map<Attempt, Job> jobs;
  /// Highest attempt that was reserved or refused here, by job.
  std::map<JobId, std::uint32_t> last_reserved;
  /// Highest attempt that was proposed or refused here, by job.
  std::map<JobId, std::uint32_t> last_proposed;
  /// Acknowledged attempts, and whether each was ever started.
  std::map<Attempt, bool> acknowledged;
  std::deque<Message> local;  ///< From this agent to itself.
  bool leaving_announced = false;
};

/// @brief An attempt as the last report listed it.
struct ListedAttempt {
  Attempt attempt;
  JobPhase phase = JobPhase::kReserving;
  AcceleratorMask accelerators = 0;

  bool operator==(const ListedAttempt&) const = default;
};

/// @brief State whose changes are reported to entries at once.
struct StartableView {
  std::vector<AcceleratorUse> accelerators;
  int free_slots = 0;
  bool leaving = false;
  bool reachable = false;
  std::vector<EntryName> linked_entries;

  bool operator==(const StartableView&) const = default;
};

struct Reporting {
  TimePoint last{};
  StartableView view;
  std::vector<ListedAttempt> listed;
  std::int64_t live_finished = 0;
  std::int64_t live_failed = 0;
};

struct State {
  Options options;
  TimePoint last_step{};
  bool shutdown = false;
  std::optional<TimePoint> drained_since;  ///< During a shutdown.
  CounterTable counters;
  std::map<LinkId, Link> links;
  std::map<std::string, DialTarget> dial_targets;
  Targets targets;
  Backend backend;
  Live live;
  Gangs gangs;
  Reporting reporting;
};

/// @brief Whether all new work is refused.
inline bool Leaving(const State& state) {
  return state.shutdown || state.backend.leaving;
}

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_STATE_H_
