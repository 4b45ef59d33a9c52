#include "fleet.h"

#include <algorithm>
#include <cmath>

namespace shallotlug::scheduler {

namespace {

// An agent without contact for this long gets no new runs.
constexpr Millis kMaxAgentSilence{2'500};

bool IsSchedulable(const AgentRow& agent,
                   const workload::Policy& policy,
                   TimePoint now) {
  return agent.heard && now - agent.heard_at < kMaxAgentSilence &&
         agent.worker_state == protocol::WorkerState::kPresent &&
         !agent.worker.draining && agent.orphans.empty() &&
         !policy.evacuated_data_centres.contains(agent.worker.data_centre);
}

}  // namespace

Fleet MakeFleet(const State& state,
                const workload::Policy& policy,
                TimePoint now) {
  Fleet fleet;
  fleet.reserve(state.agents.size());
  // All tables are in order of the agents' names.
  auto runs = state.runs.ByAgent().begin();
  const auto end = state.runs.ByAgent().end();
  auto speed = state.speeds.workers.begin();
  for (const auto& [name, agent] : state.agents) {
    FleetWorker worker;
    worker.name = &name;
    worker.agent = &agent;
    worker.free = agent.worker.capacity;
    worker.schedulable = IsSchedulable(agent, policy, now);
    worker.trust = TrustIn(state, agent, now);
    while (speed != state.speeds.workers.end() && speed->first < name) {
      ++speed;
    }
    if (speed != state.speeds.workers.end() && speed->first == name) {
      const double log_factor = LogFactor(speed->second, now);
      worker.time_factor = std::exp(log_factor);
      worker.speed_class = SpeedClass(log_factor);
    }
    while (runs != end && runs->first < name) {
      ++runs;
    }
    if (runs != end && runs->first == name) {
      worker.free -= runs->second.used;
    }
    fleet.push_back(worker);
  }
  return fleet;
}

int FindWorker(const Fleet& fleet, const AgentName& agent) {
  const auto it = std::lower_bound(
      fleet.begin(), fleet.end(), agent,
      [](const FleetWorker& a, const AgentName& b) { return *a.name < b; });
  return it != fleet.end() && *it->name == agent
             ? static_cast<int>(it - fleet.begin())
             : -1;
}

}  // namespace shallotlug::scheduler
