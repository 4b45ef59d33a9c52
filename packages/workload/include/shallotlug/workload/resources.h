#ifndef SHALLOTLUG_WORKLOAD_RESOURCES_H_
#define SHALLOTLUG_WORKLOAD_RESOURCES_H_

#include <cstdint>

namespace shallotlug::workload {

/// @brief Resources required by a task or available on a worker.
struct Resources {
  std::int64_t cpu_millis = 0;  ///< Thousandths of a core.
  std::int64_t memory_mib = 0;
  std::int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  Resources& operator+=(const Resources& other) {
    cpu_millis += other.cpu_millis;
    memory_mib += other.memory_mib;
    accelerators += other.accelerators;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu_millis -= other.cpu_millis;
    memory_mib -= other.memory_mib;
    accelerators -= other.accelerators;
    return *this;
  }

  /// @brief Whether `need` fits into these resources.
  bool Holds(const Resources& need) const {
    return need.cpu_millis <= cpu_millis && need.memory_mib <= memory_mib &&
           need.accelerators <= accelerators;
  }
};

/// @brief Cores that one accelerator counts as when work is compared.
inline constexpr double kCoresPerAccelerator = 8.0;

/// @brief Cores in use, with accelerators counted as cores.
inline double CoreEquivalents(const Resources& it) {
  return static_cast<double>(it.cpu_millis) / 1000.0 +
         kCoresPerAccelerator * static_cast<double>(it.accelerators);
}

}  // namespace shallotlug::workload

#endif  // SHALLOTLUG_WORKLOAD_RESOURCES_H_
