#include "shallotlug/decision/cluster.h"

#include <algorithm>
#include <bit>

#include "guarantee_cache.h"
#include "tables.h"

namespace shallotlug::decision {
namespace {

/// Whether another task waits for these accelerators of a stopping job; it
/// takes over the slot as well.
bool IsTakenOver(const WorkerRow& row, const Occupant& task) {
  return task.job->stopping &&
         std::any_of(row.occupants.begin(), row.occupants.end(),
                     [&](const Occupant& it) {
                       return it.job != task.job && (it.mask & task.mask) != 0;
                     });
}

int FreeSlotsOf(const WorkerRow& row) {
  const auto used =
      std::count_if(row.occupants.begin(), row.occupants.end(),
                    [&](const Occupant& it) { return !IsTakenOver(row, it); });
  return row.info.slots - static_cast<int>(used);
}

void Refresh(Cluster::Tables& tables, std::uint32_t worker) {
  const WorkerRow& row = tables.workers[worker];
  const int slots = FreeSlotsOf(row);
  tables.free->Update(worker, FreeOf(row), slots, row.alive && row.schedulable);
  tables.guarantees->OccupancyChanged(worker);
}

std::uint32_t DataCentreRow(Cluster::Tables& tables,
                            const DataCentreName& name) {
  const auto it = tables.centres.find(name);
  if (it != tables.centres.end()) {
    return it->second;
  }
  return tables.centres[name] = tables.free->AddDataCentre();
}

std::uint32_t RackRowOf(Cluster::Tables& tables, const WorkerInfo& info) {
  const std::pair key(info.data_centre, info.rack);
  const auto it = tables.racks.find(key);
  if (it != tables.racks.end()) {
    return it->second;
  }
  return tables.racks[key] =
             tables.free->AddRack(DataCentreRow(tables, info.data_centre));
}

JobOrder OrderOf(const RunningJob& job) {
  return {IsPreemptible(job), job.started, job.attempt.job};
}

/// Accelerators that a live request may take from this job.
int ThrottleableOf(const RunningJob& job) {
  return job.tasks.size() == 1 && !job.stopping
             ? std::popcount(job.tasks.front().mask)
             : 0;
}

void AddTasks(Cluster::Tables& tables, const RunningJob& job) {
  for (const Allocation& it : job.tasks) {
    const std::uint32_t worker = RowOf(it.worker);
    tables.workers[worker].occupants.push_back({&job, it.mask});
    tables.workers[worker].immovable += IsImmovable(job) ? 1 : 0;
    Refresh(tables, worker);
  }
}

void RemoveTasks(Cluster::Tables& tables, const RunningJob& job) {
  for (const Allocation& it : job.tasks) {
    const std::uint32_t worker = RowOf(it.worker);
    tables.workers[worker].immovable -= IsImmovable(job) ? 1 : 0;
    std::erase_if(tables.workers[worker].occupants,
                  [&](const Occupant& task) { return task.job == &job; });
    Refresh(tables, worker);
  }
}

}  // namespace

AcceleratorMask AllOf(const WorkerRow& row) {
  return LowMask(std::min(row.info.accelerators, kLargestBlock));
}

AcceleratorMask FreeOf(const WorkerRow& row) {
  AcceleratorMask used = row.other;
  for (const Occupant& it : row.occupants) {
    used |= it.mask;
  }
  return AllOf(row) & ~used;
}

Cluster::Cluster() : tables_(std::make_unique<Tables>()) {
  tables_->guarantees = std::make_unique<GuaranteeCache>(*tables_);
}
Cluster::Cluster(Cluster&&) noexcept = default;
Cluster& Cluster::operator=(Cluster&&) noexcept = default;
Cluster::~Cluster() = default;

WorkerIndex Cluster::AddWorker(const WorkerInfo& info) {
  const auto worker = static_cast<std::uint32_t>(tables_->workers.size());
  const std::uint32_t rack = RackRowOf(*tables_, info);
  tables_->free->AddWorker(rack, DataCentreRow(*tables_, info.data_centre));
  WorkerRow row;
  row.info = info;
  tables_->workers.push_back(std::move(row));
  tables_->by_agent[info.agent] = worker;
  ++tables_->alive;
  tables_->guarantees->Invalidate();
  Refresh(*tables_, worker);
  return WorkerIndex{worker};
}

void Cluster::RemoveWorker(WorkerIndex worker) {
  WorkerRow& row = tables_->workers[RowOf(worker)];
  if (!row.alive) {
    return;
  }
  row.alive = false;
  --tables_->alive;
  tables_->guarantees->WorkerChanged(RowOf(worker));
  const auto it = tables_->by_agent.find(row.info.agent);
  if (it != tables_->by_agent.end() && it->second == RowOf(worker)) {
    tables_->by_agent.erase(it);
  }
  Refresh(*tables_, RowOf(worker));
}

void Cluster::SetSchedulable(WorkerIndex worker, bool schedulable) {
  bool& value = tables_->workers[RowOf(worker)].schedulable;
  if (value != schedulable) {
    value = schedulable;
    tables_->guarantees->WorkerChanged(RowOf(worker));
  }
  Refresh(*tables_, RowOf(worker));
}

void Cluster::SetRepeatableOnly(WorkerIndex worker, bool repeatable_only) {
  if (repeatable_only) {
    tables_->repeatable_only.insert(RowOf(worker));
  } else {
    tables_->repeatable_only.erase(RowOf(worker));
  }
}

void Cluster::SetOtherUse(WorkerIndex worker, AcceleratorMask mask) {
  AcceleratorMask& value = tables_->workers[RowOf(worker)].other;
  if (value != mask) {
    value = mask;
    if (mask != 0) {
      tables_->partly_unavailable.insert(RowOf(worker));
    } else {
      tables_->partly_unavailable.erase(RowOf(worker));
    }
    tables_->guarantees->WorkerChanged(RowOf(worker));
  }
  Refresh(*tables_, RowOf(worker));
}

void Cluster::SetLiveUse(WorkerIndex worker, AcceleratorMask mask) {
  WorkerRow& row = tables_->workers[RowOf(worker)];
  tables_->live_accelerators += std::popcount(mask) - std::popcount(row.live);
  row.live = mask;
  tables_->guarantees->OccupancyChanged(RowOf(worker));
}

void Cluster::AddJob(const RunningJob& job) {
  RunningJob copy = job;  // `job` may be the row that is replaced.
  RemoveJob(copy.attempt.job);
  RunningJob& row = tables_->jobs[copy.attempt.job];
  row = std::move(copy);
  tables_->by_customer[row.customer].insert(OrderOf(row));
  if (!IsPreemptible(row)) {
    tables_->pinned.insert(row.attempt.job);
  }
  if (row.stopping) {
    tables_->stopping.insert(row.attempt.job);
  }
  tables_->throttleable += ThrottleableOf(row);
  AddTasks(*tables_, row);
  tables_->guarantees->JobAdded(row);
}

void Cluster::RemoveJob(const JobId& job) {
  const auto it = tables_->jobs.find(job);
  if (it == tables_->jobs.end()) {
    return;
  }
  tables_->guarantees->JobRemoved(it->second);
  tables_->throttleable -= ThrottleableOf(it->second);
  RemoveTasks(*tables_, it->second);
  tables_->by_customer[it->second.customer].erase(OrderOf(it->second));
  tables_->pinned.erase(it->first);
  tables_->stopping.erase(it->first);
  tables_->jobs.erase(it);
}

const RunningJob* Cluster::FindJob(const JobId& job) const {
  const auto it = tables_->jobs.find(job);
  return it == tables_->jobs.end() ? nullptr : &it->second;
}

const WorkerInfo& Cluster::Info(WorkerIndex worker) const {
  return tables_->workers[RowOf(worker)].info;
}

AcceleratorMask Cluster::Free(WorkerIndex worker) const {
  const WorkerRow& row = tables_->workers[RowOf(worker)];
  return row.alive ? FreeOf(row) & ~row.live : 0;
}

std::size_t Cluster::worker_count() const {
  return tables_->alive;
}

std::size_t Cluster::job_count() const {
  return tables_->jobs.size();
}

}  // namespace shallotlug::decision
