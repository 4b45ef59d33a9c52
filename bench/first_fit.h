#ifndef SHALLOTLUG_BENCH_FIRST_FIT_H_
#define SHALLOTLUG_BENCH_FIRST_FIT_H_

#include <cstdint>
#include <vector>

#include "shallotlug/decision/cluster.h"

namespace shallotlug::bench {

/// @brief The baseline's placement: scans the workers in order of their rows
/// and takes the first that fit. Counts the rows it looks at.
std::vector<decision::Allocation> FirstFit(const decision::Cluster& cluster,
                                           std::size_t workers,
                                           const JobShape& shape,
                                           const std::vector<AgentName>& avoid,
                                           std::uint64_t& rows);

}  // namespace shallotlug::bench

#endif  // SHALLOTLUG_BENCH_FIRST_FIT_H_
