#ifndef SHALLOTLUG_SCHEDULER_SRC_EARLY_CANCELS_H_
#define SHALLOTLUG_SCHEDULER_SRC_EARLY_CANCELS_H_

#include <map>
#include <vector>

#include "shallotlug/scheduler/scheduler.h"

/// Cancels of jobs that are not in the log. Each is kept until the submission
/// of its job can no longer be on its way.
namespace shallotlug::scheduler {

/// @brief How long this process has known the cancels of unknown jobs.
struct CancelAges {
  std::map<JobId, TimePoint> known_since;
  TimePoint checked_at{};
};

/// @brief Adds the records that drop old cancels of unknown jobs, once a second
/// and as many as an append with these records has room for.
void AddOldCancels(CancelAges& ages,
                   const workload::Ledger& ledger,
                   std::vector<workload::RawRecord>& records,
                   Now now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_EARLY_CANCELS_H_
