// Places a gang of 16 accelerators over two workers of one rack.
#include <iostream>

#include "shallotlug/decision/plan.h"

int main() {
  using namespace shallotlug;
  decision::Cluster cluster;
  for (const char* agent : {"agent-1", "agent-2", "agent-3"}) {
    cluster.AddWorker(
        {AgentName(agent), DataCentreName("bergen"), RackName("r1"), 8, 8});
  }
  decision::WaitingJob job;
  job.id = JobId("reconstruction-1");
  job.shape = {2, 8, Adjacency::kRack};
  const auto plan =
      decision::MakePlan(cluster, {job}, Targets{}, {}, {}, TimePoint());
  for (const auto& placement : plan.placements) {
    for (const auto& task : placement.tasks) {
      std::cout << placement.job << " on " << cluster.Info(task.worker).agent
                << "\n";
    }
  }
  return plan.placements.size() == 1 ? 0 : 1;
}
