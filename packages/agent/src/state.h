#ifndef SHALLOTLUG_AGENT_SRC_STATE_H_
#define SHALLOTLUG_AGENT_SRC_STATE_H_

#include <cstdint>
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
  bool pending = false;  ///< Neither LinkUp nor LinkDown has come yet.
  TimePoint last_dial{};
  TimePoint last_mentioned{};      ///< By an entry or a job.
  std::optional<EntryRef> behind;  ///< Entry that answered there last.
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

/// @brief Owner of a task; monostate when nobody waits for its end any more.
using TaskOwner = std::variant<std::monostate, RequestId, MemberTask>;

/// @brief A task that was sent to the backend server and has not ended.
struct Task {
  TaskOwner owner;
  bool live = false;
  AcceleratorMask accelerators = 0;
  PeerTime lease_until{};  ///< Latest lease sent; backend server's clock.
  bool reported = false;   ///< Listed by the last report.
  bool throttled = false;  ///< Asked to throttle.
  bool stopping = false;   ///< Asked to stop or to checkpoint.
  double progress = 0;
};

/// @brief The backend server as its reports show it.
struct Backend {
  bool heard = false;
  bool reachable = false;
  bool leaving = false;
  std::uint64_t incarnation = 0;
  PeerClockSample clock;
  std::map<TaskId, Task> tasks;
  /// Tasks of an earlier incarnation of this agent.
  std::map<TaskId, AcceleratorMask> foreign;
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
  std::map<ClassName, Millis> run_times;  ///< Moving averages.
};

/// @brief What decides whether an entry must hear of a change at once.
struct StartableView {
  std::vector<AcceleratorUse> accelerators;
  int free_slots = 0;
  bool leaving = false;
  bool reachable = false;

  bool operator==(const StartableView&) const = default;
};

struct Reporting {
  TimePoint last{};
  StartableView view;
  std::int64_t tasks_finished = 0;
  std::int64_t tasks_failed = 0;
};

struct State {
  Options options;
  TimePoint last_step{};
  bool shutdown = false;
  CounterTable counters;
  std::map<LinkId, Link> links;
  std::map<std::string, DialTarget> dial_targets;
  Targets targets;
  Backend backend;
  Live live;
  Reporting reporting;
};

/// @brief Whether all new work is refused.
inline bool Leaving(const State& state) {
  return state.shutdown || state.backend.leaving;
}

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_STATE_H_
