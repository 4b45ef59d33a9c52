#ifndef SHALLOTLUG_BENCH_MEASUREMENT_H_
#define SHALLOTLUG_BENCH_MEASUREMENT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace shallotlug::bench {

/// @brief One measured value with its unit.
struct Measurement {
  std::string name;
  double value = 0;
  std::string unit;
  double baseline = 0;
  std::uint64_t seed = 0;
};

using Measurements = std::vector<Measurement>;

}  // namespace shallotlug::bench

#endif  // SHALLOTLUG_BENCH_MEASUREMENT_H_
