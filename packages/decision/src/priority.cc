#include "priority.h"

#include <algorithm>
#include <cmath>

namespace shallotlug::decision {
namespace {

/// Target of a class that has none, which ranks it behind all others.
constexpr Millis kNoTarget = std::chrono::hours(24 * 7);

/// A gang within a rack or worker starts only where other work is stopped or
/// kept out, so its slack counts less. The gangs of the deployments have
/// targets of up to an hour and single tasks of 20 minutes; ordered by
/// slack alone, single tasks occupied every rack first.
constexpr Millis kGangSlackReduction = std::chrono::hours(1);

using Periods = std::unordered_map<ClassName, Millis>;

Periods PeriodsOf(const Targets& targets) {
  Periods periods;
  for (const VersionedTarget& it : targets.entries) {
    if (!it.removed && it.target.finish_within.count() > 0) {
      periods[it.target.name] = it.target.finish_within;
    }
  }
  return periods;
}

Millis RemainingTime(const WaitingJob& job, const RunTimes& run_times) {
  const Millis whole =
      ExpectedRunTime(run_times, job.job_class, job.declared_run_time);
  const double left = 1 - std::clamp(job.progress, 0.0, 1.0);
  return Millis(std::llround(static_cast<double>(whole.count()) * left));
}

Millis SlackOf(const WaitingJob& job,
               Millis period,
               Millis remaining,
               TimePoint now) {
  const Millis slack = job.submitted + period - now - remaining;
  if (slack.count() >= 0) {
    return slack;
  }
  const std::int64_t missed = (-slack.count()) / period.count() + 1;
  return slack + period * missed;
}

bool NeedsAdjacency(const JobShape& shape) {
  return shape.tasks > 1 && (shape.adjacency == Adjacency::kRack ||
                             shape.adjacency == Adjacency::kWorker);
}

bool MoreUrgent(const RankedJob& a, const RankedJob& b) {
  if (a.slack != b.slack) {
    return a.slack < b.slack;
  }
  if (a.job->submitted != b.job->submitted) {
    return a.job->submitted < b.job->submitted;
  }
  return a.job->id.value < b.job->id.value;
}

}  // namespace

std::vector<RankedJob> RankWaiting(const std::vector<WaitingJob>& waiting,
                                   const Targets& targets,
                                   const RunTimes& run_times,
                                   std::size_t limit,
                                   TimePoint now) {
  const Periods periods = PeriodsOf(targets);
  std::vector<RankedJob> ranked;
  ranked.reserve(waiting.size());
  for (const WaitingJob& it : waiting) {
    if (it.not_before > now) {
      continue;
    }
    const auto period = periods.find(it.job_class);
    const Millis remaining = RemainingTime(it, run_times);
    Millis slack =
        SlackOf(it, period == periods.end() ? kNoTarget : period->second,
                remaining, now);
    if (NeedsAdjacency(it.shape)) {
      slack -= kGangSlackReduction;
    }
    ranked.push_back({&it, remaining, slack});
  }
  const std::size_t count = std::min(limit, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), MoreUrgent);
  ranked.resize(count);
  return ranked;
}

Millis SlackOfRunning(const RunningJob& job,
                      const Targets& targets,
                      Millis remaining,
                      TimePoint now) {
  const auto it = std::find_if(targets.entries.begin(), targets.entries.end(),
                               [&](const VersionedTarget& entry) {
                                 return !entry.removed &&
                                        entry.target.name == job.job_class;
                               });
  const bool has_target =
      it != targets.entries.end() && it->target.finish_within.count() > 0;
  const Millis period = has_target ? it->target.finish_within : kNoTarget;
  const TimePoint submitted =
      job.submitted == TimePoint{} ? job.started : job.submitted;
  return submitted + period - now - remaining;
}

}  // namespace shallotlug::decision
