#include "orders.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace shallotlug::scheduler {

using protocol::SyncRequest;
using workload::RunRef;

namespace {

// Interval after which an order is resent that the agent has not confirmed.
constexpr Millis kOrderRepeat{500};
// A call stays well below what the agent accepts, so that it is carried out
// soon.
constexpr std::size_t kCallBytes = protocol::kMaxSyncRequestBytes / 4;
// Of a run in a message, beside the id of its job.
constexpr std::size_t kRunBytes = 64;

/// @brief Bytes that are left in a call.
class CallRoom {
 public:
  /// @brief Whether there is room for so many bytes, which are taken then. The
  /// first ones always find room.
  bool Take(std::size_t bytes) {
    if (used_ > 0 && used_ + bytes > kCallBytes) {
      return false;
    }
    used_ += bytes;
    return true;
  }

 private:
  std::size_t used_ = 0;
};

std::size_t BytesOf(const RunRef& run) {
  return kRunBytes + run.task.job.value.size();
}

bool StartIsDue(const AgentRow& agent, const RunRow& run, TimePoint now) {
  // A run that was ordered before may have ended.
  const bool may_have_ended = agent.more_ends && run.ordered_before;
  return run.state == RunState::kOrdered && !run.stop_requested &&
         !may_have_ended && run.on.worker == agent.worker.life &&
         now - run.order_sent >= kOrderRepeat;
}

bool StopIsDue(const RunRow& run, TimePoint now) {
  return run.state != RunState::kPlanned && run.stop_requested &&
         now - run.stop_sent >= kOrderRepeat;
}

void AddSettled(AgentRow& agent, SyncRequest& request, CallRoom& room) {
  auto end = agent.settled.begin();
  while (end != agent.settled.end() && room.Take(BytesOf(*end))) {
    ++end;
  }
  request.settled.assign(agent.settled.begin(), end);
  agent.settled.erase(agent.settled.begin(), end);
}

// The agent reports those that are left out again.
void AddOrphans(const AgentRow& agent, SyncRequest& request, CallRoom& room) {
  for (const RunRef& it : agent.orphans) {
    if (!room.Take(BytesOf(it))) {
      return;
    }
    request.stops.push_back(it);
  }
}

bool AddStop(const RunRef& ref,
             RunRow& run,
             SyncRequest& request,
             CallRoom& room,
             TimePoint now) {
  if (!room.Take(BytesOf(ref))) {
    return false;
  }
  run.stop_sent = now;
  request.stops.push_back(ref);
  return true;
}

bool AddStart(const RunRef& ref,
              const std::string& payload,
              RunRow& run,
              SyncRequest& request,
              CallRoom& room,
              TimePoint now) {
  if (!room.Take(BytesOf(ref) + payload.size() + run.checkpoint.size())) {
    return false;
  }
  request.starts.push_back({ref, payload, run.checkpoint, run.ordered_before});
  run.order_sent = now;
  run.ordered_before = true;
  return true;
}

}  // namespace

bool OrderIsDue(const State& state, const AgentRow& agent, TimePoint now) {
  const auto& runs = state.runs.On(agent.address.agent).rows;
  return std::any_of(runs.begin(), runs.end(), [&](const auto& it) {
    return StopIsDue(*it.second, now) || StartIsDue(agent, *it.second, now);
  });
}

void AddOrders(State& state,
               AgentRow& agent,
               SyncRequest& request,
               TimePoint now) {
  CallRoom room;
  AddSettled(agent, request, room);
  AddOrphans(agent, request, room);
  // Stops go first: they are small, and others wait for the room.
  const auto& runs = state.runs.On(agent.address.agent).rows;
  for (const auto& [task, run] : runs) {
    if (StopIsDue(*run, now) &&
        !AddStop({task, run->run}, *run, request, room, now)) {
      return;
    }
  }
  for (const auto& [task, run] : runs) {
    if (StartIsDue(agent, *run, now) &&
        !AddStart({task, run->run}, FindOccurrence(state, task)->job->payload,
                  *run, request, room, now)) {
      return;
    }
  }
}

}  // namespace shallotlug::scheduler
