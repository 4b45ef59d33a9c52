#ifndef SHALLOTLUG_AGENT_AGENT_H_
#define SHALLOTLUG_AGENT_AGENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "shallotlug/agent/backend.h"
#include "shallotlug/base/clock.h"
#include "shallotlug/base/counters.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/base/log_line.h"
#include "shallotlug/protocol/links.h"

/// Logic of the agent: the only authority over what runs on its worker.
namespace shallotlug::agent {

/// @brief Fixed properties of an agent. Defaults are those of docs/design.md.
struct Options {
  AgentRef self;
  WorkerInventory inventory;
  std::string peer_address;              ///< `ip:port` of the peer listener.
  std::vector<std::string> entry_seeds;  ///< `ip:port`; often one balancer.

  Millis heartbeat_interval{1000};
  Millis link_silence_limit{3000};
  Millis hold{6000};
  Millis renew_interval{1000};
  Millis worker_lease{6000};
  Millis pause_threshold{2000};
  Millis seed_redial_interval{5000};
  Millis reserve_timeout{5000};
  std::size_t live_queue_limit = 64;
  std::size_t known_request_limit = 200'000;
  std::uint64_t random_seed = 1;

  /// Guards that tests may disable to show that a check catches their absence.
  struct Guards {
    bool remember_requests = true;
    bool check_incarnation = true;
    bool check_start_before = true;
    bool run_until = true;
    bool refuse_when_leaving = true;
    bool drain_on_shutdown = true;
    bool monotonic_config = true;
    bool check_pause = true;
  } guards;
};

struct Inbox {
  std::vector<LinkUp> links_up;
  std::vector<LinkDown> links_down;
  std::vector<Received> received;
  std::vector<BackendReport> backend_reports;
  bool backend_unreachable = false;
  bool shutdown_requested = false;
};

struct Outbox {
  std::vector<Send> sends;
  std::vector<Dial> dials;
  std::vector<CloseLink> closes;
  std::vector<AddressedCommand> backend_commands;
  std::vector<LogLine> log_lines;
  bool may_exit = false;  ///< A graceful shutdown has finished.
};

/// @brief The tables of an agent; defined in the private header state.h.
struct State;

struct StateDeleter {
  void operator()(State* state) const;
};
using StatePtr = std::unique_ptr<State, StateDeleter>;

StatePtr MakeState(const Options& options, TimePoint now);

/// @brief Handles everything that arrived and everything that is due at `now`.
Outbox Step(State& state, const Inbox& inbox, TimePoint now);

CounterTable& Counters(State& state);

/// @brief The configuration in force at this agent.
const Targets& CurrentTargets(const State& state);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_AGENT_H_
