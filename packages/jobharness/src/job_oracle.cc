#include "shallotlug/jobharness/job_oracle.h"

#include <algorithm>

namespace shallotlug::jobharness {

using workload::EndReason;
using workload::RunRef;
using workload::TaskRef;

namespace {

// A cancelled job's tasks are no longer started after this.
constexpr Millis kCancelBound{3'000};
// Its tasks are gone after this time more, with no fault near.
constexpr Millis kStopBound{400};
// A task under which this many workers have crashed is not started this many
// times more.
constexpr int kCrashLimit = 3;
// A task may be given up after this many crashes.
constexpr int kCrashesToGiveUp = 2;

}  // namespace

void JobOracle::AddViolation(const std::string& rule, const TaskRef& task) {
  violations_.push_back(rule + ": " + workload::ToString(task));
}

void JobOracle::OnSent(const workload::Job& job) {
  jobs_[job.id].job = job;
}

void JobOracle::OnAccepted(const workload::Job& job) {
  OnSent(job);
  jobs_[job.id].accepted = true;
}

void JobOracle::OnRefused(const JobId& job) {
  JobState& state = jobs_[job];
  state.refused = true;
  if (state.started && !state.accepted) {
    violations_.push_back("refused but run: " + job.value);
  }
}

void JobOracle::OnCancelled(const JobId& job, TimePoint now) {
  JobState& state = jobs_[job];
  if (!state.cancelled) {
    state.cancelled = true;
    state.cancelled_at = now;
  }
}

bool JobOracle::StepDone(const JobState& job, int occurrence, int step) const {
  const workload::Step& definition =
      job.job.steps[static_cast<std::size_t>(step)];
  int done = 0;
  for (int n = 0; n < definition.count; ++n) {
    const auto it = tasks_.find({job.job.id, occurrence, step, n});
    done += it != tasks_.end() && it->second.done ? 1 : 0;
  }
  // One done end stands for a whole gang.
  return definition.gang ? done > 0 : done == definition.count;
}

bool JobOracle::MayFail(const JobState& job) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& it) {
    return it.first.job == job.job.id &&
           (it.second.failed_ends >= job.job.terms.max_attempts ||
            it.second.crashes >= kCrashesToGiveUp);
  });
}

void JobOracle::CheckOrder(const JobState& job, const TaskRef& task) {
  const auto& needed =
      job.job.steps[static_cast<std::size_t>(task.step)].depends_on;
  for (const int it : needed) {
    if (!StepDone(job, task.occurrence, it)) {
      AddViolation("started before a step that it depends on was done", task);
    }
  }
}

void JobOracle::OnStarted(const std::string& worker,
                          const RunRef& run,
                          const std::string& payload,
                          TimePoint now) {
  ++starts_;
  const auto job = jobs_.find(run.task.job);
  if (job == jobs_.end() || job->second.job.payload != payload) {
    AddViolation("started without being asked for", run.task);
    return;
  }
  job->second.started = true;
  if (job->second.refused && !job->second.accepted) {
    AddViolation("refused but run", run.task);
  }
  if (job->second.cancelled && now - job->second.cancelled_at > kCancelBound) {
    AddViolation("started after its job was cancelled", run.task);
  }
  Task& task = tasks_[run.task];
  if (!task.running.empty()) {
    AddViolation("two runs at the same time", run.task);
  }
  if (task.done_noted) {
    AddViolation("started again after it was done", run.task);
  }
  const workload::Step& step =
      job->second.job.steps[static_cast<std::size_t>(run.task.step)];
  if (!step.lasting && task.failures >= job->second.job.terms.max_attempts) {
    AddViolation("started after its attempts were used up", run.task);
  }
  if (task.crashes >= kCrashLimit &&
      ++task.starts_after_crashes >= kCrashLimit) {
    AddViolation("started again although it crashes its workers", run.task);
  }
  CheckOrder(job->second, run.task);
  task.running[worker] = run.run;
  task.started_at = now;
}

void JobOracle::CheckCancelled(TimePoint calm_since, TimePoint now) {
  for (auto& [ref, task] : tasks_) {
    const auto job = jobs_.find(ref.job);
    if (task.running.empty() || task.runs_on || job == jobs_.end() ||
        !job->second.cancelled) {
      continue;
    }
    const TimePoint from =
        std::max({calm_since, job->second.cancelled_at, task.started_at});
    if (now - from > kCancelBound + kStopBound) {
      task.runs_on = true;
      AddViolation("runs on after its job was cancelled", ref);
    }
  }
}

void JobOracle::OnEnded(const std::string& worker,
                        const RunRef& run,
                        EndReason reason) {
  Task& task = tasks_[run.task];
  task.running.erase(worker);
  if (reason == EndReason::kDone) {
    task.done = true;
  } else if (reason == EndReason::kFailed) {
    ++task.failed_ends;
  } else if (reason == EndReason::kAlone && !incomplete_gangs_allowed_ &&
             !jobs_[run.task.job].cancelled) {
    AddViolation("a gang's member waited alone", run.task);
  }
}

void JobOracle::OnWorkerCrashed(const std::string& worker) {
  for (auto& [ref, task] : tasks_) {
    task.crashes += task.running.erase(worker) > 0 ? 1 : 0;
  }
}

void JobOracle::OnNoted(const RunRef& run, EndReason reason) {
  Task& task = tasks_[run.task];
  if (reason == EndReason::kFailed) {
    ++task.failures;
  }
  task.done_noted |= reason == EndReason::kDone;
}

void JobOracle::OnCapacity(const std::string& worker,
                           const workload::Resources& free) {
  if (free.cpu_millis < 0 || free.memory_mib < 0 || free.accelerators < 0) {
    violations_.push_back("more than a worker's room: " + worker);
  }
}

void JobOracle::OnShown(const JobId& job, const std::string& state, TimePoint) {
  JobState& known = jobs_[job];
  known.shown = state;
  if (state == "failed" && !MayFail(known)) {
    violations_.push_back("shown as failed without cause: " + job.value);
  }
  if (state != "completed") {
    return;
  }
  for (int n = 0; n < static_cast<int>(known.job.steps.size()); ++n) {
    if (!StepDone(known, 0, n)) {
      violations_.push_back("shown as completed before all was done: " +
                            job.value);
      return;
    }
  }
}

void JobOracle::Finish() {
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted || job.cancelled) {
      continue;
    }
    if (job.shown != "completed" && job.shown != "failed") {
      violations_.push_back("lost: " + id.value + " is shown as '" + job.shown +
                            "'");
    }
  }
}

}  // namespace shallotlug::jobharness
