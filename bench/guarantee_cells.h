#ifndef SHALLOTLUG_BENCH_GUARANTEE_CELLS_H_
#define SHALLOTLUG_BENCH_GUARANTEE_CELLS_H_

#include <cstdint>

#include "measurement.h"

namespace shallotlug::bench {

/// @brief The feasibility check against fixed cells: how much work that cannot
/// be stopped is admitted, and how many guaranteed groups are left after one
/// worker failed.
Measurements MeasureGuaranteeCells(std::uint64_t seed);

}  // namespace shallotlug::bench

#endif  // SHALLOTLUG_BENCH_GUARANTEE_CELLS_H_
