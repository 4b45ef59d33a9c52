#include <algorithm>

#include "never_placeable.h"
#include "shallotlug/decision/plan.h"
#include "tables.h"

namespace shallotlug::decision {
namespace {

/// Tasks of this shape that an empty worker holds. A task without accelerators
/// takes one slot.
int TasksThatFit(const WorkerRow& row, const JobShape& shape) {
  if (!row.alive) {
    return 0;
  }
  if (shape.accelerators_per_task == 0) {
    return row.info.slots;
  }
  const AcceleratorMask mask = AllOf(row) & ~row.other;
  return std::min(row.info.slots,
                  CountBlocks(mask, LevelFor(shape.accelerators_per_task)));
}

std::size_t DomainOf(const Cluster::Tables& tables,
                     Adjacency adjacency,
                     std::uint32_t worker) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return worker;
    case Adjacency::kRack:
      return tables.free->Row(worker).rack;
    case Adjacency::kDataCentre:
      return tables.free->Row(worker).data_centre;
    case Adjacency::kAny:
      return 0;
  }
  return 0;
}

const char* PlaceOf(Adjacency adjacency) {
  switch (adjacency) {
    case Adjacency::kWorker:
      return "no worker";
    case Adjacency::kRack:
      return "no rack";
    case Adjacency::kDataCentre:
      return "no data centre";
    case Adjacency::kAny:
      return "the cluster cannot";
  }
  return "";
}

}  // namespace

int MostTasks(const Cluster::Tables& tables,
              const JobShape& shape,
              const std::set<std::uint32_t>& avoid) {
  std::vector<int> tasks(std::max(tables.workers.size(), std::size_t{1}));
  for (std::uint32_t n = 0; n < tables.workers.size(); ++n) {
    if (!avoid.contains(n)) {
      tasks[DomainOf(tables, shape.adjacency, n)] +=
          TasksThatFit(tables.workers[n], shape);
    }
  }
  return *std::max_element(tasks.begin(), tasks.end());
}

std::string WhyNeverPlaceable(const Cluster& cluster, const JobShape& shape) {
  if (shape.tasks < 1 || shape.accelerators_per_task < 0 ||
      shape.accelerators_per_task > kLargestBlock) {
    return "a shape needs at least 1 task and 0 to 8 accelerators for each";
  }
  const int most = MostTasks(cluster.tables(), shape, {});
  if (most >= shape.tasks) {
    return "";
  }
  return std::string(PlaceOf(shape.adjacency)) + " hold" +
         (shape.adjacency == Adjacency::kAny ? " " : "s ") +
         std::to_string(shape.tasks) + " tasks of " +
         std::to_string(shape.accelerators_per_task) +
         " accelerators; the most that fit are " + std::to_string(most);
}

}  // namespace shallotlug::decision
