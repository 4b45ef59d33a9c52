#ifndef SHALLOTLUG_SCHEDULER_SRC_TRIAGE_H_
#define SHALLOTLUG_SCHEDULER_SRC_TRIAGE_H_

#include <optional>

#include "shallotlug/workload/job.h"
#include "state.h"

/// What callers lose when a job waits or a run is stopped. Answers the load of
/// more work than room: those wait whose callers lose least by it.
namespace shallotlug::scheduler {

/// @brief What the end of a job is worth to its caller.
enum class Credit {
  kFull,  ///< Within its objective.
  kLate,
  kNone,
};

/// @brief Until when the end of an occurrence earns full and any credit.
struct Deadlines {
  workload::WallTime objective{};
  workload::WallTime zero_credit_after{};
};

Deadlines DeadlinesOf(const OccurrenceRow& row);

Credit CreditAt(const Deadlines& deadlines, workload::WallTime end);

/// @brief Estimated duration of the longest chain of steps behind this one.
Millis TimeBehind(const workload::Job& job, int step);

/// @brief Time until a run ends, by its progress, or by its task's estimate
/// while it has made little. Nothing for a task that lasts, and for one without
/// an estimate that has made little progress.
std::optional<Millis> ExpectedTimeLeft(const OccurrenceRow& row,
                                       const workload::TaskRef& task,
                                       const RunRow& run,
                                       TimePoint now);

/// @brief Remaining time of a job from one of its runs on.
struct Outlook {
  Millis if_left{0};
  Millis if_stopped{0};  ///< With the time to find room again.
};

/// @brief The outlook of a run's job, by the progress of the run, or by its
/// estimate while it has made little.
Outlook OutlookOf(const OccurrenceRow& row,
                  const workload::TaskRef& task,
                  const RunRow& run,
                  TimePoint now);

/// @brief Whether the job's caller loses credit when the run is stopped now.
bool LosesCredit(const Deadlines& deadlines,
                 const Outlook& outlook,
                 workload::WallTime now);

/// @brief What the job of a step can still earn if the step starts now.
/// @param time_factor Of the fastest worker.
Credit CreditIfStarted(const OccurrenceRow& row,
                       int step,
                       double time_factor,
                       workload::WallTime now);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_TRIAGE_H_
