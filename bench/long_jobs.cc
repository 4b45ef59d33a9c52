// Long jobs of the event loop.
#include <algorithm>
#include <cmath>
#include <utility>

#include "loop.h"

namespace shallotlug::bench::detail {

using decision::RunningJob;

namespace {

constexpr Millis kCheckpoint{1000};
constexpr Millis kStop{100};
constexpr Millis kBatchFailure{1000};
constexpr Millis kRetryDelay{1000};

}  // namespace

void Loop::Progress(Job& job) const {
  if (job.state == State::kRunning && job.throttled_by == 0) {
    job.left -= static_cast<double>((now_ - job.updated).count());
  }
  job.updated = now_;
}

void Loop::Resume(std::size_t row) {
  Job& job = jobs_[row];
  ++job.version;
  if (job.throttled_by > 0) {
    return;
  }
  const bool fails = FaultyTask(job) >= 0;
  const double left = std::max(0.0, job.left);
  const Millis time = fails ? kBatchFailure : Millis(std::llround(left));
  Push(now_ + time, Kind::kBatchEnd, row, job.version);
}

int Loop::FaultyTask(const Job& job) const {
  for (const Allocation& it : job.tasks) {
    const auto n = static_cast<std::size_t>(it.worker);
    if (in_.faulty.contains(n)) {
      return static_cast<int>(n);
    }
  }
  return -1;
}

void Loop::Place(std::size_t row,
                 std::vector<Allocation> tasks,
                 bool reclaims) {
  Job& job = jobs_[row];
  const WaitingJob& it = job.waiting;
  job.state = State::kPending;
  job.tasks = std::move(tasks);
  job.placed = now_;
  job.reclaims = reclaims;
  ++job.attempt;
  ++job.version;
  job.throttled_by = 0;
  cluster_.AddJob({{it.id, job.attempt},
                   it.customer,
                   it.job_class,
                   it.shape,
                   it.repeatable,
                   it.checkpointable,
                   false,
                   now_,
                   it.declared_run_time,
                   it.progress,
                   job.tasks});
  running_.insert(row);
  TryStart(row);
}

bool Loop::Overlaps(const Job& a, const Job& b) const {
  for (const Allocation& x : a.tasks) {
    for (const Allocation& y : b.tasks) {
      if (x.worker == y.worker && (x.mask & y.mask) != 0) {
        return true;
      }
    }
  }
  return false;
}

void Loop::TryStart(std::size_t row) {
  Job& job = jobs_[row];
  for (const Allocation& it : job.tasks) {
    if ((live_masks_[static_cast<std::size_t>(it.worker)] & it.mask) != 0) {
      return;
    }
  }
  for (const std::size_t n : running_) {
    const bool occupies =
        jobs_[n].state == State::kRunning || jobs_[n].state == State::kStopping;
    if (n != row && occupies && Overlaps(job, jobs_[n])) {
      return;
    }
  }
  job.state = State::kRunning;
  job.updated = now_;
  if (job.reclaims) {
    out_.guaranteed_start.push_back(
        static_cast<double>((now_ - job.placed).count()));
  }
  if (!job.has_started && FaultyTask(job) < 0) {
    job.has_started = true;
    const JobShape& shape = job.waiting.shape;
    if (shape.tasks * shape.accelerators_per_task == 16) {
      out_.gang16_wait.push_back(
          static_cast<double>((now_ - job.waiting.submitted).count()));
    }
  }
  Resume(row);
}

void Loop::Leave(std::size_t row, State state) {
  Job& job = jobs_[row];
  ++job.version;
  ++job.attempt;
  job.state = state;
  job.tasks.clear();
  cluster_.RemoveJob(job.waiting.id);
  running_.erase(row);
  if (state == State::kDone) {
    --open_jobs_;
    out_.batch_done = static_cast<double>(now_.time_since_epoch().count());
  }
  AfterChange();
  WantPlan();
}

void Loop::EndBatch(std::size_t row, std::uint32_t version) {
  Job& job = jobs_[row];
  if (job.version != version || job.state != State::kRunning) {
    return;
  }
  const int faulty = FaultyTask(job);
  if (faulty >= 0) {
    return FailBatch(row, static_cast<std::size_t>(faulty));
  }
  for (const Allocation& it : job.tasks) {
    Record(static_cast<std::size_t>(it.worker), job.waiting.id, true);
  }
  decision::Learn(run_times_, job.waiting.job_class,
                  job.waiting.declared_run_time, in_.batch[row].actual);
  ++out_.finished;
  completion_ += static_cast<double>((now_ - job.waiting.submitted).count());
  Leave(row, State::kDone);
}

void Loop::FailBatch(std::size_t row, std::size_t worker) {
  Job& job = jobs_[row];
  Record(worker, job.waiting.id, false);
  job.waiting.failed_at.push_back(in_.workers[worker].agent);
  ++job.waiting.failures;
  job.waiting.not_before = now_ + kRetryDelay;
  Push(job.waiting.not_before, Kind::kPlan, 0, 0);
  out_.failed += job.waiting.repeatable ? 0 : 1;
  Leave(row, job.waiting.repeatable ? State::kWaiting : State::kDone);
}

void Loop::Stop(const decision::Preemption& it) {
  const std::size_t row = rows_.at(it.job);
  Job& job = jobs_[row];
  Progress(job);
  ++job.version;
  const bool never_ran = job.state == State::kPending;
  job.state = State::kStopping;
  RunningJob running = *cluster_.FindJob(it.job);
  running.stopping = true;
  cluster_.AddJob(running);
  (it.for_migration ? out_.migrated : out_.preempted) += 1;
  if (!never_ran && !job.waiting.checkpointable) {
    job.left = static_cast<double>(in_.batch[row].actual.count());
  }
  job.waiting.progress =
      1 - job.left / static_cast<double>(in_.batch[row].actual.count());
  const Millis time = never_ran                    ? Millis(0)
                      : job.waiting.checkpointable ? kCheckpoint
                                                   : kStop;
  Push(now_ + time, Kind::kStopped, row, job.version);
}

void Loop::Stopped(std::size_t row, std::uint32_t version) {
  if (jobs_[row].version == version) {
    Leave(row, State::kWaiting);
  }
}

void Loop::Cancel(std::size_t row) {
  if (jobs_[row].state != State::kDone) {
    Leave(row, State::kDone);
  }
}

}  // namespace shallotlug::bench::detail
