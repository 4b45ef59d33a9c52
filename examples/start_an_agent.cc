// Runs the first step of an agent: it dials the entry that it knows.
#include <iostream>

#include "shallotlug/agent/agent.h"

int main() {
  using namespace shallotlug;
  agent::Options options;
  options.self = {AgentName("agent-1"), Incarnation{1}};
  options.entry_seeds = {"127.0.0.1:7001"};
  const TimePoint now(Millis(0));
  const auto state = agent::MakeState(options, now);
  for (const Dial& dial : agent::Step(*state, {}, now).dials) {
    std::cout << "dials " << dial.address << "\n";
  }
}
