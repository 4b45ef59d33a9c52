#include "live_queue.h"

#include <algorithm>
#include <bit>
#include <utility>
#include <vector>

#include "accelerators.h"
#include "backend_tasks.h"
#include "known_requests.h"
#include "throttling.h"
#include "worker_fault.h"

namespace shallotlug::agent {
namespace {

// Assumed run time of a live request before any has finished here.
constexpr Millis kUnknownRunTime{100};

// Weight of the newest run time in the moving average: 1 in 8.
constexpr int kRunTimeWeight = 8;

Millis MeanRunTime(const State& state) {
  Millis sum{};
  for (const auto& [name, run_time] : state.live.run_times) {
    sum += run_time;
  }
  const auto n = static_cast<int>(state.live.run_times.size());
  return n == 0 ? kUnknownRunTime : sum / n;
}

std::size_t QueuedBefore(const State& state, TimePoint finish_before) {
  const auto end =
      state.live.queue.upper_bound({finish_before, state.live.next_arrival});
  return static_cast<std::size_t>(std::distance(state.live.queue.begin(), end));
}

bool TooLate(const State& state, const LiveRequest& request, TimePoint now) {
  return state.options.guards.check_start_before &&
         (now > request.start_before || now >= request.finish_before);
}

// Lowers the estimate of a class after a refusal that rests on it alone. A
// request of the class is then tried again, and the estimate is renewed.
void LowerEstimate(State& state, const ClassName& name) {
  const auto it = state.live.run_times.find(name);
  if (it != state.live.run_times.end()) {
    it->second -= it->second / kRunTimeWeight;
  }
}

bool CannotFinish(State& state, const LiveRequest& request, TimePoint now) {
  const Millis wait = ExpectedWait(state, request.accelerators,
                                   QueuedBefore(state, request.finish_before));
  const Millis run_time = ExpectedRunTime(state, request.request_class);
  if (now + wait + run_time <= request.finish_before) {
    return false;
  }
  if (wait == Millis{0}) {
    LowerEstimate(state, request.request_class);
  }
  return true;
}

// Whether enough accelerators are or will soon be available to live requests.
// Accelerators that gangs use or have reserved may stay unavailable for hours.
bool HasCapacity(const State& state, int accelerators) {
  return std::popcount(LiveCapacityMask(state)) >= accelerators;
}

// Why a queued request can no longer start; empty when it can.
std::string QueueFault(const State& state,
                       const LiveRequest& request,
                       TimePoint now) {
  if (RefusesAsLeaving(state)) {
    return "leaving";
  }
  if (!HasCapacity(state, request.accelerators)) {
    return "no_accelerators";
  }
  return TooLate(state, request, now) ? "too_late" : "";
}

void Start(State& state,
           const RequestId& id,
           AcceleratorMask mask,
           TimePoint now,
           Outbox& out) {
  LiveRequest& request = state.live.known[id];
  request.stage = LiveStage::kRunning;
  request.started = now;
  TaskStart start{
      .owner = id,
      .live = true,
      .accelerators = mask,
      .declared_run_time = ExpectedRunTime(state, request.request_class),
      .body = std::exchange(request.body, {}),
      .checkpoint = {}};
  request.task = StartNewTask(state, std::move(start),
                              now + state.options.worker_lease, out);
  state.counters.AddTo("shallotlug_agent_live_started_total");
}

}  // namespace

int LiveRunning(const State& state) {
  return static_cast<int>(
      std::count_if(state.backend.tasks.begin(), state.backend.tasks.end(),
                    [](const auto& item) { return item.second.live; }));
}

Millis ExpectedWait(const State& state, int accelerators, std::size_t ahead) {
  if (ahead == 0 && CanTakeForLive(state, accelerators)) {
    return Millis{0};
  }
  const int running = std::max(1, LiveRunning(state));
  return MeanRunTime(state) * static_cast<int>(ahead + 1) / running;
}

Millis ExpectedRunTime(const State& state, const ClassName& name) {
  const auto it = state.live.run_times.find(name);
  return it == state.live.run_times.end() ? Millis{0} : it->second;
}

void UpdateRunTimeEstimate(State& state,
                           const ClassName& name,
                           Millis run_time) {
  const auto [it, inserted] = state.live.run_times.try_emplace(name, run_time);
  if (!inserted) {
    it->second += (run_time - it->second) / kRunTimeWeight;
  }
}

std::string AdmissionFault(State& state,
                           const LiveRequest& request,
                           TimePoint now) {
  const std::string fault = WorkerFault(state);
  if (!fault.empty()) {
    return fault;
  }
  if (TooLate(state, request, now)) {
    return "too_late";
  }
  if (request.accelerators > state.options.inventory.accelerators) {
    return "too_large";
  }
  if (!HasCapacity(state, request.accelerators)) {
    return "no_accelerators";
  }
  if (state.live.queue.size() >= state.options.live_queue_limit) {
    return "queue_full";
  }
  return CannotFinish(state, request, now) ? "cannot_finish" : "";
}

void Enqueue(State& state, const RequestId& id, const LiveRequest& request) {
  const QueueKey key{request.finish_before, state.live.next_arrival++};
  state.live.queue[key] = id;
}

void RemoveFromQueue(State& state, const RequestId& id) {
  std::erase_if(state.live.queue,
                [&](const auto& item) { return item.second == id; });
}

void RefuseOverdueRequests(State& state, TimePoint now, Outbox& out) {
  auto it = state.live.queue.begin();
  while (it != state.live.queue.end()) {
    const auto entry = it++;
    const RequestId id = entry->second;
    const std::string fault = QueueFault(state, state.live.known[id], now);
    if (!fault.empty()) {
      state.live.queue.erase(entry);
      Refuse(state, id, fault, out);
    }
  }
}

void StartQueuedRequests(State& state, TimePoint now, Outbox& out) {
  RefuseOverdueRequests(state, now, out);
  while (!state.live.queue.empty() && state.backend.reachable) {
    const RequestId id = state.live.queue.begin()->second;
    const auto mask =
        TakeForLive(state, state.live.known[id].accelerators, out);
    if (!mask) {
      return;
    }
    state.live.queue.erase(state.live.queue.begin());
    Start(state, id, *mask, now, out);
  }
}

}  // namespace shallotlug::agent
