#include "routing.h"

#include <algorithm>

namespace shallotlug::entry {
namespace {

// Maximum number of picks; a pick of a worker with too few accelerators is
// repeated.
constexpr int kMaxPicks = 8;

int CountUses(const AgentReport& report, AcceleratorUse use) {
  return static_cast<int>(
      std::count(report.accelerators.begin(), report.accelerators.end(), use));
}

// Accelerators of other live requests count, because they are released soon and
// the expected wait covers them.
int LiveCapacity(const AgentReport& report) {
  return CountUses(report, AcceleratorUse::kFree) +
         CountUses(report, AcceleratorUse::kThrottleable) +
         CountUses(report, AcceleratorUse::kLive);
}

decision::LiveCandidate MakeCandidate(const State& state, const Agent& agent) {
  const decision::HealthState health =
      decision::StateOf(state.health, agent.ref.name);
  decision::LiveCandidate candidate;
  candidate.usable = agent.linked && agent.reported && !agent.report.leaving &&
                     agent.report.backend_reachable &&
                     health != decision::HealthState::kQuarantined;
  candidate.probing = health == decision::HealthState::kProbing;
  candidate.live_capacity = LiveCapacity(agent.report);
  candidate.free = CountUses(agent.report, AcceleratorUse::kFree);
  candidate.in_flight = agent.in_flight;
  candidate.expected_wait = agent.report.expected_wait;
  return candidate;
}

// Marks rows as unusable for the duration of one pick.
class ScopedExclusions {
 public:
  explicit ScopedExclusions(State& state) : state_(state) {}
  ~ScopedExclusions() {
    for (const std::size_t row : rows_) {
      state_.candidates[row].usable = true;
    }
  }
  ScopedExclusions(const ScopedExclusions&) = delete;
  ScopedExclusions& operator=(const ScopedExclusions&) = delete;

  void Add(std::size_t row) {
    if (state_.candidates[row].usable) {
      state_.candidates[row].usable = false;
      rows_.push_back(row);
    }
  }

 private:
  State& state_;
  std::vector<std::size_t> rows_;
};

}  // namespace

void RefreshCandidate(State& state, Agent& agent) {
  if (!agent.routing_row) {
    agent.routing_row = state.candidates.size();
    state.candidates.emplace_back();
    state.candidate_agents.push_back(agent.ref.name);
  }
  state.candidates[*agent.routing_row] = MakeCandidate(state, agent);
}

void RemoveCandidate(State& state, const Agent& agent) {
  if (!agent.routing_row) {
    return;
  }
  const std::size_t row = *agent.routing_row;
  const AgentName moved = state.candidate_agents.back();
  state.candidates[row] = state.candidates.back();
  state.candidate_agents[row] = moved;
  state.agents.at(moved).routing_row = row;
  state.candidates.pop_back();
  state.candidate_agents.pop_back();
}

void RecordSent(State& state, Agent& agent) {
  ++agent.in_flight;
  if (agent.routing_row) {
    state.candidates[*agent.routing_row].in_flight = agent.in_flight;
  }
}

Agent* PickAgent(State& state,
                 int accelerators,
                 const std::vector<AgentName>& excluded) {
  ScopedExclusions exclusions(state);
  for (const AgentName& it : excluded) {
    const auto agent = state.agents.find(it);
    if (agent != state.agents.end() && agent->second.routing_row) {
      exclusions.Add(*agent->second.routing_row);
    }
  }
  for (int n = 0; n < kMaxPicks; ++n) {
    const std::optional<std::size_t> row =
        decision::RouteLive(state.candidates, accelerators, state.random);
    if (!row) {
      return nullptr;
    }
    Agent& agent = state.agents.at(state.candidate_agents[*row]);
    if (agent.inventory.accelerators >= accelerators) {
      return &agent;
    }
    exclusions.Add(*row);
  }
  return nullptr;
}

}  // namespace shallotlug::entry
