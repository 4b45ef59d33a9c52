#include "suspects.h"

#include <algorithm>
#include <iterator>

namespace shallotlug::scheduler {

using workload::Resources;
using workload::TaskProgress;
using workload::WorkerCrash;

namespace {

// A task is a suspect after one crash shortly after its start, or after this
// many crashes.
constexpr std::size_t kCrashesOfSuspect = 2;
// A task is given up after this many crashes shortly after its start without
// other jobs on the worker, and a third crash; or after any kMaxCrashes. The
// platform allows five starts, and one crash may go unreported.
constexpr std::ptrdiff_t kCrashesAlone = 2;
constexpr std::size_t kMinCrashes = 3;
constexpr std::size_t kMaxCrashes = 4;

// A task that crashes its worker does so soon after its start.
constexpr Millis kObservation{3'000};
// A worker that has just started may crash again for reasons of its own.
constexpr Millis kProvenLife{15'000};
// A job that could run must not wait for longer in a pool that is not busy.
constexpr Millis kMaxWaitInIdlePool{2'000};
constexpr Millis kMaxWaitInBusyPool{6'000};
constexpr double kBusyShare = 0.6;

bool HasOthers(const State& state, const AgentName& worker, const Unit& unit) {
  const auto& runs = state.runs.On(worker).rows;
  return std::any_of(runs.begin(), runs.end(), [&](const auto& it) {
    return it.first.job != unit.key.occurrence.job;
  });
}

bool IsProven(const FleetWorker& worker, Now now) {
  const workload::WallTime born(Millis(worker.agent->worker.life.born));
  return now.wall - born >= kProvenLife;
}

double Share(std::int64_t free, std::int64_t capacity) {
  return capacity > 0
             ? 1.0 - static_cast<double>(free) / static_cast<double>(capacity)
             : 0.0;
}

/// @brief Whether one of the pool's resources is in short supply.
bool IsBusy(const std::vector<Candidate>& candidates) {
  Resources free;
  Resources capacity;
  for (const Candidate& it : candidates) {
    free += it.free;
    capacity += it.capacity;
  }
  return std::max({Share(free.cpu_millis, capacity.cpu_millis),
                   Share(free.memory_mib, capacity.memory_mib),
                   Share(free.accelerators, capacity.accelerators)}) >=
         kBusyShare;
}

/// @brief The worker that would hold the task with the least work of others.
const Candidate* LeastUsed(const std::vector<Candidate>& candidates,
                           const Demand& demand) {
  const Candidate* best = nullptr;
  const auto used = [](const Candidate& it) {
    Resources resources = it.capacity;
    resources -= it.free;
    return workload::CoreEquivalents(resources);
  };
  for (const Candidate& it : candidates) {
    if (it.capacity.Holds(demand.need) &&
        (best == nullptr || used(it) < used(*best))) {
      best = &it;
    }
  }
  return best;
}

bool HasIsolatedWorker(const State& state, const UnitKey& unit) {
  return std::any_of(
      state.isolations.begin(), state.isolations.end(),
      [&](const auto& it) { return it.second.job == unit.occurrence.job; });
}

}  // namespace

bool IsSuspect(const TaskProgress& task) {
  return task.crashes.size() >= kCrashesOfSuspect ||
         std::any_of(task.crashes.begin(), task.crashes.end(),
                     [](const WorkerCrash& it) { return it.early; });
}

bool IsGivenUp(const TaskProgress& task) {
  const auto alone =
      std::count_if(task.crashes.begin(), task.crashes.end(),
                    [](const WorkerCrash& it) { return it.early && it.alone; });
  return task.crashes.size() >= kMaxCrashes ||
         (task.crashes.size() >= kMinCrashes && alone >= kCrashesAlone);
}

bool IsClosedTo(const State& state, const AgentName& worker, const Unit& unit) {
  if (state.isolations.empty()) {
    return false;
  }
  const auto it = state.isolations.find(worker);
  return it != state.isolations.end() &&
         it->second.job != unit.key.occurrence.job &&
         (it->second.occupied || !unit.guaranteed);
}

std::vector<Candidate> WorkersWithoutOthers(
    const State& state,
    const Fleet& fleet,
    const Unit& unit,
    const std::vector<Candidate>& candidates,
    Now now) {
  std::vector<Candidate> empty;
  std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(empty),
               [&](const Candidate& it) {
                 const auto worker = static_cast<std::size_t>(it.worker);
                 return !HasOthers(state, *fleet[worker].name, unit);
               });
  std::vector<Candidate> proven;
  std::copy_if(empty.begin(), empty.end(), std::back_inserter(proven),
               [&](const Candidate& it) {
                 const auto worker = static_cast<std::size_t>(it.worker);
                 return IsProven(fleet[worker], now);
               });
  return proven.empty() ? empty : proven;
}

bool WaitsToBeAlone(State& state,
                    const Fleet& fleet,
                    const Unit& unit,
                    const std::vector<Candidate>& candidates,
                    const Demand& demand,
                    TimePoint now) {
  const auto since = state.isolation_wait_since.try_emplace(unit.key, now);
  const bool patient = unit.Priority() != 0 && IsBusy(candidates);
  const Millis limit = patient ? kMaxWaitInBusyPool : kMaxWaitInIdlePool;
  if (now - since.first->second >= limit) {
    return false;
  }
  const Candidate* worker = LeastUsed(candidates, demand);
  if (demand.count == 1 && worker != nullptr &&
      !HasIsolatedWorker(state, unit.key)) {
    state.isolations[*fleet[static_cast<std::size_t>(worker->worker)].name] = {
        unit.key.occurrence.job, now + limit, false};
  }
  return true;
}

void CloseWorkers(State& state,
                  const Fleet& fleet,
                  const Unit& unit,
                  const std::vector<int>& workers,
                  TimePoint now) {
  std::erase_if(state.isolations, [&](const auto& it) {
    return it.second.job == unit.key.occurrence.job && !it.second.occupied;
  });
  for (const int it : workers) {
    state.isolations[*fleet[static_cast<std::size_t>(it)].name] = {
        unit.key.occurrence.job, now + kObservation, true};
  }
}

void DropOldIsolations(State& state, TimePoint now) {
  std::erase_if(state.isolations,
                [&](const auto& it) { return now >= it.second.until; });
  std::erase_if(state.isolation_wait_since, [&](const auto& it) {
    return !state.open.contains(it.first.occurrence);
  });
}

}  // namespace shallotlug::scheduler
