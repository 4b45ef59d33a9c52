#ifndef SHALLOTLUG_DECISION_BLOCK_CHOICE_H_
#define SHALLOTLUG_DECISION_BLOCK_CHOICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "shallotlug/decision/cluster.h"

namespace shallotlug::decision {

/// @brief Blocks for all tasks of a shape, with the largest and the summed
/// cost of them.
struct BlockChoice {
  std::vector<Allocation> tasks;
  double largest = 0;
  double sum = 0;
};

/// @brief Cost of taking a block; nothing when it cannot be taken.
using BlockCost =
    std::function<std::optional<double>(std::uint32_t, AcceleratorMask)>;

/// @brief For each domain of the shape's adjacency, the cheapest blocks that
/// hold the shape. Domains without enough blocks are left out.
std::vector<BlockChoice> CheapestBlocks(const Cluster::Tables& tables,
                                        const JobShape& shape,
                                        const BlockCost& cost);

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_BLOCK_CHOICE_H_
