#include "reservation.h"

#include <algorithm>
#include <cmath>

#include "block_choice.h"
#include "victims.h"

namespace shallotlug::decision {

TimePoint ExpectedEnd(const RunningJob& job,
                      const RunTimes& run_times,
                      TimePoint now) {
  const Millis whole =
      ExpectedRunTime(run_times, job.job_class, job.declared_run_time);
  const double left = 1 - std::clamp(job.progress, 0.0, 1.0);
  const TimePoint end =
      job.started +
      Millis(std::llround(static_cast<double>(whole.count()) * left));
  // A job that has exceeded its estimate is expected to run half as long again.
  return end > now ? end : now + (now - job.started) / 2 + Millis(1);
}

void Reservations::Add(const Cluster::Tables& tables,
                       const RunTimes& run_times,
                       const JobShape& shape,
                       TimePoint now) {
  const auto free_at = [&](std::uint32_t worker,
                           AcceleratorMask mask) -> std::optional<double> {
    const WorkerRow& row = tables.workers[worker];
    if ((mask & ~(AllOf(row) & ~row.other)) != 0) {
      return std::nullopt;
    }
    TimePoint end = now;
    for (const RunningJob* it : JobsOn(row, mask)) {
      end =
          std::max(end, it->stopping ? now : ExpectedEnd(*it, run_times, now));
    }
    if ((Blocked(worker, TimePoint::max()) & mask) != 0) {
      return std::nullopt;
    }
    return static_cast<double>((end - now).count());
  };
  const std::vector<BlockChoice> choices =
      CheapestBlocks(tables, shape, free_at);
  const auto best = std::min_element(
      choices.begin(), choices.end(),
      [](const BlockChoice& a, const BlockChoice& b) {
        return a.largest != b.largest ? a.largest < b.largest : a.sum < b.sum;
      });
  if (best == choices.end()) {
    return;
  }
  const TimePoint start = now + Millis(std::llround(best->largest));
  for (const Allocation& it : best->tasks) {
    rows_[RowOf(it.worker)].push_back({it.mask, start});
  }
  ++count_;
}

AcceleratorMask Reservations::Blocked(std::uint32_t worker,
                                      TimePoint end) const {
  const auto it = rows_.find(worker);
  if (it == rows_.end()) {
    return 0;
  }
  AcceleratorMask mask = 0;
  for (const Row& row : it->second) {
    mask |= end > row.start ? row.mask : 0;
  }
  return mask;
}

}  // namespace shallotlug::decision
