#ifndef SHALLOTLUG_EXECUTOR_SRC_CRASHES_H_
#define SHALLOTLUG_EXECUTOR_SRC_CRASHES_H_

#include <optional>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/protocol/sync.h"

namespace shallotlug::executor {

/// @brief A run that was, or may have been, on a worker at its end.
struct PresentRun {
  workload::RunRef run;
  std::optional<TimePoint>
      started_at;       ///< When the worker confirmed its start.
  bool listed = false;  ///< The worker has listed it as active.
};

/// @brief Reports the runs that were on a worker that ended without notice,
/// and that the worker had confirmed.
/// @param runs All runs that may have been there.
/// @param heard_at When the worker last answered or sent a heartbeat.
std::vector<protocol::CrashReport> ReportCrash(
    const std::vector<PresentRun>& runs,
    TimePoint heard_at);

}  // namespace shallotlug::executor

#endif  // SHALLOTLUG_EXECUTOR_SRC_CRASHES_H_
