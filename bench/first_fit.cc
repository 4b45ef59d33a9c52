#include "first_fit.h"

#include <algorithm>
#include <map>
#include <string>

#include "shallotlug/decision/blocks.h"

namespace shallotlug::bench {
namespace {

using decision::Allocation;
using decision::WorkerIndex;
using decision::WorkerInfo;

std::string DomainOf(const WorkerInfo& info, Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return info.agent.value;
    case Adjacency::kRack:
      return info.data_centre.value + "/" + info.rack.value;
    case Adjacency::kDataCentre:
      return info.data_centre.value;
    case Adjacency::kAny:
      return "";
  }
  return "";
}

}  // namespace

std::vector<Allocation> FirstFit(const decision::Cluster& cluster,
                                 std::size_t workers,
                                 const JobShape& shape,
                                 const std::vector<AgentName>& avoid,
                                 std::uint64_t& rows) {
  const int level = decision::LevelFor(shape.accelerators_per_task);
  const int size = decision::BlockSize(level);
  std::map<std::string, std::vector<Allocation>> domains;
  for (std::uint32_t n = 0; n < workers; ++n) {
    ++rows;
    const WorkerInfo& info = cluster.Info(WorkerIndex{n});
    if (std::find(avoid.begin(), avoid.end(), info.agent) != avoid.end()) {
      continue;
    }
    const AcceleratorMask free = cluster.Free(WorkerIndex{n});
    std::vector<Allocation>& tasks = domains[DomainOf(info, shape.adjacency)];
    for (int start = 0; start < decision::kLargestBlock; start += size) {
      const AcceleratorMask block = decision::LowMask(size) << start;
      if ((free & block) != block) {
        continue;
      }
      tasks.push_back(
          {WorkerIndex{n}, decision::LowMask(shape.accelerators_per_task)
                               << start});
      if (static_cast<int>(tasks.size()) == shape.tasks) {
        return tasks;
      }
    }
  }
  return {};
}

}  // namespace shallotlug::bench
