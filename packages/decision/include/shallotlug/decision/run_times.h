#ifndef SHALLOTLUG_DECISION_RUN_TIMES_H_
#define SHALLOTLUG_DECISION_RUN_TIMES_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"

namespace shallotlug::decision {

/// @brief Run-time statistics of the jobs and requests of one class.
struct RunTimeEstimate {
  std::int64_t samples = 0;
  Millis median{};
  Millis p90{};
  Millis p99{};
  /// Median of actual over declared run time.
  double declared_factor = 1;
  /// Recent mean error of the two predictors, as |ln(actual / predicted)|.
  double median_error = 0;
  double declared_error = 0;
  std::vector<Millis> recent;          ///< Ring of the latest run times.
  std::vector<double> recent_factors;  ///< Ring of actual over declared.
  std::size_t next_recent = 0;
  std::size_t next_factor = 0;
};

/// @brief Estimates by class.
struct RunTimes {
  std::unordered_map<ClassName, RunTimeEstimate> classes;
};

/// @brief Records a completed run. `declared` is 0 when none was declared.
void Learn(RunTimes& run_times,
           const ClassName& name,
           Millis declared,
           Millis actual);

/// @brief Expected run time: the declaration is a prior that fades as samples
/// come in.
Millis ExpectedRunTime(const RunTimes& run_times,
                       const ClassName& name,
                       Millis declared);

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_RUN_TIMES_H_
