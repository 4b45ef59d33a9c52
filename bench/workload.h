#ifndef SHALLOTLUG_BENCH_WORKLOAD_H_
#define SHALLOTLUG_BENCH_WORKLOAD_H_

#include <cstdint>
#include <set>
#include <vector>

#include "shallotlug/decision/plan.h"

namespace shallotlug::bench {

/// @brief The two deployments of section 1 of the design page.
enum class Deployment { kFargekort, kAuthority };

struct LiveArrival {
  TimePoint at{};
  Millis service{};
};

struct BatchArrival {
  decision::WaitingJob job;
  Millis actual{};
  TimePoint cancel_at = TimePoint::max();
};

/// @brief Arrivals of one run, the same for every policy.
struct Workload {
  std::vector<decision::WorkerInfo> workers;
  std::set<std::size_t> faulty;  ///< Workers that fail everything.
  Targets targets;
  ClassName live_class;
  int live_accelerators = 1;
  Millis live_target{};
  std::vector<LiveArrival> live;
  std::vector<BatchArrival> batch;
};

/// @brief Offered load as a share of the workers that do not fail.
Workload MakeWorkload(Deployment deployment, double load, std::uint64_t seed);

}  // namespace shallotlug::bench

#endif  // SHALLOTLUG_BENCH_WORKLOAD_H_
