#ifndef SHALLOTLUG_BENCH_FIGURE_H_
#define SHALLOTLUG_BENCH_FIGURE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace shallotlug::bench {

/// @brief One measured figure.
struct Figure {
  std::string name;
  double value = 0;
  std::string unit;
  double baseline = 0;
  std::uint64_t seed = 0;
};

using Figures = std::vector<Figure>;

}  // namespace shallotlug::bench

#endif  // SHALLOTLUG_BENCH_FIGURE_H_
