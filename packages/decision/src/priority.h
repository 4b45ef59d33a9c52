#ifndef SHALLOTLUG_DECISION_PRIORITY_H_
#define SHALLOTLUG_DECISION_PRIORITY_H_

#include <unordered_map>
#include <vector>

#include "shallotlug/decision/plan.h"

namespace shallotlug::decision {

/// @brief A waiting job with what its order depends on.
struct RankedJob {
  const WaitingJob* job = nullptr;
  Millis remaining{};  ///< Expected run time that is left.
  Millis slack{};      ///< Until it must start to finish inside its target.
};

/// @brief The `limit` most urgent jobs that may start now, least slack first.
/// A job that has missed its target gets a further period of the same length,
/// so it neither holds up work that can still be in time nor starves.
std::vector<RankedJob> RankWaiting(const std::vector<WaitingJob>& waiting,
                                   const Targets& targets,
                                   const RunTimes& run_times,
                                   std::size_t limit,
                                   TimePoint now);

/// @brief Slack of a running job if it stopped now; negative when it is late.
Millis SlackOfRunning(const RunningJob& job,
                      const Targets& targets,
                      Millis remaining,
                      TimePoint now);

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_PRIORITY_H_
