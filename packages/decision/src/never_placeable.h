#ifndef SHALLOTLUG_DECISION_NEVER_PLACEABLE_H_
#define SHALLOTLUG_DECISION_NEVER_PLACEABLE_H_

#include <set>

#include "tables.h"

namespace shallotlug::decision {

/// @brief The most tasks of this shape that one domain of its adjacency holds
/// when it is empty, without the workers in `avoid`.
int MostTasks(const Cluster::Tables& tables,
              const JobShape& shape,
              const std::set<std::uint32_t>& avoid);

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_NEVER_PLACEABLE_H_
