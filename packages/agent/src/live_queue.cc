#include "live_queue.h"

#include <algorithm>
#include <bit>
#include <utility>
#include <vector>

#include "accelerators.h"
#include "backend_tasks.h"
#include "live_requests.h"

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

void Start(State& state,
           const RequestId& id,
           AcceleratorMask mask,
           TimePoint now,
           Outbox& out) {
  LiveRequest& request = state.live.known[id];
  request.stage = LiveStage::kRunning;
  request.started = now;
  TaskStart start{id,
                  true,
                  mask,
                  ExpectedRunTime(state, request.request_class),
                  std::exchange(request.body, {}),
                  ""};
  request.task = StartNewTask(state, std::move(start),
                              now + state.options.worker_lease, out);
  state.counters.AddTo("shallotlug_agent_live_started_total");
}

// Starts the request if it fits. False means that it must wait.
bool TryStart(State& state, const RequestId& id, TimePoint now, Outbox& out) {
  const int needed = state.live.known[id].accelerators;
  const AcceleratorMask free = FreeMask(state);
  if (FreeSlots(state) < 1 || std::popcount(free) < needed) {
    return false;
  }
  Start(state, id, LowestBits(free, needed), now, out);
  return true;
}

}  // namespace

int LiveRunning(const State& state) {
  return static_cast<int>(
      std::count_if(state.backend.tasks.begin(), state.backend.tasks.end(),
                    [](const auto& item) { return item.second.live; }));
}

Millis ExpectedWait(const State& state, std::size_t ahead) {
  if (ahead == 0 && FreeSlots(state) > 0 && FreeMask(state) != 0) {
    return Millis{0};
  }
  const int running = std::max(1, LiveRunning(state));
  return MeanRunTime(state) * static_cast<int>(ahead + 1) / running;
}

Millis ExpectedRunTime(const State& state, const ClassName& name) {
  const auto it = state.live.run_times.find(name);
  return it == state.live.run_times.end() ? Millis{0} : it->second;
}

void LearnRunTime(State& state, const ClassName& name, Millis run_time) {
  const auto [it, inserted] = state.live.run_times.try_emplace(name, run_time);
  if (!inserted) {
    it->second += (run_time - it->second) / kRunTimeWeight;
  }
}

void Enqueue(State& state, const RequestId& id, const LiveRequest& request) {
  const QueueKey key{request.finish_before, state.live.next_arrival++};
  state.live.queue[key] = id;
}

void RemoveFromQueue(State& state, const RequestId& id) {
  std::erase_if(state.live.queue,
                [&](const auto& item) { return item.second == id; });
}

void StartQueuedRequests(State& state, TimePoint now, Outbox& out) {
  while (!state.live.queue.empty() && state.backend.reachable) {
    const RequestId id = state.live.queue.begin()->second;
    if (!TryStart(state, id, now, out)) {
      return;
    }
    state.live.queue.erase(state.live.queue.begin());
  }
}

}  // namespace shallotlug::agent
