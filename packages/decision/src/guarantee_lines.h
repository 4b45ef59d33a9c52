#ifndef SHALLOTLUG_DECISION_GUARANTEE_LINES_H_
#define SHALLOTLUG_DECISION_GUARANTEE_LINES_H_

#include <vector>

#include "shallotlug/base/work.h"
#include "shallotlug/decision/blocks.h"

namespace shallotlug::decision {

/// @brief One class's guarantee, in aligned blocks. A group of up to 8
/// accelerators is one block; a larger one is several whole workers in one
/// domain.
struct GuaranteeLine {
  ClassName name;
  CustomerName customer;
  int groups = 0;
  int units = 1;  ///< Blocks of a group.
  int level = 0;  ///< Level of each block.
  Adjacency within = Adjacency::kAny;

  bool operator==(const GuaranteeLine&) const = default;
};

/// @brief The guarantees in force, in the order of the targets.
std::vector<GuaranteeLine> LinesOf(const Targets& targets);

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_GUARANTEE_LINES_H_
