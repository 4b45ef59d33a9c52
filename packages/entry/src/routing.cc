#include "routing.h"

#include <algorithm>

#include "random.h"

namespace shallotlug::entry {
namespace {

int LiveCapacity(const AgentReport& report) {
  return static_cast<int>(
      std::count_if(report.accelerators.begin(), report.accelerators.end(),
                    [](AcceleratorUse use) {
                      return use == AcceleratorUse::kFree ||
                             use == AcceleratorUse::kThrottleable;
                    }));
}

decision::LiveCandidate MakeCandidate(const State& state, const Agent& agent) {
  decision::LiveCandidate candidate;
  const bool heard =
      state.now - agent.last_heard < state.options.link_silence_limit;
  candidate.usable = agent.linked && agent.reported && heard &&
                     !agent.report.leaving && agent.report.backend_reachable;
  candidate.live_capacity = LiveCapacity(agent.report);
  candidate.in_flight = agent.in_flight;
  candidate.expected_wait = agent.report.expected_wait;
  return candidate;
}

// Stands in for decision::RouteLive until that package has its bodies.
std::optional<std::size_t> Route(
    const std::vector<decision::LiveCandidate>& candidates,
    std::uint64_t& random) {
  std::vector<std::size_t> usable;
  for (std::size_t n = 0; n < candidates.size(); ++n) {
    if (candidates[n].usable) {
      usable.push_back(n);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return usable[NextRandom(random) % usable.size()];
}

}  // namespace

Agent* PickAgent(State& state,
                 int accelerators,
                 const std::vector<AgentName>& excluded) {
  std::vector<decision::LiveCandidate> candidates;
  std::vector<Agent*> rows;
  for (auto& [name, agent] : state.agents) {
    if (std::find(excluded.begin(), excluded.end(), name) == excluded.end() &&
        agent.inventory.accelerators >= accelerators) {
      candidates.push_back(MakeCandidate(state, agent));
      rows.push_back(&agent);
    }
  }
  const std::optional<std::size_t> n = Route(candidates, state.random);
  return n ? rows[*n] : nullptr;
}

}  // namespace shallotlug::entry
