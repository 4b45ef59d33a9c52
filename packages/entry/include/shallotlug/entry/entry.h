#ifndef SHALLOTLUG_ENTRY_ENTRY_H_
#define SHALLOTLUG_ENTRY_ENTRY_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "shallotlug/api/calls.h"
#include "shallotlug/base/clock.h"
#include "shallotlug/base/counters.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/base/log_line.h"
#include "shallotlug/protocol/links.h"
#include "shallotlug/stream/log_io.h"

/// Entry logic: routes live requests, accepts and schedules long jobs, and
/// distributes the configuration to the agents.
namespace shallotlug::entry {

/// @brief Fixed properties of an entry. Defaults are those of docs/design.md.
struct Options {
  EntryRef self;
  DataCentreName data_centre;
  std::string peer_address;      ///< `ip:port` that agents dial.
  std::string operator_address;  ///< `ip:port` of the operators' listener.

  Millis heartbeat_interval{1000};
  Millis link_silence_limit{3000};
  Millis config_poll_interval{500};
  /// The planner learns of a job from the log when another entry accepted it.
  /// At 500 ms, a start with a checkpoint of 1 s took more than 1.7 s.
  Millis job_poll_interval{100};
  Millis announce_interval{10'000};
  Millis announce_expiry{30'000};
  Millis request_id_lifetime{600'000};
  Millis warm_up{3000};  ///< Wait for agent reports before planning.
  Millis plan_interval{100};
  Millis log_timeout{2000};
  /// A claimed attempt that is not reported for this long is abandoned.
  Millis abandon_after{15'000};
  Millis log_retention{3'600'000};  ///< Snapshots are written at half of it.
  double retry_share = 0.1;         ///< Retries per success.
  double retry_floor_per_second = 3;
  std::size_t pending_request_limit = 4096;
  std::size_t queued_job_limit = 100'000;
  std::uint64_t random_seed = 1;

  /// Guards that tests may disable to show that a check catches their absence.
  struct Guards {
    bool not_run_needs_proof = true;
    bool match_answers = true;
    bool check_answer_length = true;
    bool never_retry_unrepeatable = true;
    bool claim_before_start = true;
    bool drain_on_shutdown = true;
    bool monotonic_config = true;
    bool warm_up = true;
    bool keep_guarantees = true;
  } guards;
};

/// @brief Identifies a call of a caller or operator; assigned by the shell.
enum class CallId : std::uint64_t {};

struct IncomingCall {
  CallId id{};
  api::Call call;
};

struct Inbox {
  std::vector<LinkUp> links_up;
  std::vector<LinkDown> links_down;
  std::vector<Received> received;
  std::vector<IncomingCall> calls;
  std::vector<CallId> callers_gone;  ///< Their connections closed.
  std::vector<stream::LogReadResult> log_reads;
  std::vector<stream::LogAppendResult> log_appends;
  bool shutdown_requested = false;
};

struct OutgoingReply {
  CallId id{};
  api::Reply reply;
};

struct Outbox {
  std::vector<Send> sends;
  std::vector<CloseLink> closes;
  std::vector<OutgoingReply> replies;
  std::vector<stream::LogAppend> log_appends;
  std::vector<stream::LogRead> log_reads;  ///< At most one open per stream.
  std::vector<LogLine> log_lines;
  bool may_exit = false;  ///< A graceful shutdown has finished.
};

/// @brief The tables of an entry; defined in the private header state.h.
struct State;

struct StateDeleter {
  void operator()(State* state) const;
};
using StatePtr = std::unique_ptr<State, StateDeleter>;

StatePtr MakeState(const Options& options, TimePoint now);

/// @brief Processes the inbox and all timers that are due at `now`.
Outbox Step(State& state, const Inbox& inbox, TimePoint now);

CounterTable& Counters(State& state);

/// @brief Returns the configuration in effect at this entry.
const Targets& CurrentTargets(const State& state);

/// @brief Whether the load balancer should route new callers to this entry.
bool Ready(const State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_ENTRY_H_
