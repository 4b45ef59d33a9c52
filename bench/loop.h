#ifndef SHALLOTLUG_BENCH_LOOP_H_
#define SHALLOTLUG_BENCH_LOOP_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "shallotlug/decision/worker_health.h"

namespace shallotlug::bench::detail {

using decision::Allocation;
using decision::WaitingJob;

/// @brief Between two samples of the stranded accelerators.
constexpr Millis kSampleInterval{5000};

/// @brief What happens at an event.
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

/// @brief An event; those of one time are handled in order of their creation.
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

/// @brief Where a long job stands.
enum class State { kFuture, kWaiting, kPending, kRunning, kStopping, kDone };

/// @brief A long job of the workload.
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

/// @brief A live request of the workload.
struct Live {
  TimePoint arrived{};
  Millis service{};
  std::uint32_t avoid = 0;  ///< Workers at which it failed, for the baseline.
};

/// @brief A live request on a worker, and the jobs that it throttles.
struct LiveRun {
  std::size_t request = 0;
  std::size_t worker = 0;
  AcceleratorMask mask = 0;
  std::vector<std::pair<std::size_t, std::uint32_t>> throttled;
};

/// @brief One run of a workload on a fake clock. Its parts share the state:
/// live requests, long jobs, the baseline and the measurements.
class Loop {
 public:
  Loop(const Workload& workload,
       Policy policy,
       const decision::PlanOptions& options,
       std::uint64_t seed);

  /// @brief Runs until all work has ended.
  RunResult Run();

 private:
  void Push(TimePoint at, Kind kind, std::size_t row, std::uint32_t version);
  void PushArrivals();
  void Handle(const Event& it);
  void WantPlan();
  void AfterChange();
  void Record(std::size_t worker, const JobId& job, bool success);
  /// A probe is a short repeatable task of the entry's choice.
  void Probe();
  std::vector<WaitingJob> Waiting() const;
  void MakePlan();

  // Live requests.
  int ThrottleRoom(std::size_t worker) const;
  bool IsUsable(std::size_t worker) const;
  /// Whether no live request can start here before a gang ends.
  bool WaitsForever(std::size_t worker) const;
  void RouteRequest(std::size_t request);
  /// The accelerators that break up the fewest free blocks.
  static AcceleratorMask PickFree(AcceleratorMask free, int count);
  bool StartLive(std::size_t request, std::size_t worker);
  /// Takes accelerators of one more long job: one that is throttled already,
  /// else the smallest.
  void Throttle(LiveRun& run, int& missing);
  void EndLive(std::size_t n);
  void DrainQueues();
  /// An agent refuses queued requests that cannot finish in time any more; the
  /// entry sends them to another agent.
  void RerouteRefused();

  // Long jobs.
  void Progress(Job& job) const;
  void Resume(std::size_t row);
  int FaultyTask(const Job& job) const;
  void Place(std::size_t row, std::vector<Allocation> tasks, bool reclaims);
  bool Overlaps(const Job& a, const Job& b) const;
  void TryStart(std::size_t row);
  void Leave(std::size_t row, State state);
  void EndBatch(std::size_t row, std::uint32_t version);
  void FailBatch(std::size_t row, std::size_t worker);
  void Stop(const decision::Preemption& it);
  void Stopped(std::size_t row, std::uint32_t version);
  void Cancel(std::size_t row);

  // Baseline.
  void QueueRequest(std::size_t request);
  bool StartFirstFitLive(std::size_t request);
  void StartLiveBefore(TimePoint time);
  void StartFirstFit();

  // Measurements.
  /// Free accelerators that a shape can use: those in blocks of its size, in
  /// domains that hold the whole shape.
  int UsableBy(const JobShape& shape) const;
  AcceleratorMask FreeAt(std::size_t worker) const;
  void Sample();
  void Finish();

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

}  // namespace shallotlug::bench::detail

#endif  // SHALLOTLUG_BENCH_LOOP_H_
