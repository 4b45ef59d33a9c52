#include "agents.h"

#include <algorithm>
#include <utility>

#include "attempts.h"
#include "cluster_sync.h"
#include "live.h"
#include "pause.h"
#include "peers.h"
#include "replies.h"
#include "routing.h"

namespace shallotlug::entry {
namespace {

// Time after which an unconfirmed configuration update is sent again; it may
// have been lost with its link.
constexpr Millis kConfigResend{2000};

void Close(State& state, LinkId link, const std::string& reason) {
  Count(state, "shallotlug_entry_links_closed_total", reason);
  state.out.closes.push_back({link, reason});
  OnLinkDown(state, link);
}

void DropAgentLink(State& state, const AgentName& name, LinkId link) {
  const auto it = state.agents.find(name);
  if (it == state.agents.end() || !it->second.linked ||
      it->second.link != link) {
    return;
  }
  it->second.linked = false;
  state.entry_reachability.stale = true;
  RefreshCandidate(state, it->second);
  SyncWorker(state, it->second);
  Log(state, LogLevel::kInfo, "agent_link_down", {{"agent", name.value}});
  OnAgentUnlinked(state, it->second);
}

bool IsSecondLiveIncarnation(const State& state, const AgentHello& hello) {
  const auto it = state.agents.find(hello.agent.name);
  return it != state.agents.end() && it->second.linked &&
         it->second.ref.incarnation != hello.agent.incarnation;
}

bool ChangesPlacement(const Agent& agent, const AgentReport& report) {
  return agent.report.accelerators != report.accelerators ||
         agent.report.leaving != report.leaving ||
         agent.report.backend_reachable != report.backend_reachable;
}

void Register(State& state, LinkId link, const AgentHello& hello) {
  Agent& agent = state.agents[hello.agent.name];
  const bool new_incarnation = agent.ref != hello.agent;
  if (new_incarnation) {
    const std::optional<std::size_t> routing_row = agent.routing_row;
    const std::optional<decision::WorkerIndex> worker = agent.worker;
    agent = Agent{};
    agent.ref = hello.agent;
    agent.routing_row = routing_row;
    agent.worker = worker;
  } else if (agent.linked && agent.link != link) {
    // The agent redialled before the loss of its old link was noticed.
    Close(state, agent.link, "replaced");
  }
  agent.linked = true;
  agent.link = link;
  agent.inventory = hello.inventory;
  agent.peer_address = hello.peer_address;
  agent.clock = {hello.now, state.now};
  agent.last_heard = state.now;
  agent.config_revision = hello.config_revision;
  agent.config_sent = 0;
  state.links[link].agent = hello.agent.name;
  RefreshCandidate(state, agent);
  SyncWorker(state, agent);
  Log(state, LogLevel::kInfo, "agent_link_up",
      {{"agent", hello.agent.name.value}});
  OnAgentLinked(state, agent, new_incarnation);
}

// Failures beyond this count in one report have no further effect.
constexpr std::int64_t kMaxFailuresPerReport = 8;

// Records the results of live requests sent by other entries. Otherwise an
// entry that mints ids for callers who send them through another entry would
// keep choosing a worker that fails every request.
void RecordResultsOfOtherEntries(State& state,
                                 Agent& agent,
                                 const AgentReport& report) {
  if (agent.reported) {
    const std::int64_t finished =
        report.live_finished - agent.report.live_finished - agent.own_finished;
    const std::int64_t failed =
        report.live_failed - agent.report.live_failed - agent.own_failed;
    if (finished > 0) {
      decision::RecordOutcome(state.health, agent.ref.name, {}, true,
                              state.now);
    }
    for (std::int64_t n = 0; n < std::min(failed, kMaxFailuresPerReport); ++n) {
      decision::RecordOutcome(state.health, agent.ref.name, {}, false,
                              state.now);
    }
  }
  agent.own_finished = 0;
  agent.own_failed = 0;
}

}  // namespace

void OnLinkUp(State& state, const LinkUp& up) {
  state.links[up.link] = {{}, state.now};
  EntryHello hello{state.options.self, state.options.data_centre,
                   stream::Current(state.config).revision, KnownEntries(state)};
  state.out.sends.push_back({up.link, std::move(hello)});
}

void OnLinkDown(State& state, LinkId link) {
  const auto it = state.links.find(link);
  if (it == state.links.end()) {
    return;
  }
  const AgentName name = it->second.agent;
  state.links.erase(it);
  if (!name.empty()) {
    DropAgentLink(state, name, link);
  }
}

void OnAgentHello(State& state, LinkId link, const AgentHello& hello) {
  if (!state.links.contains(link)) {
    return;
  }
  if (hello.agent.name.empty()) {
    Close(state, link, "nameless_agent");
    return;
  }
  if (IsSecondLiveIncarnation(state, hello)) {
    Log(state, LogLevel::kWarning, "second_incarnation_refused",
        {{"agent", hello.agent.name.value}});
    Close(state, link, "second_incarnation");
    return;
  }
  Register(state, link, hello);
}

void OnAgentReport(State& state, LinkId link, const AgentReport& report) {
  Agent* agent = AgentOfLink(state, link);
  if (agent == nullptr) {
    return;
  }
  // Compared before the old report is replaced.
  const bool changes_placement =
      !agent->reported || ChangesPlacement(*agent, report);
  std::vector<RunningAttempt> attempts = std::move(agent->report.attempts);
  state.entry_reachability.stale |=
      !agent->reported || agent->report.linked_entries != report.linked_entries;
  RecordResultsOfOtherEntries(state, *agent, report);
  agent->report = report;
  if (!report.has_attempts) {
    agent->report.attempts = std::move(attempts);
  }
  OnFreshReport(state, *agent, report);
  const bool changed =
      changes_placement ||
      agent->health != decision::StateOf(state.health, agent->ref.name);
  agent->reported = true;
  agent->clock = {report.now, state.now};
  agent->in_flight = 0;
  agent->config_revision = report.config_revision;
  RefreshCandidate(state, *agent);
  if (changed) {
    SyncWorker(state, *agent);
  }
  OnReportedAttempts(state, *agent);
}

Agent* AgentOfLink(State& state, LinkId link) {
  const auto it = state.links.find(link);
  if (it == state.links.end() || it->second.agent.empty()) {
    return nullptr;
  }
  const auto agent = state.agents.find(it->second.agent);
  return agent == state.agents.end() ? nullptr : &agent->second;
}

Agent* FindLinked(State& state, const AgentRef& ref) {
  const auto it = state.agents.find(ref.name);
  const bool found =
      it != state.agents.end() && it->second.ref == ref && it->second.linked;
  return found ? &it->second : nullptr;
}

bool HasOtherIncarnation(const State& state, const AgentRef& ref) {
  const auto it = state.agents.find(ref.name);
  return it != state.agents.end() && it->second.ref != ref;
}

void SendTo(State& state, const Agent& agent, Message message) {
  state.out.sends.push_back({agent.link, std::move(message)});
}

void CloseSilentLinks(State& state) {
  std::vector<LinkId> silent;
  for (const auto& [link, row] : state.links) {
    if (state.now - row.last_heard >= state.options.link_silence_limit) {
      silent.push_back(link);
    }
  }
  for (const LinkId link : silent) {
    Close(state, link, "silent");
  }
}

void RemoveExpiredAgents(State& state) {
  for (auto it = state.agents.begin(); it != state.agents.end();) {
    const Agent& agent = it->second;
    if (!agent.linked &&
        state.now - agent.last_heard > state.options.request_id_lifetime) {
      RemoveCandidate(state, agent);
      it = state.agents.erase(it);
    } else {
      ++it;
    }
  }
}

void SendHeartbeats(State& state) {
  if (state.now < state.next_heartbeat) {
    return;
  }
  state.next_heartbeat = state.now + state.options.heartbeat_interval;
  const EntryHeartbeat heartbeat{stream::Current(state.config).revision,
                                 KnownEntries(state)};
  for (const auto& [name, agent] : state.agents) {
    if (agent.linked) {
      SendTo(state, agent, heartbeat);
    }
  }
}

void PushConfig(State& state) {
  const Targets& targets = stream::Current(state.config);
  state.config_pushed = targets.revision;
  for (auto& [name, agent] : state.agents) {
    const bool lacks = agent.linked && agent.config_revision < targets.revision;
    const bool sent = agent.config_sent == targets.revision &&
                      state.now - agent.config_sent_at < kConfigResend;
    if (!lacks || sent) {
      continue;
    }
    SendTo(state, agent,
           stream::MakeConfigUpdate(targets, agent.config_revision));
    agent.config_sent = targets.revision;
    agent.config_sent_at = state.now;
    Count(state, "shallotlug_entry_config_pushes_total");
  }
}

}  // namespace shallotlug::entry
