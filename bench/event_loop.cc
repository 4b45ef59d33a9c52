#include "event_loop.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <tuple>

#include "first_fit.h"
#include "shallotlug/decision/blocks.h"
#include "shallotlug/decision/live_route.h"
#include "shallotlug/decision/worker_health.h"

namespace shallotlug::bench {
namespace {

using decision::Allocation;
using decision::RunningJob;
using decision::WaitingJob;
using decision::WorkerIndex;

constexpr Millis kPlanInterval{50};
constexpr Millis kSampleInterval{5000};
constexpr Millis kCheckpoint{1000};
constexpr Millis kStop{100};
constexpr Millis kBatchFailure{1000};
constexpr Millis kLiveFailure{20};
constexpr Millis kRetryDelay{1000};
constexpr Millis kGiveUp = std::chrono::hours(12);

enum class Kind {
  kLiveArrive,
  kLiveEnd,
  kBatchArrive,
  kBatchEnd,
  kStopped,
  kCancel,
  kPlan,
  kSample,
};

struct Event {
  TimePoint at{};
  std::uint64_t order = 0;
  Kind kind{};
  std::size_t row = 0;
  std::uint32_t version = 0;

  bool operator>(const Event& other) const {
    return std::tie(at, order) > std::tie(other.at, other.order);
  }
};

enum class State { kFuture, kWaiting, kPending, kRunning, kStopping, kDone };

struct Job {
  WaitingJob waiting;
  State state = State::kFuture;
  std::vector<Allocation> tasks;
  double left = 0;  ///< Milliseconds of work.
  TimePoint updated{};
  int throttled_by = 0;  ///< Live requests on its accelerators.
  std::uint32_t version = 0;
  std::uint32_t attempt = 0;
  TimePoint placed{};
  bool has_started = false;
  bool reclaims = false;
};

struct Live {
  TimePoint arrived{};
  Millis service{};
  std::uint32_t avoid = 0;  ///< Workers at which it failed, for the baseline.
};

struct LiveRun {
  std::size_t request = 0;
  std::size_t worker = 0;
  AcceleratorMask mask = 0;
  std::vector<std::pair<std::size_t, std::uint32_t>> throttled;
};

class Loop {
 public:
  Loop(const Workload& workload,
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

  RunResult Run() {
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

 private:
  void Push(TimePoint at, Kind kind, std::size_t row, std::uint32_t version) {
    events_.push({at, order_++, kind, row, version});
  }

  void PushArrivals() {
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

  void Handle(const Event& it) {
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

  void WantPlan() {
    if (!plan_wanted_) {
      plan_wanted_ = true;
      Push(now_ + (planner_ ? kPlanInterval : Millis(0)), Kind::kPlan, 0, 0);
    }
  }

  // Live requests.

  int ThrottleRoom(std::size_t worker) const {
    AcceleratorMask mask = 0;
    for (const std::size_t n : running_) {
      const Job& job = jobs_[n];
      if (job.state == State::kRunning && job.tasks.size() == 1 &&
          job.tasks[0].worker == WorkerIndex(worker)) {
        mask |= job.tasks[0].mask;
      }
    }
    return std::popcount(mask & ~live_masks_[worker]);
  }

  bool IsUsable(std::size_t worker) const {
    return decision::StateOf(health_, in_.workers[worker].agent) ==
           decision::HealthState::kHealthy;
  }

  /// Whether no live request can start here before a gang ends.
  bool WaitsForever(std::size_t worker) const {
    return live_masks_[worker] == 0 && ThrottleRoom(worker) == 0 &&
           cluster_.Free(WorkerIndex(worker)) == 0;
  }

  void RouteRequest(std::size_t request) {
    std::vector<decision::LiveCandidate> candidates;
    for (std::size_t n = 0; n < in_.workers.size(); ++n) {
      decision::LiveCandidate it;
      it.usable = IsUsable(n);
      it.free = std::popcount(cluster_.Free(WorkerIndex(n)));
      it.live_capacity = it.free + ThrottleRoom(n);
      it.in_flight = std::popcount(live_masks_[n]);
      it.expected_wait =
          WaitsForever(n) ? Millis(std::chrono::hours(1))
                          : Millis(100) * static_cast<int>(queues_[n].size());
      candidates.push_back(it);
    }
    const auto chosen =
        decision::RouteLive(candidates, in_.live_accelerators, random_);
    const std::size_t worker = chosen.value_or(0);
    if (!StartLive(request, worker)) {
      // One class and one target, so arrival order is deadline order.
      queues_[worker].push_back(request);
    }
  }

  /// The accelerators that break up the fewest free blocks.
  static AcceleratorMask PickFree(AcceleratorMask free, int count) {
    AcceleratorMask mask = 0;
    for (int n = 0; n < count; ++n) {
      AcceleratorMask best = 0;
      int best_loss = 100;
      for (int bit = 0; bit < decision::kLargestBlock; ++bit) {
        const AcceleratorMask one = AcceleratorMask{1} << bit;
        int loss = 0;
        for (int level = 1; level < decision::kLevels; ++level) {
          loss += decision::CountBlocks(free, level) -
                  decision::CountBlocks(free & ~one, level);
        }
        if ((free & one) != 0 && loss < best_loss) {
          best = one;
          best_loss = loss;
        }
      }
      mask |= best;
      free &= ~best;
    }
    return mask;
  }

  bool StartLive(std::size_t request, std::size_t worker) {
    const AcceleratorMask free = cluster_.Free(WorkerIndex(worker));
    LiveRun run{request, worker, 0, {}};
    const int wanted = in_.live_accelerators;
    run.mask = PickFree(free, std::min(wanted, std::popcount(free)));
    int missing = wanted - std::popcount(run.mask);
    if (missing > 0 && (!planner_ || ThrottleRoom(worker) < missing)) {
      return false;
    }
    while (missing > 0) {
      Throttle(run, missing);
    }
    live_masks_[worker] |= run.mask;
    cluster_.SetLiveUse(WorkerIndex(worker), live_masks_[worker]);
    const Millis time =
        in_.faulty.contains(worker) ? kLiveFailure : requests_[request].service;
    Push(now_ + time, Kind::kLiveEnd, runs_.size(), 0);
    runs_.push_back(std::move(run));
    return true;
  }

  /// Takes accelerators of one more long job: one that is throttled already,
  /// else the smallest.
  void Throttle(LiveRun& run, int& missing) {
    std::size_t chosen = 0;
    std::pair<bool, int> best(true, 100);
    AcceleratorMask room = 0;
    for (const std::size_t n : running_) {
      const Job& job = jobs_[n];
      if (job.state != State::kRunning || job.tasks.size() != 1 ||
          job.tasks[0].worker != WorkerIndex(run.worker)) {
        continue;
      }
      const AcceleratorMask mask =
          job.tasks[0].mask & ~live_masks_[run.worker] & ~run.mask;
      const std::pair key(job.throttled_by == 0,
                          std::popcount(job.tasks[0].mask));
      if (mask != 0 && key < best) {
        best = key;
        chosen = n;
        room = mask;
      }
    }
    Job& job = jobs_[chosen];
    Progress(job);
    ++job.throttled_by;
    ++job.version;
    run.throttled.emplace_back(chosen, job.attempt);
    while (room != 0 && missing > 0) {
      run.mask |= room & (~room + 1);
      room &= room - 1;
      --missing;
    }
  }

  void EndLive(std::size_t n) {
    const LiveRun run = runs_[n];
    live_masks_[run.worker] &= ~run.mask;
    cluster_.SetLiveUse(WorkerIndex(run.worker), live_masks_[run.worker]);
    for (const auto& [row, attempt] : run.throttled) {
      Job& job = jobs_[row];
      if (job.attempt == attempt && job.state == State::kRunning) {
        Progress(job);
        --job.throttled_by;
        Resume(row);
      }
    }
    const bool failed = in_.faulty.contains(run.worker);
    Record(run.worker, JobId(), !failed);
    if (failed) {
      requests_[run.request].avoid |= 1U << run.worker;
      planner_ ? RouteRequest(run.request) : QueueRequest(run.request);
    } else {
      const auto latency =
          static_cast<double>((now_ - requests_[run.request].arrived).count());
      out_.live_latency.push_back(latency);
      out_.live_in_target +=
          latency <= static_cast<double>(in_.live_target.count()) ? 1 : 0;
    }
    AfterChange();
  }

  void DrainQueues() {
    for (std::size_t n = 0; n < queues_.size(); ++n) {
      while (!queues_[n].empty() && StartLive(queues_[n].front(), n)) {
        queues_[n].pop_front();
      }
    }
    RerouteRefused();
  }

  /// An agent refuses queued requests that cannot finish in time any more; the
  /// entry sends them to another agent.
  void RerouteRefused() {
    std::vector<std::size_t> refused;
    for (std::size_t n = 0; n < queues_.size(); ++n) {
      if (WaitsForever(n)) {
        refused.insert(refused.end(), queues_[n].begin(), queues_[n].end());
        queues_[n].clear();
      }
    }
    for (const std::size_t it : refused) {
      RouteRequest(it);
    }
  }

  // Long jobs.

  void Progress(Job& job) const {
    if (job.state == State::kRunning && job.throttled_by == 0) {
      job.left -= static_cast<double>((now_ - job.updated).count());
    }
    job.updated = now_;
  }

  void Resume(std::size_t row) {
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

  int FaultyTask(const Job& job) const {
    for (const Allocation& it : job.tasks) {
      const auto n = static_cast<std::size_t>(it.worker);
      if (in_.faulty.contains(n)) {
        return static_cast<int>(n);
      }
    }
    return -1;
  }

  void Place(std::size_t row, std::vector<Allocation> tasks, bool reclaims) {
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

  bool Overlaps(const Job& a, const Job& b) const {
    for (const Allocation& x : a.tasks) {
      for (const Allocation& y : b.tasks) {
        if (x.worker == y.worker && (x.mask & y.mask) != 0) {
          return true;
        }
      }
    }
    return false;
  }

  void TryStart(std::size_t row) {
    Job& job = jobs_[row];
    for (const Allocation& it : job.tasks) {
      if ((live_masks_[static_cast<std::size_t>(it.worker)] & it.mask) != 0) {
        return;
      }
    }
    for (const std::size_t n : running_) {
      const bool occupies = jobs_[n].state == State::kRunning ||
                            jobs_[n].state == State::kStopping;
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

  void Leave(std::size_t row, State state) {
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

  void EndBatch(std::size_t row, std::uint32_t version) {
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

  void FailBatch(std::size_t row, std::size_t worker) {
    Job& job = jobs_[row];
    Record(worker, job.waiting.id, false);
    job.waiting.failed_at.push_back(in_.workers[worker].agent);
    ++job.waiting.failures;
    job.waiting.not_before = now_ + kRetryDelay;
    Push(job.waiting.not_before, Kind::kPlan, 0, 0);
    out_.failed += job.waiting.repeatable ? 0 : 1;
    Leave(row, job.waiting.repeatable ? State::kWaiting : State::kDone);
  }

  void Stop(const decision::Preemption& it) {
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

  void Stopped(std::size_t row, std::uint32_t version) {
    if (jobs_[row].version == version) {
      Leave(row, State::kWaiting);
    }
  }

  void Cancel(std::size_t row) {
    if (jobs_[row].state != State::kDone) {
      Leave(row, State::kDone);
    }
  }

  void AfterChange() {
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

  void Record(std::size_t worker, const JobId& job, bool success) {
    if (!planner_) {
      return;
    }
    decision::RecordOutcome(health_, in_.workers[worker].agent, job, success,
                            now_);
    cluster_.SetSchedulable(WorkerIndex(worker), IsUsable(worker));
  }

  /// A probe is a short repeatable task of the entry's choice.
  void Probe() {
    decision::UpdateHealth(health_, now_);
    for (std::size_t n = 0; n < in_.workers.size(); ++n) {
      if (decision::StateOf(health_, in_.workers[n].agent) ==
          decision::HealthState::kProbing) {
        Record(n, JobId("probe"), !in_.faulty.contains(n));
      }
    }
  }

  std::vector<WaitingJob> Waiting() const {
    std::vector<WaitingJob> jobs;
    for (const Job& it : jobs_) {
      if (it.state == State::kWaiting) {
        jobs.push_back(it.waiting);
      }
    }
    return jobs;
  }

  void MakePlan() {
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

  // Baseline.

  void QueueRequest(std::size_t request) {
    fifo_.push_back(request);
    WantPlan();
  }

  bool StartFirstFitLive(std::size_t request) {
    for (std::size_t n = 0; n < in_.workers.size(); ++n) {
      if ((requests_[request].avoid >> n & 1U) == 0 && StartLive(request, n)) {
        return true;
      }
    }
    return false;
  }

  void StartLiveBefore(TimePoint time) {
    while (!fifo_.empty() && requests_[fifo_.front()].arrived <= time &&
           StartFirstFitLive(fifo_.front())) {
      fifo_.pop_front();
    }
  }

  void StartFirstFit() {
    std::uint64_t rows = 0;
    for (std::size_t n = 0; n < jobs_.size(); ++n) {
      Job& job = jobs_[n];
      if (job.state != State::kWaiting || job.waiting.not_before > now_) {
        continue;
      }
      StartLiveBefore(job.waiting.submitted);
      if (strict_ && !fifo_.empty() &&
          requests_[fifo_.front()].arrived <= job.waiting.submitted) {
        return;
      }
      std::vector<Allocation> tasks =
          FirstFit(cluster_, in_.workers.size(), job.waiting.shape,
                   job.waiting.failed_at, rows);
      if (!tasks.empty()) {
        Place(n, std::move(tasks), false);
      } else if (strict_) {
        return;
      }
    }
    StartLiveBefore(TimePoint::max());
  }

  // Measurements.

  /// Free accelerators that a shape can use: those in blocks of its size, in
  /// domains that hold the whole shape.
  int UsableBy(const JobShape& shape) const {
    std::map<std::string, int> blocks;
    const int level = decision::LevelFor(shape.accelerators_per_task);
    for (std::size_t n = 0; n < in_.workers.size(); ++n) {
      const decision::WorkerInfo& info = in_.workers[n];
      const std::string key =
          shape.adjacency == Adjacency::kRack     ? info.rack.value
          : shape.adjacency == Adjacency::kWorker ? info.agent.value
                                                  : "";
      blocks[key] += decision::CountBlocks(FreeAt(n), level);
    }
    int usable = 0;
    for (const auto& [key, count] : blocks) {
      usable += count >= shape.tasks ? count * decision::BlockSize(level) : 0;
    }
    return usable;
  }

  AcceleratorMask FreeAt(std::size_t worker) const {
    return in_.faulty.contains(worker) ? 0 : cluster_.Free(WorkerIndex(worker));
  }

  void Sample() {
    int free = 0;
    for (std::size_t n = 0; n < in_.workers.size(); ++n) {
      free += std::popcount(FreeAt(n));
    }
    std::vector<JobShape> shapes;
    for (const WaitingJob& it : Waiting()) {
      shapes.push_back(it.shape);
    }
    for (const VersionedTarget& it : in_.targets.entries) {
      const Guarantee& guarantee = it.target.guarantee;
      for (int n = 0; n < guarantee.groups; ++n) {
        shapes.push_back({1, guarantee.accelerators, guarantee.within});
      }
    }
    double asked = 0;
    double stranded = 0;
    for (const JobShape& it : shapes) {
      const double weight = it.tasks * it.accelerators_per_task;
      asked += weight;
      stranded += weight * (free - UsableBy(it));
    }
    if (free > 0 && asked > 0) {
      stranded_ += stranded / asked / free;
      out_.stranded_accelerators += stranded / asked;
      ++samples_;
    }
    if (open_jobs_ > 0) {
      Push(now_ + kSampleInterval, Kind::kSample, 0, 0);
      WantPlan();
    }
  }

  void Finish() {
    out_.stranded_share = samples_ > 0 ? stranded_ / samples_ : 0;
    out_.stranded_accelerators /= std::max(1, samples_);
    out_.mean_completion =
        out_.finished > 0 ? completion_ / static_cast<double>(out_.finished)
                          : 0;
  }

  const Workload& in_;
  bool planner_;
  bool strict_;
  decision::PlanOptions options_;
  std::uint64_t random_;
  decision::Cluster cluster_;
  decision::HealthTable health_;
  decision::RunTimes run_times_;
  std::vector<Job> jobs_;
  std::map<JobId, std::size_t> rows_;
  std::set<std::size_t> running_;
  std::vector<Live> requests_;
  std::vector<LiveRun> runs_;
  std::vector<AcceleratorMask> live_masks_;
  std::vector<std::deque<std::size_t>> queues_;
  std::deque<std::size_t> fifo_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t order_ = 0;
  TimePoint now_{};
  bool plan_wanted_ = false;
  std::size_t open_jobs_ = 0;
  double completion_ = 0;
  double stranded_ = 0;
  int samples_ = 0;
  RunResult out_;
};

}  // namespace

RunResult Run(const Workload& workload,
              Policy policy,
              const decision::PlanOptions& options,
              std::uint64_t seed) {
  return Loop(workload, policy, options, seed).Run();
}

}  // namespace shallotlug::bench
