#ifndef SHALLOTLUG_BENCH_EVENT_LOOP_H_
#define SHALLOTLUG_BENCH_EVENT_LOOP_H_

#include <cstdint>
#include <vector>

#include "workload.h"

namespace shallotlug::bench {

/// @brief Which decisions drive the run.
enum class Policy {
  kPlanner,     ///< The functions of the decision package.
  kFirstFit,    ///< First fit in order of arrival, without preemption; what
                ///< does not fit is passed over.
  kStrictFifo,  ///< The same, but nothing starts before earlier work has.
};

/// @brief What one run measured. Times in milliseconds.
struct RunResult {
  std::vector<double> live_latency;
  std::size_t live_in_target = 0;
  double batch_done = 0;                 ///< When the last long job finished.
  double mean_completion = 0;            ///< Long jobs, from submission.
  std::vector<double> gang16_wait;       ///< Submission to first start.
  std::vector<double> guaranteed_start;  ///< First plan to start of reclaims.
  double stranded_share = 0;         ///< Of free accelerators, time average.
  double stranded_accelerators = 0;  ///< Time average.
  std::size_t finished = 0;
  std::size_t failed = 0;  ///< Jobs that are not repeatable and failed.
  std::size_t preempted = 0;
  std::size_t migrated = 0;
};

/// @brief Runs a workload over a fake clock until all work has ended.
///
/// Live requests follow the agent's rule: free accelerators, then those of
/// single-worker long jobs, which are throttled meanwhile, else a queue in
/// order of deadline. The baseline has one queue in order of arrival for all
/// work; what does not fit is passed over. Slots are not modelled.
RunResult Run(const Workload& workload,
              Policy policy,
              const decision::PlanOptions& options,
              std::uint64_t seed);

}  // namespace shallotlug::bench

#endif  // SHALLOTLUG_BENCH_EVENT_LOOP_H_
