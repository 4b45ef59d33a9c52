#ifndef SHALLOTLUG_BENCH_SCALE_H_
#define SHALLOTLUG_BENCH_SCALE_H_

#include <cstdint>

#include "measurement.h"

namespace shallotlug::bench {

/// @brief Work of one placement at up to 14,000 workers and 240,000 tasks,
/// against a scan of all workers.
Measurements MeasureScale(std::uint64_t seed);

/// @brief 10,000 cancellations and 19,000 submissions at once.
Measurements MeasureWaves(std::uint64_t seed);

}  // namespace shallotlug::bench

#endif  // SHALLOTLUG_BENCH_SCALE_H_
