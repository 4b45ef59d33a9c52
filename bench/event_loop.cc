#include "event_loop.h"

#include <utility>

#include "loop.h"

namespace shallotlug::bench::detail {

using decision::WorkerIndex;

namespace {

constexpr Millis kGiveUp = std::chrono::hours(12);
constexpr Millis kPlanInterval{50};

}  // namespace

Loop::Loop(const Workload& workload,
           Policy policy,
           const decision::PlanOptions& options,
           std::uint64_t seed)
    : in_(workload),
      planner_(policy == Policy::kPlanner),
      strict_(policy == Policy::kStrictFifo),
      options_(options),
      random_(seed),
      live_masks_(workload.workers.size()),
      queues_(workload.workers.size()) {
  for (const decision::WorkerInfo& it : workload.workers) {
    cluster_.AddWorker(it);
  }
  for (const BatchArrival& it : workload.batch) {
    Job job;
    job.waiting = it.job;
    job.left = static_cast<double>(it.actual.count());
    rows_[it.job.id] = jobs_.size();
    jobs_.push_back(std::move(job));
  }
}

RunResult Loop::Run() {
  PushArrivals();
  while (!events_.empty() && now_ < TimePoint(kGiveUp)) {
    const Event it = events_.top();
    events_.pop();
    now_ = it.at;
    Handle(it);
  }
  Finish();
  return std::move(out_);
}

void Loop::Push(TimePoint at,
                Kind kind,
                std::size_t row,
                std::uint32_t version) {
  events_.push({at, order_++, kind, row, version});
}

void Loop::PushArrivals() {
  for (std::size_t n = 0; n < in_.live.size(); ++n) {
    Push(in_.live[n].at, Kind::kLiveArrive, n, 0);
    requests_.push_back({in_.live[n].at, in_.live[n].service, 0});
  }
  for (std::size_t n = 0; n < jobs_.size(); ++n) {
    Push(jobs_[n].waiting.submitted, Kind::kBatchArrive, n, 0);
    if (in_.batch[n].cancel_at != TimePoint::max()) {
      Push(in_.batch[n].cancel_at, Kind::kCancel, n, 0);
    }
  }
  open_jobs_ = jobs_.size();
  Push(TimePoint(kSampleInterval), Kind::kSample, 0, 0);
}

void Loop::Handle(const Event& it) {
  switch (it.kind) {
    case Kind::kLiveArrive:
      return planner_ ? RouteRequest(it.row) : QueueRequest(it.row);
    case Kind::kLiveEnd:
      return EndLive(it.row);
    case Kind::kBatchArrive:
      jobs_[it.row].state = State::kWaiting;
      return WantPlan();
    case Kind::kBatchEnd:
      return EndBatch(it.row, it.version);
    case Kind::kStopped:
      return Stopped(it.row, it.version);
    case Kind::kCancel:
      return Cancel(it.row);
    case Kind::kPlan:
      plan_wanted_ = false;
      return planner_ ? MakePlan() : StartFirstFit();
    case Kind::kSample:
      return Sample();
  }
}

void Loop::WantPlan() {
  if (!plan_wanted_) {
    plan_wanted_ = true;
    Push(now_ + (planner_ ? kPlanInterval : Millis(0)), Kind::kPlan, 0, 0);
  }
}

void Loop::AfterChange() {
  for (const std::size_t n : std::set<std::size_t>(running_)) {
    if (jobs_[n].state == State::kPending) {
      TryStart(n);
    }
  }
  if (planner_) {
    DrainQueues();
  } else if (!fifo_.empty()) {
    WantPlan();
  }
}

void Loop::Record(std::size_t worker, const JobId& job, bool success) {
  if (!planner_) {
    return;
  }
  decision::RecordOutcome(health_, in_.workers[worker].agent, job, success,
                          now_);
  cluster_.SetSchedulable(WorkerIndex(worker), IsUsable(worker));
}

void Loop::Probe() {
  decision::UpdateHealth(health_, now_);
  for (std::size_t n = 0; n < in_.workers.size(); ++n) {
    if (decision::StateOf(health_, in_.workers[n].agent) ==
        decision::HealthState::kProbing) {
      Record(n, JobId("probe"), !in_.faulty.contains(n));
    }
  }
}

std::vector<WaitingJob> Loop::Waiting() const {
  std::vector<WaitingJob> jobs;
  for (const Job& it : jobs_) {
    if (it.state == State::kWaiting) {
      jobs.push_back(it.waiting);
    }
  }
  return jobs;
}

void Loop::MakePlan() {
  Probe();
  const decision::Plan plan = decision::MakePlan(
      cluster_, Waiting(), in_.targets, run_times_, options_, now_);
  std::set<JobId> moved;
  for (const decision::Preemption& it : plan.preemptions) {
    if (it.for_migration) {
      moved.insert(it.job);
    }
    Stop(it);
  }
  for (const decision::Placement& it : plan.placements) {
    const bool reclaims =
        !it.victims.empty() && !moved.contains(it.victims.front());
    Place(rows_.at(it.job), it.tasks, reclaims);
  }
  DrainQueues();
}

}  // namespace shallotlug::bench::detail

namespace shallotlug::bench {

RunResult Run(const Workload& workload,
              Policy policy,
              const decision::PlanOptions& options,
              std::uint64_t seed) {
  return detail::Loop(workload, policy, options, seed).Run();
}

}  // namespace shallotlug::bench
