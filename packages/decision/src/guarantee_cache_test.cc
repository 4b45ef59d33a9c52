#include "guarantee_cache.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <bit>
#include <string>

#include "guaranteed.h"
#include "random.h"
#include "victims.h"

namespace shallotlug::decision {
namespace {

constexpr TimePoint kNow{Millis(1'000'000)};

using Blocks = std::vector<std::pair<std::size_t, BlockRef>>;

Blocks BoundOf(const GuaranteeState& state) {
  Blocks blocks;
  for (std::size_t n = 0; n < state.Lines().size(); ++n) {
    for (const BlockRef& it : state.Lines()[n].bound) {
      blocks.emplace_back(n, it);
    }
  }
  return blocks;
}

/// A cluster that changes at random and compares the cached state with a newly
/// derived one.
class RandomChanges {
 public:
  RandomChanges(std::uint64_t seed, bool with_pinned)
      : random_(seed), with_pinned_(with_pinned) {
    workers_ = 4 + Below(20);
    for (int n = 0; n < workers_; ++n) {
      cluster_.AddWorker({AgentName("w" + std::to_string(n)),
                          DataCentreName("d" + std::to_string(n % 2)),
                          RackName("r" + std::to_string(n / 4)), 8, 24});
    }
    // Guarantees on about half of the cluster, so that most states are
    // incremental and some are not.
    const Adjacency within[] = {Adjacency::kAny, Adjacency::kRack,
                                Adjacency::kDataCentre};
    int left = workers_ * 5;
    for (int n = 0; n < 6; ++n) {
      GuaranteeLine line;
      line.name = ClassName("class" + std::to_string(n));
      line.customer = CustomerName("team" + std::to_string(n / 2));
      line.level = Below(4);
      line.units = line.level == 3 && Below(3) == 0 ? 2 : 1;
      line.within = within[Below(3)];
      const int group = line.units * BlockSize(line.level);
      line.groups = std::min(1 + Below(4), left / group);
      left -= line.groups * group;
      if (line.groups > 0) {
        lines_.push_back(line);
      }
    }
  }

  void Step() {
    const int what = Below(100);
    if (what < 50) {
      Add();
    } else if (what < 90) {
      End();
    } else if (what < 95) {
      Stop();
    } else {
      ChangeWorker();
    }
  }

  /// The empty string when the cached state and the new one are equal.
  std::string Difference() {
    GuaranteeState fresh(cluster_.tables(), lines_);
    fresh.Derive();
    std::uint64_t rows = 0;
    GuaranteeState& kept = cluster_.tables().guarantees->Current(lines_, rows);
    incremental += kept.IsIncremental() && rows != cluster_.worker_count();
    const std::string difference = Compare(kept, fresh);
    return difference.empty() ? CheckRollBack(kept, fresh) : difference;
  }

  /// The empty string when the order of reclaiming agrees with the losses.
  std::string ReclaimDifference() {
    std::uint64_t rows = 0;
    for (int level = 0; level < kLevels; ++level) {
      ReclaimIndex::Cursor cursor =
          cluster_.tables().guarantees->Reclaim().Order(level, kNow, rows);
      std::vector<std::tuple<double, std::uint32_t, AcceleratorMask>> expected;
      for (std::uint32_t n = 0; n < cluster_.tables().workers.size(); ++n) {
        for (int b = 0; b < kLargestBlock / BlockSize(level); ++b) {
          expected.emplace_back(LossOn(n, BlockAt(level, b)), n,
                                BlockAt(level, b));
        }
      }
      std::sort(expected.begin(), expected.end());
      for (const auto& [cost, worker, mask] : expected) {
        const std::optional<ReclaimIndex::Entry> entry = cursor.Next();
        if (!entry || static_cast<double>(entry->cost) != cost ||
            entry->worker != worker || entry->mask != mask) {
          return "order of level " + std::to_string(level);
        }
      }
      if (cursor.Next()) {
        return "too many blocks of level " + std::to_string(level);
      }
    }
    return "";
  }

  int incremental = 0;  ///< States reached without a derivation.

 private:
  int Below(int n) {
    return static_cast<int>(NextRandom(random_) %
                            static_cast<std::uint64_t>(n));
  }

  double LossOn(std::uint32_t worker, AcceleratorMask mask) const {
    const WorkerRow& row = cluster_.tables().workers[worker];
    double loss = 500.0 * std::popcount(row.live & mask);
    for (const RunningJob* job : JobsOn(row, mask)) {
      loss += PreemptionCost(*job, kNow);
    }
    return loss;
  }

  std::string Compare(const GuaranteeState& kept,
                      const GuaranteeState& fresh) const {
    if (kept.IsIncremental() != fresh.IsIncremental()) {
      return "incremental";
    }
    if (BoundOf(kept) != BoundOf(fresh)) {
      return "bound blocks";
    }
    for (std::size_t n = 0; n < lines_.size(); ++n) {
      if (kept.Lines()[n].line != fresh.Lines()[n].line ||
          kept.Lines()[n].bound_by_domain != fresh.Lines()[n].bound_by_domain) {
        return "line " + std::to_string(n);
      }
    }
    for (std::uint32_t n = 0; n < cluster_.tables().workers.size(); ++n) {
      if (kept.ProtectedMask(n) != fresh.ProtectedMask(n) ||
          kept.Open().Mask(n) != fresh.Open().Mask(n)) {
        return "masks of worker " + std::to_string(n);
      }
    }
    for (const auto& [id, job] : cluster_.tables().jobs) {
      if (kept.IsHeld(job) != fresh.IsHeld(job)) {
        return "held " + id.value;
      }
    }
    return kept.Feasible() == fresh.Feasible() ? "" : "feasible";
  }

  std::string CheckRollBack(GuaranteeState& kept, const GuaranteeState& fresh) {
    const std::size_t savepoint = kept.Savepoint();
    for (int n = 0; n < 5; ++n) {
      const std::vector<Allocation> tasks = {RandomTask()};
      const auto line =
          static_cast<std::size_t>(Below(static_cast<int>(lines_.size())));
      const std::uint32_t worker = RowOf(tasks.front().worker);
      if ((kept.ProtectedMask(worker) & tasks.front().mask) == 0 &&
          !kept.TryBindSafely(line, tasks)) {
        kept.Protect(tasks);
      }
    }
    kept.RollBackTo(savepoint);
    const std::string difference = Compare(kept, fresh);
    return difference.empty() ? "" : "after rolling back: " + difference;
  }

  Allocation RandomTask() {
    const int level = Below(kLevels);
    return {WorkerIndex(static_cast<std::uint32_t>(Below(workers_))),
            BlockAt(level, Below(kLargestBlock / BlockSize(level)))};
  }

  void Add() {
    RunningJob job;
    job.attempt = {JobId("job" + std::to_string(next_++)), 1};
    const int number = Below(8);
    job.job_class = ClassName("class" + std::to_string(number));
    job.customer = CustomerName("team" + std::to_string(number / 2));
    job.repeatable = !with_pinned_ || Below(20) != 0;
    job.checkpointable = Below(2) == 0;
    // Most jobs are added in order of start, as in operation; some are reported
    // late.
    job.started = kNow + Millis(Below(5) == 0 ? -Below(1000) : next_);
    const int tasks = Below(4) == 0 ? 2 : 1;
    for (int n = 0; n < tasks; ++n) {
      Allocation task = RandomTask();
      const AcceleratorMask free =
          FreeOf(cluster_.tables().workers[RowOf(task.worker)]);
      if ((task.mask & ~free) != 0) {
        return;
      }
      if (Below(10) == 0) {
        task.mask = 0;
      }
      job.tasks.push_back(task);
    }
    job.shape = {tasks, std::popcount(job.tasks.front().mask), Adjacency::kAny};
    cluster_.AddJob(job);
    jobs_.push_back(job.attempt.job);
  }

  void End() {
    if (jobs_.empty()) {
      return;
    }
    const auto n =
        static_cast<std::ptrdiff_t>(Below(static_cast<int>(jobs_.size())));
    cluster_.RemoveJob(jobs_[static_cast<std::size_t>(n)]);
    jobs_.erase(jobs_.begin() + n);
  }

  void Stop() {
    if (jobs_.empty()) {
      return;
    }
    const std::size_t n =
        static_cast<std::size_t>(Below(static_cast<int>(jobs_.size())));
    RunningJob job = *cluster_.FindJob(jobs_[n]);
    job.stopping = !job.stopping && job.repeatable;
    cluster_.AddJob(job);
  }

  void ChangeWorker() {
    const WorkerIndex worker{static_cast<std::uint32_t>(Below(workers_))};
    switch (Below(4)) {
      case 0:
        cluster_.SetSchedulable(worker, Below(3) != 0);
        break;
      case 1:
        cluster_.SetOtherUse(worker, Below(2) == 0 ? 0U : 1U << Below(8));
        break;
      case 2:
        cluster_.SetLiveUse(worker, static_cast<AcceleratorMask>(Below(256)));
        break;
      default:
        cluster_.AddWorker({AgentName("w" + std::to_string(workers_++)),
                            DataCentreName("d0"), RackName("r0"), 8, 24});
    }
  }

  std::uint64_t random_;
  bool with_pinned_;
  int workers_ = 0;
  int next_ = 0;
  Cluster cluster_;
  std::vector<GuaranteeLine> lines_;
  std::vector<JobId> jobs_;
};

// Guards against a cached state that differs from the derivation from scratch,
// which would let a plan reclaim work that is inside its guarantee.
TEST(GuaranteeCacheTest, CachedStateEqualsDerivedStateAfterRandomChanges) {
  int incremental = 0;
  int states = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    RandomChanges changes(seed, seed % 4 == 0);
    for (int n = 0; n < 200; ++n) {
      for (int step = 0; step <= n % 4; ++step) {
        changes.Step();
      }
      ASSERT_EQ(changes.Difference(), "") << "seed " << seed << ", state " << n;
      ++states;
    }
    incremental += changes.incremental;
  }
  // Guards against a comparison of the derivation with itself.
  EXPECT_GT(incremental, states / 4);
}

// Guards against a block whose reclaim cost is out of date after a change,
// which would stop more work than necessary.
TEST(GuaranteeCacheTest, ReclaimOrderMatchesPreemptionCost) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    RandomChanges changes(seed, true);
    for (int n = 0; n < 100; ++n) {
      changes.Step();
      ASSERT_EQ(changes.ReclaimDifference(), "")
          << "seed " << seed << ", state " << n;
    }
  }
}

}  // namespace
}  // namespace shallotlug::decision
