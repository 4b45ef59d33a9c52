#include "triage.h"

#include <algorithm>
#include <vector>

namespace shallotlug::scheduler {

using workload::WallTime;

namespace {

// A job earns no credit after this multiple of its objective.
constexpr int kZeroCreditFactor = 3;
// Below this progress the estimate tells more of the duration.
constexpr int kMinPercent = 5;
constexpr int kAllPercent = 100;
// Time until a stopped run has been placed and restored again.
constexpr Millis kRestartTime{2'000};

/// @brief Time that the run's task takes in all.
Millis DurationOf(const RunRow& run, Millis estimate, Millis worked) {
  // A resumed run did part of its progress before.
  return run.percent >= kMinPercent && !run.resumed
             ? worked * kAllPercent / run.percent
             : std::max(estimate, worked);
}

Millis WorkedTime(const RunRow& run, TimePoint now) {
  return run.state == RunState::kRunning ? now - run.running_since : Millis{0};
}

}  // namespace

Deadlines DeadlinesOf(const OccurrenceRow& row) {
  return {row.due + row.objective_span,
          row.due + kZeroCreditFactor * row.objective_span};
}

Credit CreditAt(const Deadlines& deadlines, WallTime end) {
  if (end <= deadlines.objective) {
    return Credit::kFull;
  }
  return end <= deadlines.zero_credit_after ? Credit::kLate : Credit::kNone;
}

Millis TimeBehind(const workload::Job& job, int step) {
  std::vector<Millis> behind(job.steps.size(), Millis{0});
  for (std::size_t n = job.steps.size(); n-- > 0;) {
    for (const int it : job.steps[n].depends_on) {
      Millis& before = behind[static_cast<std::size_t>(it)];
      before = std::max(before, job.steps[n].estimate + behind[n]);
    }
  }
  return behind[static_cast<std::size_t>(step)];
}

std::optional<Millis> ExpectedTimeLeft(const OccurrenceRow& row,
                                       const workload::TaskRef& task,
                                       const RunRow& run,
                                       TimePoint now) {
  const workload::Step& step = StepOf(row, task.step);
  const bool known = step.estimate > Millis{0} || run.percent >= kMinPercent;
  if (step.lasting || !known) {
    return std::nullopt;
  }
  const Millis worked = WorkedTime(run, now);
  return DurationOf(run, step.estimate, worked) - worked;
}

Outlook OutlookOf(const OccurrenceRow& row,
                  const workload::TaskRef& task,
                  const RunRow& run,
                  TimePoint now) {
  const workload::Step& step = StepOf(row, task.step);
  const Millis worked = WorkedTime(run, now);
  const Millis duration = DurationOf(run, step.estimate, worked);
  const Millis left = duration - worked;
  const Millis behind = TimeBehind(*row.job, task.step);
  return {left + behind,
          (step.saves_checkpoints ? left : duration) + behind + kRestartTime};
}

bool LosesCredit(const Deadlines& deadlines,
                 const Outlook& outlook,
                 WallTime now) {
  return CreditAt(deadlines, now + outlook.if_left) !=
         CreditAt(deadlines, now + outlook.if_stopped);
}

Credit CreditIfStarted(const OccurrenceRow& row,
                       int step,
                       double time_factor,
                       WallTime now) {
  const auto needed = std::chrono::duration_cast<Millis>(
      time_factor * StepOf(row, step).estimate);
  return CreditAt(DeadlinesOf(row), now + needed + TimeBehind(*row.job, step));
}

}  // namespace shallotlug::scheduler
