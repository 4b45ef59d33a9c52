#ifndef SHALLOTLUG_BASE_HISTOGRAMS_H_
#define SHALLOTLUG_BASE_HISTOGRAMS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/counters.h"

namespace shallotlug {

/// @brief Latency histograms of one process. Not thread-safe: owned by the
/// thread that runs the role's logic.
class HistogramTable {
 public:
  /// @brief Counts a duration; the series is created on first use.
  /// @param name Prometheus metric name, ending in `_seconds`.
  void Observe(std::string_view name,
               const std::vector<Label>& labels,
               Millis value);

  /// @brief The Prometheus text exposition format, sorted by series.
  std::string ToPrometheusText() const;

 private:
  /// Upper bounds, in ms. They cover a call on loopback and a wait for room.
  static constexpr std::array<std::int64_t, 12> kBounds = {
      2, 5, 10, 20, 50, 100, 250, 500, 1'000, 2'500, 10'000, 60'000};

  struct Series {
    std::array<std::int64_t, kBounds.size()> buckets{};  ///< Not cumulated.
    std::int64_t count = 0;
    std::int64_t sum_ms = 0;
  };

  std::map<std::string, std::map<std::string, Series>> metrics_;
};

}  // namespace shallotlug

#endif  // SHALLOTLUG_BASE_HISTOGRAMS_H_
