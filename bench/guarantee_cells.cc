#include "guarantee_cells.h"

#include <bit>
#include <string>
#include <vector>

#include "random.h"
#include "shallotlug/decision/plan.h"

namespace shallotlug::bench {
namespace {

using decision::Cluster;
using decision::WaitingJob;

constexpr TimePoint kNow{Millis(1'000'000)};
constexpr int kStates = 1000;
constexpr int kOffers = 12;
constexpr std::uint32_t kWorkers = 11;

struct Admitted {
  double accelerators = 0;
  double groups = 0;  ///< Guaranteed groups that a plan places at the end.
};

Cluster MakeCluster() {
  Cluster cluster;
  for (std::uint32_t n = 0; n < kWorkers; ++n) {
    cluster.AddWorker({AgentName("w" + std::to_string(n)), DataCentreName("d"),
                       RackName("r" + std::to_string(n / 3))});
  }
  return cluster;
}

Targets RandomTargets(std::uint64_t& random) {
  Targets targets;
  for (int n = 0; n < 4; ++n) {
    ClassTarget target;
    target.name = ClassName("c" + std::to_string(n));
    target.customer = CustomerName("t" + std::to_string(n));
    const auto size = static_cast<int>(2U << decision::NextRandom(random) % 3);
    target.guarantee = {1 + static_cast<int>(decision::NextRandom(random) % 3),
                        size, Adjacency::kWorker};
    targets.entries.push_back({target, 1, false});
  }
  return targets;
}

std::vector<WaitingJob> Requests(const Targets& targets) {
  std::vector<WaitingJob> jobs;
  for (const VersionedTarget& it : targets.entries) {
    for (int n = 0; n < it.target.guarantee.groups; ++n) {
      WaitingJob job;
      job.id = JobId("g" + std::to_string(jobs.size()));
      job.customer = it.target.customer;
      job.job_class = it.target.name;
      job.shape = {1, it.target.guarantee.accelerators, Adjacency::kWorker};
      jobs.push_back(job);
    }
  }
  return jobs;
}

/// Offers work that cannot be stopped, one job at a time.
double Offer(Cluster& cluster, const Targets& targets, std::uint64_t& random) {
  double admitted = 0;
  for (int n = 0; n < kOffers; ++n) {
    WaitingJob job;
    job.id = JobId("p" + std::to_string(n));
    job.customer = CustomerName("other");
    job.job_class = ClassName("other");
    const auto size = static_cast<int>(1U << decision::NextRandom(random) % 4);
    job.shape = {1, size, Adjacency::kAny};
    job.repeatable = false;
    const decision::Plan plan = MakePlan(cluster, {job}, targets, {}, {}, kNow);
    if (plan.placements.empty()) {
      continue;
    }
    decision::RunningJob running;
    running.attempt = {job.id, 1};
    running.customer = job.customer;
    running.job_class = job.job_class;
    running.shape = job.shape;
    running.repeatable = false;
    running.started = kNow;
    running.tasks = plan.placements[0].tasks;
    cluster.AddJob(running);
    admitted += size;
  }
  return admitted;
}

Admitted WithCheck(const Targets& targets, std::uint64_t random) {
  Cluster cluster = MakeCluster();
  Admitted out;
  out.accelerators = Offer(cluster, targets, random);
  cluster.RemoveWorker(decision::WorkerIndex{0});
  out.groups = static_cast<double>(
      MakePlan(cluster, Requests(targets), targets, {}, {}, kNow)
          .placements.size());
  return out;
}

/// Every group has a fixed block, chosen best fit on the empty cluster.
Admitted WithCells(const Targets& targets, std::uint64_t random) {
  Cluster cluster = MakeCluster();
  const decision::Plan cells =
      MakePlan(cluster, Requests(targets), {}, {}, {}, kNow);
  std::vector<AcceleratorMask> fixed(kWorkers);
  for (const decision::Placement& it : cells.placements) {
    fixed[static_cast<std::size_t>(it.tasks[0].worker)] |= it.tasks[0].mask;
  }
  for (std::uint32_t n = 0; n < kWorkers; ++n) {
    cluster.SetOtherUse(decision::WorkerIndex{n}, fixed[n]);
  }
  Admitted out;
  out.accelerators = Offer(cluster, {}, random);
  for (const decision::Placement& it : cells.placements) {
    out.groups += it.tasks[0].worker == decision::WorkerIndex{0} ? 0 : 1;
  }
  return out;
}

}  // namespace

Measurements MeasureGuaranteeCells(std::uint64_t seed) {
  std::uint64_t random = seed;
  Admitted check;
  Admitted cells;
  for (int n = 0; n < kStates; ++n) {
    const Targets targets = RandomTargets(random);
    const std::uint64_t offers = decision::NextRandom(random);
    const Admitted a = WithCheck(targets, offers);
    const Admitted b = WithCells(targets, offers);
    check.accelerators += a.accelerators / kStates;
    check.groups += a.groups / kStates;
    cells.accelerators += b.accelerators / kStates;
    cells.groups += b.groups / kStates;
  }
  return {{"unstoppable_work_admitted_vs_fixed_cells", check.accelerators,
           "acc", cells.accelerators, seed},
          {"groups_left_after_a_worker_failed_vs_fixed_cells", check.groups,
           "grp", cells.groups, seed}};
}

}  // namespace shallotlug::bench
