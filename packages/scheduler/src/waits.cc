#include "waits.h"

#include <algorithm>

namespace shallotlug::scheduler {

namespace {

constexpr Millis kLoggedWait{500};
constexpr Millis kWaitLogInterval{1'000};

const char* Name(WaitReason reason) {
  switch (reason) {
    case WaitReason::kStopsPending:
      return "stops_pending";
    case WaitReason::kNothingToPreempt:
      return "nothing_to_preempt";
    case WaitReason::kNoneInTime:
      return "none_in_time";
    case WaitReason::kNoRack:
      return "no_rack";
    case WaitReason::kNotAlone:
      return "not_alone";
  }
  return "unknown";
}

const char* Text(bool it) {
  return it ? "true" : "false";
}

/// @brief Runs that are being stopped on the workers reserved for a unit.
struct PendingStops {
  int count = 0;
  TimePoint oldest{};
};

PendingStops StopsFor(const State& state, const UnitKey& unit, TimePoint now) {
  PendingStops stops{0, now};
  const auto reservation = state.reservations.find(unit);
  if (reservation == state.reservations.end()) {
    return stops;
  }
  const std::set<AgentName> agents(reservation->second.workers.begin(),
                                   reservation->second.workers.end());
  for (const AgentName& agent : agents) {
    for (const auto& [task, run] : state.runs.On(agent).rows) {
      if (run->stop_requested) {
        ++stops.count;
        stops.oldest = std::min(stops.oldest, run->stop_requested_at);
      }
    }
  }
  return stops;
}

}  // namespace

void LogGuarantee(State& state,
                  const OccurrenceKey& key,
                  const OccurrenceRow& row,
                  const GuaranteeShare& share,
                  Now now) {
  Log(state, "guarantee_changed",
      {{"job", key.job.value},
       {"occurrence", std::to_string(key.number)},
       {"customer", row.job->customer.value},
       {"within", Text(share.within)},
       {"need", std::to_string(share.need)},
       {"left", std::to_string(share.left)},
       {"known_after_ms", std::to_string(row.known_after.count())},
       Age("known_ms", row.known_at, now.local)});
}

void LogUrgentWait(State& state, const Unit& unit, WaitReason reason, Now now) {
  OccurrenceRow& row = *unit.row;
  if (unit.Priority() != 0 || now.local - row.known_at < kLoggedWait ||
      now.local - row.wait_logged_at < kWaitLogInterval) {
    return;
  }
  row.wait_logged_at = now.local;
  const PendingStops stops = StopsFor(state, unit.key, now.local);
  Log(state, "urgent_waiting",
      {{"job", unit.key.occurrence.job.value},
       {"step", std::to_string(unit.key.step)},
       {"tasks", std::to_string(unit.tasks.size())},
       {"accelerators", std::to_string(unit.step->need.accelerators)},
       {"reason", Name(reason)},
       {"guaranteed", Text(unit.guaranteed)},
       {"begun", Text(row.begun)},
       {"known_after_ms", std::to_string(row.known_after.count())},
       Age("known_ms", row.known_at, now.local),
       {"stops", std::to_string(stops.count)},
       Age("oldest_stop_ms", stops.oldest, now.local)});
}

void LogIfBegun(State& state, const workload::TaskRef& task, TimePoint now) {
  OccurrenceRow* row = FindOccurrence(state, task);
  if (row == nullptr || row->begun || row->terms.priority != 0) {
    return;
  }
  const auto runs = state.runs.OfStep(task.job, task.occurrence, task.step);
  const auto running = std::count_if(
      runs.begin(), runs.end(),
      [](const auto& it) { return it.second.state == RunState::kRunning; });
  if (running < StepOf(*row, task.step).count) {
    return;
  }
  row->begun = true;
  Log(state, "urgent_begun",
      {{"job", task.job.value},
       {"occurrence", std::to_string(task.occurrence)},
       {"guaranteed", Text(state.guaranteed.contains(KeyOf(task)))},
       {"known_after_ms", std::to_string(row->known_after.count())},
       Age("known_ms", row->known_at, now),
       {"limit_ms", std::to_string(state.options.reclaim.count())}});
}

}  // namespace shallotlug::scheduler
