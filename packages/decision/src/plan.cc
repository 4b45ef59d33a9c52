#include "shallotlug/decision/plan.h"

#include <algorithm>
#include <cmath>

#include "guarantee_cache.h"
#include "guaranteed.h"
#include "migration.h"
#include "never_placeable.h"
#include "packer.h"
#include "priority.h"
#include "reservation.h"

namespace shallotlug::decision {
namespace {

/// Candidate sets tried for work that cannot be stopped, before it waits.
constexpr int kMaxPinnedCandidates = 16;

/// Workers looked at for one with work of the same kind.
constexpr int kSameKindRejectLimit = 32;
/// Minimum size for a migration or a reservation; smaller shapes fit as soon as
/// any job ends. With 4, blocks of 4 exhausted the reservation and opening
/// limits before gangs were considered.
constexpr int kMinOpenedAccelerators = 8;

void AddDemand(Demand& demand, int accelerators_per_task, int tasks) {
  demand[static_cast<std::size_t>(LevelFor(accelerators_per_task))] +=
      accelerators_per_task * tasks;
}

/// Shares of the accelerators that waiting jobs and guarantees ask for.
Demand DemandOf(const std::vector<RankedJob>& ranked,
                const std::vector<GuaranteeLine>& lines) {
  Demand demand{};
  for (const RankedJob& it : ranked) {
    AddDemand(demand, it.job->shape.accelerators_per_task, it.job->shape.tasks);
  }
  for (const GuaranteeLine& it : lines) {
    AddDemand(demand, BlockSize(it.level), it.groups * it.units);
  }
  double sum = 0;
  for (const double it : demand) {
    sum += it;
  }
  for (double& it : demand) {
    it = sum > 0 ? it / sum : 0;
  }
  return demand;
}

std::set<std::uint32_t> WorkersToAvoid(const Cluster::Tables& tables,
                                       const WaitingJob& job) {
  std::set<std::uint32_t> workers;
  for (const AgentName& it : job.failed_at) {
    const auto row = tables.by_agent.find(it);
    if (row != tables.by_agent.end()) {
      workers.insert(row->second);
    }
  }
  if (!workers.empty() &&
      MostTasks(tables, job.shape, workers) < job.shape.tasks) {
    workers.clear();
  }
  if (!job.repeatable) {
    workers.insert(tables.repeatable_only.begin(),
                   tables.repeatable_only.end());
    // While part of a worker is unavailable, a guaranteed group does not fit on
    // it and is given up. That part is usually available again within a second,
    // but a job that cannot be stopped would displace the group until it ends.
    workers.insert(tables.partly_unavailable.begin(),
                   tables.partly_unavailable.end());
  }
  return workers;
}

bool HasLiveClass(const Targets& targets) {
  return std::any_of(targets.entries.begin(), targets.entries.end(),
                     [](const VersionedTarget& it) {
                       return !it.removed && it.target.kind == WorkKind::kLive;
                     });
}

/// One run of the planner.
class Planner {
 public:
  Planner(const Cluster::Tables& tables,
          const Targets& targets,
          const RunTimes& run_times,
          const PlanOptions& options,
          TimePoint now,
          std::vector<RankedJob> ranked)
      : tables_(tables),
        targets_(targets),
        run_times_(run_times),
        options_(options),
        now_(now),
        ranked_(std::move(ranked)),
        serves_live_(HasLiveClass(targets)),
        lines_(options.keep_guarantees ? LinesOf(targets)
                                       : std::vector<GuaranteeLine>{}),
        costs_(DemandOf(ranked_, lines_)),
        transaction_(*tables.free),
        packer_(transaction_, costs_) {}

  Plan Run() {
    PlaceGuaranteed();
    for (const RankedJob& it : ranked_) {
      if (!placed_.contains(it.job->id)) {
        PlaceOther(it);
      }
    }
    plan_.rows_examined += packer_.Examined();
    if (guarantees_ != nullptr) {
      guarantees_->RollBackTo(0);
    }
    return std::move(plan_);
  }

 private:
  bool HasGuarantee(const ClassName& name) const {
    return std::any_of(
        lines_.begin(), lines_.end(),
        [&](const GuaranteeLine& it) { return it.name == name; });
  }

  /// Fetched on first use: work without a guarantee that may be stopped needs
  /// none of it.
  GuaranteeState& Guarantees() {
    if (guarantees_ == nullptr) {
      guarantees_ = &tables_.guarantees->Current(lines_, plan_.rows_examined);
      guarantees_->Savepoint();
    }
    return *guarantees_;
  }

  void PlaceGuaranteed() {
    std::optional<GuaranteedPlacer> placer;
    for (const RankedJob& it : ranked_) {
      if (!HasGuarantee(it.job->job_class)) {
        continue;
      }
      if (!placer) {
        placer.emplace(tables_, Guarantees(), transaction_, costs_, now_);
      }
      if (auto placement =
              placer->Place(*it.job, WorkersToAvoid(tables_, *it.job))) {
        placed_.insert(it.job->id);
        plan_.placements.push_back(std::move(*placement));
      }
    }
    if (placer) {
      plan_.rows_examined += placer->Examined();
      for (const JobId& it : placer->Stopped()) {
        Stop(it, false);
      }
    }
  }

  void Stop(const JobId& job, bool for_migration) {
    stopped_.insert(job);
    plan_.preemptions.push_back({job, for_migration});
  }

  /// Whether enough accelerators stay free or throttleable for live requests.
  /// Only gangs take such accelerators away.
  bool LeavesLiveRoom(const JobShape& shape) const {
    if (shape.tasks == 1 || !serves_live_) {
      return true;
    }
    const int size = shape.tasks * shape.accelerators_per_task;
    const int room =
        transaction_.Index().All().blocks[0] + tables_.throttleable - size;
    const int keep = options_.live_headroom * static_cast<int>(tables_.alive) +
                     static_cast<int>(std::ceil(options_.live_reserve *
                                                tables_.live_accelerators));
    // A gang that does not fit beside the room at all starts when no other
    // gang runs.
    return room >= keep || room >= SchedulableAccelerators() - size;
  }

  int SchedulableAccelerators() const {
    int sum = 0;
    for (const WorkerRow& it : tables_.workers) {
      sum += it.alive && it.schedulable ? it.info.accelerators : 0;
    }
    return sum;
  }

  void PlaceOther(const RankedJob& it) {
    const WaitingJob& job = *it.job;
    if (!LeavesLiveRoom(job.shape)) {
      return;
    }
    const std::set<std::uint32_t> avoid = WorkersToAvoid(tables_, job);
    const AllowedMask allowed = Allowed(it, avoid);
    std::vector<Allocation> tasks = job.repeatable || lines_.empty()
                                        ? PlaceStoppable(job, allowed)
                                        : PlacePinned(job.shape, allowed);
    if (!tasks.empty()) {
      plan_.placements.push_back({job.id, std::move(tasks), {}});
      return;
    }
    MigrateOrReserve(it);
  }

  AllowedMask Allowed(const RankedJob& it,
                      const std::set<std::uint32_t>& avoid) const {
    if (avoid.empty() && reservations_.empty()) {
      return nullptr;
    }
    const TimePoint end = now_ + it.remaining;
    return [this, avoid, end](std::uint32_t worker) {
      return avoid.contains(worker) ? AcceleratorMask{0}
                                    : ~reservations_.Blocked(worker, end);
    };
  }

  /// Work that cannot be moved goes beside work of the same kind, so that the
  /// other workers can be opened for gangs.
  std::vector<Allocation> PlaceStoppable(const WaitingJob& job,
                                         const AllowedMask& allowed) {
    if (job.shape.tasks == 1 && !job.checkpointable) {
      packer_.LimitRejections(kSameKindRejectLimit);
      std::vector<Allocation> tasks =
          packer_.Place(job.shape, [&](std::uint32_t worker) {
            return tables_.workers[worker].immovable > 0
                       ? (allowed ? allowed(worker) : ~0U)
                       : AcceleratorMask{0};
          });
      packer_.LimitRejections(Packer::kRejectLimit);
      if (!tasks.empty()) {
        return tasks;
      }
    }
    return packer_.Place(job.shape, allowed);
  }

  /// Work that cannot be stopped goes only where it leaves all unused
  /// guarantees placeable.
  std::vector<Allocation> PlacePinned(const JobShape& shape,
                                      const AllowedMask& allowed) {
    std::set<std::uint32_t> rejected;
    const std::size_t savepoint = transaction_.Savepoint();
    const AllowedMask open = [&](std::uint32_t worker) {
      const AcceleratorMask mask = allowed ? allowed(worker) : ~0U;
      return rejected.contains(worker)
                 ? AcceleratorMask{0}
                 : mask & Guarantees().Open().Mask(worker);
    };
    for (int n = 0; n < kMaxPinnedCandidates; ++n) {
      std::vector<Allocation> tasks = packer_.Place(shape, open);
      if (tasks.empty()) {
        return {};
      }
      if (LeavesGuarantees(tasks)) {
        return tasks;
      }
      transaction_.RollBackTo(savepoint);
      rejected.insert(RowOf(tasks.front().worker));
    }
    return {};
  }

  /// Migrates other jobs to make room for a job that does not fit now, or
  /// reserves blocks for it.
  void MigrateOrReserve(const RankedJob& it) {
    const WaitingJob& job = *it.job;
    if (job.shape.tasks * job.shape.accelerators_per_task <
            kMinOpenedAccelerators ||
        opened_ >= options_.opening_limit) {
      return;
    }
    ++opened_;
    if (TryMigration(it)) {
      return;
    }
    if (reservations_.size() < options_.reservation_limit) {
      reservations_.Add(tables_, run_times_, job.shape, now_);
    }
  }

  std::size_t MigrationBudget() const {
    const double share =
        options_.migration_budget * static_cast<double>(tables_.jobs.size());
    const std::size_t limit = std::max(
        options_.least_migrations, static_cast<std::size_t>(std::ceil(share)));
    const std::size_t under_way = tables_.stopping.size() + stopped_.size();
    return limit > under_way ? limit - under_way : 0;
  }

  /// Protects the tasks if all unused guarantees stay placeable beside them.
  bool LeavesGuarantees(const std::vector<Allocation>& tasks) {
    if (lines_.empty()) {
      return true;
    }
    for (const Allocation& it : tasks) {
      if ((it.mask & ~Guarantees().Open().Mask(RowOf(it.worker))) != 0) {
        return false;
      }
    }
    Guarantees().Protect(tasks);
    if (Guarantees().Feasible()) {
      return true;
    }
    Guarantees().Unprotect(tasks);
    return false;
  }

  bool TryMigration(const RankedJob& it) {
    const std::size_t budget = MigrationBudget();
    if (budget == 0) {
      return false;
    }
    const GuaranteeState* guarantees = lines_.empty() ? nullptr : &Guarantees();
    plan_.rows_examined += tables_.workers.size();
    const std::size_t savepoint = transaction_.Savepoint();
    std::optional<Placement> placement = FreeShapeByMigration(
        {tables_, guarantees, transaction_, packer_, reservations_, targets_,
         run_times_, stopped_, budget, now_},
        it);
    if (!placement) {
      return false;
    }
    if (!it.job->repeatable && !LeavesGuarantees(placement->tasks)) {
      transaction_.RollBackTo(savepoint);
      return false;
    }
    for (const JobId& victim : placement->victims) {
      Stop(victim, true);
    }
    plan_.placements.push_back(std::move(*placement));
    return true;
  }

  const Cluster::Tables& tables_;
  const Targets& targets_;
  const RunTimes& run_times_;
  const PlanOptions& options_;
  TimePoint now_;
  std::vector<RankedJob> ranked_;
  bool serves_live_ = false;
  std::vector<GuaranteeLine> lines_;
  MaskCosts costs_;
  FreeIndexTransaction transaction_;
  Packer packer_;
  GuaranteeState* guarantees_ = nullptr;  ///< Kept in the tables.
  Reservations reservations_;
  std::set<JobId> placed_;
  std::set<JobId> stopped_;
  std::size_t opened_ = 0;
  Plan plan_;
};

}  // namespace

Plan MakePlan(const Cluster& cluster,
              const std::vector<WaitingJob>& waiting,
              const Targets& targets,
              const RunTimes& run_times,
              const PlanOptions& options,
              TimePoint now) {
  return Planner(
             cluster.tables(), targets, run_times, options, now,
             RankWaiting(waiting, targets, run_times, options.scan_limit, now))
      .Run();
}

}  // namespace shallotlug::decision
