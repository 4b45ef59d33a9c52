#ifndef SHALLOTLUG_BENCH_JOB_SCHEDULER_H_
#define SHALLOTLUG_BENCH_JOB_SCHEDULER_H_

#include <cstdint>

#include "measurement.h"

namespace shallotlug::bench {

/// @brief Cost of the scheduler of `serve-jobs` at 11 to 1,000 workers: its own
/// processor time and record bytes for each placed task, and its longest step,
/// with arrivals that grow with the workers.
Measurements MeasureJobScheduler(std::uint64_t seed);

}  // namespace shallotlug::bench

#endif  // SHALLOTLUG_BENCH_JOB_SCHEDULER_H_
