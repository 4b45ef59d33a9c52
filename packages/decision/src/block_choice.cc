#include "block_choice.h"

#include <algorithm>
#include <map>

#include "tables.h"

namespace shallotlug::decision {
namespace {

struct PricedBlock {
  Allocation block;
  double cost = 0;
};

std::uint32_t DomainRow(const Cluster::Tables& tables,
                        Adjacency adjacency,
                        std::uint32_t worker) {
  const FreeRow& row = tables.free->Row(worker);
  switch (adjacency) {
    case Adjacency::kWorker:
      return worker;
    case Adjacency::kRack:
      return row.rack;
    case Adjacency::kDataCentre:
      return row.data_centre;
    case Adjacency::kAny:
      return 0;
  }
  return 0;
}

void AddBlocks(std::uint32_t worker,
               int accelerators,
               const BlockCost& cost,
               std::vector<PricedBlock>& rows) {
  const int size = BlockSize(LevelFor(accelerators));
  for (int start = 0; start < kLargestBlock; start += size) {
    const AcceleratorMask mask = LowMask(accelerators) << start;
    if (const std::optional<double> price = cost(worker, mask)) {
      rows.push_back({{WorkerIndex{worker}, mask}, *price});
    }
  }
}

BlockChoice Cheapest(std::vector<PricedBlock> rows, int count) {
  std::stable_sort(rows.begin(), rows.end(),
                   [](const PricedBlock& a, const PricedBlock& b) {
                     return a.cost < b.cost;
                   });
  BlockChoice choice;
  for (int n = 0; n < count; ++n) {
    const PricedBlock& it = rows[static_cast<std::size_t>(n)];
    choice.tasks.push_back(it.block);
    choice.largest = it.cost;
    choice.sum += it.cost;
  }
  return choice;
}

}  // namespace

std::vector<BlockChoice> CheapestBlocks(const Cluster::Tables& tables,
                                        const JobShape& shape,
                                        const BlockCost& cost) {
  std::map<std::uint32_t, std::vector<PricedBlock>> domains;
  for (std::uint32_t n = 0; n < tables.workers.size(); ++n) {
    const WorkerRow& row = tables.workers[n];
    if (row.alive && row.schedulable) {
      AddBlocks(n, shape.accelerators_per_task, cost,
                domains[DomainRow(tables, shape.adjacency, n)]);
    }
  }
  std::vector<BlockChoice> choices;
  for (auto& [domain, rows] : domains) {
    if (static_cast<int>(rows.size()) >= shape.tasks) {
      choices.push_back(Cheapest(std::move(rows), shape.tasks));
    }
  }
  return choices;
}

}  // namespace shallotlug::decision
