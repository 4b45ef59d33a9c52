#ifndef SHALLOTLUG_BASE_COUNTERS_H_
#define SHALLOTLUG_BASE_COUNTERS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace shallotlug {

/// @brief Index of one series in a CounterTable.
enum class CounterHandle : std::size_t {};

/// @brief One label of a series, such as `{"reason", "queue_full"}`.
struct Label {
  std::string name;
  std::string value;
};

/// @brief A monotonic counter or a gauge.
enum class CounterKind { kCounter, kGauge };

/// @brief The counters of one process. Not thread-safe: owned by the thread
/// that runs the role's logic.
class CounterTable {
 public:
  /// @brief Returns the series, and creates it at 0 on first use.
  /// @param name Prometheus metric name; counters end in `_total`.
  CounterHandle Define(std::string_view name,
                       const std::vector<Label>& labels = {},
                       CounterKind kind = CounterKind::kCounter);

  void Add(CounterHandle handle, std::int64_t amount = 1);
  void Set(CounterHandle handle, std::int64_t value);
  std::int64_t Value(CounterHandle handle) const;

  /// @brief Sum of all series of a metric; 0 when there is none.
  std::int64_t Sum(std::string_view name) const;

  /// @brief Defines the series if needed and adds to it. For rare events.
  void AddTo(std::string_view name,
             const std::vector<Label>& labels = {},
             std::int64_t amount = 1);

  /// @brief The Prometheus text exposition format, sorted by series.
  std::string ToPrometheusText() const;

 private:
  struct Series {
    std::string name;
    std::string labels;
    CounterKind kind = CounterKind::kCounter;
    std::int64_t value = 0;
  };

  std::vector<Series> series_;
  std::map<std::string, std::size_t> index_;
};

}  // namespace shallotlug

#endif  // SHALLOTLUG_BASE_COUNTERS_H_
