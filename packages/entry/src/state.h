#ifndef SHALLOTLUG_ENTRY_SRC_STATE_H_
#define SHALLOTLUG_ENTRY_SRC_STATE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "shallotlug/decision/live_route.h"
#include "shallotlug/decision/worker_health.h"
#include "shallotlug/entry/entry.h"
#include "shallotlug/stream/append_queue.h"
#include "shallotlug/stream/config_fold.h"
#include "shallotlug/stream/entries_fold.h"

#include "burn_ring.h"
#include "job_track.h"
#include "timers.h"

namespace shallotlug::entry {

/// @brief One incarnation of an agent, as known to this entry.
struct Agent {
  AgentRef ref;
  bool linked = false;
  LinkId link{};
  WorkerInventory inventory;
  std::string peer_address;
  PeerClockSample clock;
  /// Before the last pause of this entry; none when the link is younger.
  std::optional<PeerClockSample> clock_before_pause;
  bool reported = false;  ///< `report` was sent by this incarnation.
  AgentReport report;
  TimePoint last_heard{};
  int in_flight = 0;  ///< Live requests since the last report.
  /// Results of this entry's own live requests since the last report.
  std::int64_t own_finished = 0;
  std::int64_t own_failed = 0;
  std::optional<std::size_t> routing_row;
  std::optional<decision::WorkerIndex> worker;
  /// As of the last update of the planner's tables.
  decision::HealthState health = decision::HealthState::kHealthy;
  std::uint64_t config_revision = 0;  ///< Last reported.
  std::uint64_t config_sent = 0;      ///< Last pushed on this link.
  TimePoint config_sent_at{};
};

/// @brief An open link. Agents dial, so every link is an accepted one.
struct Link {
  AgentName agent;  ///< Empty until the agent's hello.
  TimePoint last_heard{};
};

/// @brief A pending live request.
struct LiveRequest {
  RequestId id;
  bool one_shot = false;
  bool resolve_only = false;  ///< Made by a ResolveCall; nothing is started.
  CustomerName customer;
  ClassName request_class;
  bool repeatable = false;
  int accelerators = 1;
  std::string body;
  std::uint64_t body_hash = 0;
  TimePoint accepted{};
  TimePoint deadline{};
  Millis target{};
  bool sent = false;
  LinkId sent_on{};
  TimePoint sent_at{};
  bool resolving = false;  ///< ResolveRequest has been sent at the deadline.
  TimePoint give_up_at{};  ///< End of the wait for the resolution.
  bool cancel = false;
  bool has_unresolved_id =
      false;  ///< An earlier id of this call is unresolved.
  int damaged_answers = 0;
  std::uint32_t newest_attempt = 0;
  std::vector<AgentName> tried_agents;
  std::vector<CallId> callers;
};

/// @brief Reads of one stream; at most one is open.
struct StreamReader {
  std::string stream;
  std::uint64_t next = 0;
  bool open = false;
  TimePoint opened{};
  TimePoint due{};
  TimePoint last_ok{};
  /// Start of the last read that reached the end of the stream.
  TimePoint caught_up_at{};
  bool caught_up = false;  ///< Reached the end at least once.
  bool failing = false;
  /// Reads that timed out without a result. While this is not 0, a result may
  /// belong to one of them and does not prove where the stream ended after
  /// `opened`.
  int abandoned_reads = 0;
};

/// @brief Reads and appends of one stream.
struct StreamIo {
  StreamReader reader;
  stream::AppendQueue appends;
};

/// @brief A call held until a refresh ends. Its deadline counts from its
/// arrival.
struct HeldCall {
  IncomingCall call;
  TimePoint arrived{};
};

/// @brief Configuration refresh after a pause, and the calls held until it
/// ends.
struct Refresh {
  bool active = false;
  TimePoint since{};
  std::vector<HeldCall> held;
  std::unordered_set<CallId>
      disconnected_callers;  ///< Callers that disconnected.
};

/// @brief Tokens for retries: a share of the successes plus a floor.
struct RetryBudget {
  double tokens = 0;
  TimePoint refilled{};
};

/// @brief A target change that has not been read back from the log yet.
struct PendingChange {
  CallId call{};
  std::string change_id;
  TimePoint give_up_at{};
};

/// @brief Which entries have links to agents, according to agent reports.
struct EntryReachability {
  std::set<EntryName> linked_entries;  ///< Linked to at least one agent.
  bool has_reports = false;  ///< At least one linked agent has reported.
  bool stale = true;         ///< Must be recomputed from the reports.
};

struct State {
  Options options;
  CounterTable counters;
  std::uint64_t random = 1;
  TimePoint now{};
  TimePoint started{};
  TimePoint last_step{};
  TimePoint call_arrived{};  ///< Of the call that is being handled.

  std::map<LinkId, Link> links;
  std::map<AgentName, Agent> agents;
  TimePoint next_heartbeat{};
  TimePoint next_housekeeping{};
  /// Routing table; `candidate_agents` names the agent of each row.
  std::vector<decision::LiveCandidate> candidates;
  std::vector<AgentName> candidate_agents;
  decision::HealthTable health;
  std::uint64_t config_pushed = 0;  ///< Revision of the last push round.

  std::map<RequestId, LiveRequest> requests;
  std::unordered_map<CallId, RequestId> request_of_call;
  Timers<RequestId> request_timers;
  RetryBudget retry_budget;

  stream::ConfigFold config;
  StreamIo config_io;
  std::uint64_t last_config_snapshot = 0;
  TimePoint config_snapshot_at{};
  TimePoint next_snapshot_round{};
  std::map<std::string, PendingChange> pending_changes;  ///< By change id.
  std::uint64_t next_token = 1;
  std::uint64_t next_record = 1;

  stream::EntriesFold entries;
  StreamIo entry_io;
  TimePoint next_announcement{};
  bool planner = false;  ///< As of the last housekeeping.
  EntryReachability entry_reachability;

  Jobs jobs;
  StreamIo job_io;

  std::map<BurnKey, BurnCounts> burn;
  Refresh refresh;

  bool shutting_down = false;
  Outbox out;
};

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_STATE_H_
