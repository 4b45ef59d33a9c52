#include "scale.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <string>

#include "first_fit.h"
#include "random.h"
#include "shallotlug/decision/blocks.h"
#include "shallotlug/decision/plan.h"

namespace shallotlug::bench {
namespace {

using decision::Allocation;
using decision::Cluster;
using decision::WaitingJob;
using decision::WorkerIndex;
using Clock = std::chrono::steady_clock;

constexpr TimePoint kNow{Millis(1'000'000)};
constexpr int kWorkers = 14'000;
constexpr int kTasks = 240'000;
constexpr int kCentres = 39;
constexpr int kTeams = 170;
constexpr int kSlots = 24;

double MillisSince(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

/// Fills a cluster with gangs of up to 32 tasks; 16 of each worker's tasks use
/// no accelerators, as 240,000 tasks do not fit on 112,000 accelerators.
class BigCluster {
 public:
  BigCluster(int workers, std::uint64_t seed)
      : workers_(workers), random_(seed) {
    for (int n = 0; n < workers; ++n) {
      cluster.AddWorker({AgentName("w" + std::to_string(n)),
                         DataCentreName("d" + std::to_string(n % kCentres)),
                         RackName("r" + std::to_string(n / kCentres / 3)), 8,
                         kSlots});
    }
    AddTargets();
    Fill();
  }

  Cluster cluster;
  Targets targets;
  std::vector<JobId> jobs;
  int tasks = 0;

 private:
  int Below(int n) {
    return static_cast<int>(decision::NextRandom(random_) %
                            static_cast<std::uint64_t>(n));
  }

  void AddTargets() {
    for (int n = 0; n < kTeams; ++n) {
      ClassTarget target;
      target.name = ClassName("class" + std::to_string(n));
      target.customer = CustomerName("team" + std::to_string(n));
      target.finish_within = std::chrono::hours(4);
      if (n % 2 == 0) {
        target.guarantee = {std::max(1, workers_ / 1000), 8,
                            Adjacency::kWorker};
      }
      targets.entries.push_back({target, 1, false});
    }
  }

  void Add(JobShape shape, std::vector<Allocation> where) {
    const int team = Below(kTeams);
    decision::RunningJob job;
    job.attempt = {JobId("run" + std::to_string(jobs.size())), 1};
    job.customer = CustomerName("team" + std::to_string(team));
    job.job_class = ClassName("class" + std::to_string(team));
    job.shape = shape;
    job.checkpointable = Below(2) == 0;
    job.started = kNow - Millis(Below(100'000));
    job.declared_run_time = std::chrono::hours(3);
    job.tasks = std::move(where);
    tasks += shape.tasks;
    jobs.push_back(job.attempt.job);
    cluster.AddJob(job);
  }

  void Fill() {
    const auto wanted = static_cast<int>(static_cast<std::int64_t>(kTasks) *
                                         workers_ / kWorkers);
    for (int n = 0; n < workers_; ++n) {
      const WorkerIndex worker{static_cast<std::uint32_t>(n)};
      for (int block = 0; block < 4; ++block) {
        if (Below(10) < 9) {
          Add({1, 2, Adjacency::kAny}, {{worker, decision::BlockAt(1, block)}});
        }
      }
    }
    int next = 0;
    while (tasks < wanted) {
      const int count = std::min(32, wanted - tasks);
      std::vector<Allocation> where;
      for (int n = 0; n < count; ++n) {
        where.push_back({WorkerIndex(static_cast<std::uint32_t>(next)), 0});
        next = (next + 1) % workers_;
      }
      Add({count, 0, Adjacency::kAny}, std::move(where));
    }
  }

  int workers_;
  std::uint64_t random_;
};

WaitingJob MakeWaiting(int n, JobShape shape) {
  WaitingJob job;
  job.id = JobId("new" + std::to_string(n));
  job.customer = CustomerName("team" + std::to_string(n % kTeams));
  job.job_class = ClassName("class" + std::to_string(n % kTeams));
  job.shape = shape;
  job.declared_run_time = std::chrono::hours(1);
  job.submitted = kNow;
  return job;
}

struct Cost {
  double rows = 0;
  double millis = 0;
  bool placed = false;
};

Cost PlanCost(const BigCluster& big, const WaitingJob& job) {
  const auto start = Clock::now();
  const decision::Plan plan =
      MakePlan(big.cluster, {job}, big.targets, {}, {}, kNow);
  return {static_cast<double>(plan.rows_examined), MillisSince(start),
          !plan.placements.empty()};
}

/// A planner without an index looks at every worker for the best one.
Cost ScanCost(const BigCluster& big, int workers, const WaitingJob& job) {
  const auto start = Clock::now();
  std::uint64_t rows = 0;
  const JobShape whole{workers * 8, 8, job.shape.adjacency};
  FirstFit(big.cluster, static_cast<std::size_t>(workers), whole, {}, rows);
  return {static_cast<double>(rows), MillisSince(start), true};
}

void AddScale(Measurements& out,
              const BigCluster& big,
              int workers,
              const std::string& name,
              const WaitingJob& job,
              std::uint64_t seed) {
  PlanCost(big, job);
  const Cost plan = PlanCost(big, job);
  const Cost scan = ScanCost(big, workers, job);
  const std::string prefix =
      "placement_" + name + "_" + std::to_string(workers);
  out.push_back({prefix + "_rows", plan.rows, "rows", scan.rows, seed});
  out.push_back({prefix + "_time", plan.millis, "ms", scan.millis, seed});
  out.push_back({prefix + "_placed", plan.placed ? 1.0 : 0.0, "jobs", 1, seed});
}

/// Ends all work of a class, so that its guarantee is unused, and reclaims one
/// group after each of a number of changes of other work.
void AddReclaim(Measurements& out,
                BigCluster& big,
                int workers,
                std::uint64_t seed) {
  constexpr int kChanges = 200;
  const WaitingJob job = MakeWaiting(0, {1, 8, Adjacency::kAny});
  std::vector<JobId> others;
  for (const JobId& id : big.jobs) {
    const decision::RunningJob& it = *big.cluster.FindJob(id);
    if (it.job_class == job.job_class) {
      big.cluster.RemoveJob(id);
    } else if (it.shape.accelerators_per_task > 0) {
      others.push_back(id);
    }
  }
  // Without a free worker, the guarantee is reclaimed from other work.
  for (int n = 0; n < workers; ++n) {
    const WorkerIndex worker{static_cast<std::uint32_t>(n)};
    const AcceleratorMask free = big.cluster.Free(worker);
    if (free == decision::LowMask(decision::kLargestBlock)) {
      big.cluster.SetOtherUse(worker, 1);
    }
  }
  PlanCost(big, job);
  Cost sum;
  Cost largest;
  int placed = 0;
  for (int n = 0; n < kChanges; ++n) {
    const auto index = static_cast<std::size_t>(n) * others.size() / kChanges;
    decision::RunningJob moved = *big.cluster.FindJob(others[index]);
    big.cluster.RemoveJob(others[index]);
    if (n % 2 == 0) {
      moved.started = kNow + Millis(n);
      big.cluster.AddJob(moved);
    }
    const Cost cost = PlanCost(big, job);
    sum.rows += cost.rows;
    sum.millis += cost.millis;
    largest.rows = std::max(largest.rows, cost.rows);
    largest.millis = std::max(largest.millis, cost.millis);
    placed += cost.placed ? 1 : 0;
  }
  const Cost scan = ScanCost(big, workers, job);
  const std::string prefix = "reclaim_after_change_" + std::to_string(workers);
  out.push_back(
      {prefix + "_rows_mean", sum.rows / kChanges, "rows", scan.rows, seed});
  out.push_back({prefix + "_rows_max", largest.rows, "rows", scan.rows, seed});
  out.push_back(
      {prefix + "_time_mean", sum.millis / kChanges, "ms", scan.millis, seed});
  out.push_back(
      {prefix + "_time_max", largest.millis, "ms", scan.millis, seed});
  out.push_back({prefix + "_placed", static_cast<double>(placed), "jobs",
                 kChanges, seed});
}

}  // namespace

Measurements MeasureScale(std::uint64_t seed) {
  Measurements out;
  for (const int workers : {1750, 3500, 7000, 14'000}) {
    BigCluster big(workers, seed);
    AddScale(out, big, workers, "single",
             MakeWaiting(1, {1, 2, Adjacency::kAny}), seed);
    AddScale(out, big, workers, "rack",
             MakeWaiting(1, {4, 1, Adjacency::kRack}), seed);
    AddScale(out, big, workers, "gang32",
             MakeWaiting(1, {32, 2, Adjacency::kAny}), seed);
    AddScale(out, big, workers, "guaranteed",
             MakeWaiting(0, {1, 8, Adjacency::kAny}), seed);
    AddReclaim(out, big, workers, seed);
  }
  return out;
}

Measurements MeasureWaves(std::uint64_t seed) {
  Measurements out;
  for (const int part : {2, 1}) {
    BigCluster big(kWorkers, seed);
    const std::string suffix = part == 1 ? "" : "_half";
    const int cancellations = 10'000 / part;
    auto start = Clock::now();
    for (int n = 0; n < cancellations; ++n) {
      big.cluster.RemoveJob(big.jobs[static_cast<std::size_t>(n)]);
    }
    out.push_back(
        {"cancellations" + suffix, MillisSince(start), "ms", 170, seed});
    std::vector<WaitingJob> waiting;
    for (int n = 0; n < 19'000 / part; ++n) {
      waiting.push_back(
          MakeWaiting(n, {1 + n % 2, 1 << (n % 3), Adjacency::kAny}));
    }
    double longest = 0;
    double sum = 0;
    int plans = 0;
    while (!waiting.empty() && plans < 20) {
      start = Clock::now();
      const decision::Plan plan =
          MakePlan(big.cluster, waiting, big.targets, {}, {}, kNow);
      const double took = MillisSince(start);
      longest = std::max(longest, took);
      sum += took;
      ++plans;
      std::set<JobId> placed;
      for (const decision::Placement& it : plan.placements) {
        placed.insert(it.job);
      }
      std::erase_if(waiting, [&](const WaitingJob& it) {
        return placed.contains(it.id);
      });
      for (const decision::Placement& it : plan.placements) {
        decision::RunningJob job;
        job.attempt = {it.job, 1};
        job.customer = CustomerName("team1");
        job.job_class = ClassName("class1");
        job.started = kNow;
        job.tasks = it.tasks;
        big.cluster.AddJob(job);
      }
      if (plan.placements.empty()) {
        break;
      }
    }
    out.push_back(
        {"submissions_longest_tick" + suffix, longest, "ms", 170, seed});
    out.push_back({"submissions_all_ticks" + suffix, sum, "ms", 0, seed});
  }
  return out;
}

}  // namespace shallotlug::bench
