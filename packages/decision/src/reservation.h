#ifndef SHALLOTLUG_DECISION_RESERVATION_H_
#define SHALLOTLUG_DECISION_RESERVATION_H_

#include <unordered_map>
#include <vector>

#include "priority.h"
#include "tables.h"

namespace shallotlug::decision {

/// @brief Blocks kept for jobs that are urgent but do not fit yet. Later jobs
/// use them only if they end before the reservation starts (backfilling).
/// Source: D. Lifka, "The ANL/IBM SP Scheduling System", JSSPP 1995.
class Reservations {
 public:
  /// @brief Reserves the domain in which the shape is free soonest.
  void Add(const Cluster::Tables& tables,
           const RunTimes& run_times,
           const JobShape& shape,
           TimePoint now);

  bool empty() const { return rows_.empty(); }
  std::size_t size() const { return count_; }

  /// @brief Reserved accelerators that are not available to a job that ends at
  /// `end`.
  AcceleratorMask Blocked(std::uint32_t worker, TimePoint end) const;

 private:
  struct Row {
    AcceleratorMask mask = 0;
    TimePoint start{};
  };
  std::unordered_map<std::uint32_t, std::vector<Row>> rows_;
  std::size_t count_ = 0;
};

/// @brief When a running job is expected to end.
TimePoint ExpectedEnd(const RunningJob& job,
                      const RunTimes& run_times,
                      TimePoint now);

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_RESERVATION_H_
