#include "rack_wait.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "reserve.h"
#include "triage.h"
#include "victims.h"

namespace shallotlug::scheduler {

namespace {

// A guaranteed gang is spread over racks after this fraction of the time within
// which it has to start. A gang that has started before has no such limit.
constexpr int kSpreadShareOfReclaim = 4;
// Limit of the wait of a gang whose run time is not known.
constexpr Millis kUnknownWorkWait{3'000};
// A gang does not wait for longer where others want the room.
constexpr Millis kMaxWaitInBusyPool{30'000};
constexpr Millis kWeighInterval{500};
// The end of a run is known roughly, and is reported after some time.
constexpr double kExpectedTimeFactor = 1.25;
constexpr Millis kReportTime{500};

/// @brief The longest wait for a rack that a unit gains from.
Millis WorthOfRack(const State& state, const Unit& unit) {
  if (unit.step->estimate <= Millis{0}) {
    return kUnknownWorkWait;
  }
  return std::chrono::duration_cast<Millis>((state.options.remote_factor - 1) *
                                            unit.step->estimate);
}

/// @brief A run on a candidate, and when it ends.
struct ExpectedEnd {
  Millis after{0};
  std::size_t candidate = 0;
  workload::Resources need;
};

std::optional<Millis> TimeUntilEnd(const State& state,
                                   const workload::TaskRef& task,
                                   const RunRow& run,
                                   TimePoint now) {
  if (run.stop_requested) {
    return StopLimit(state.options);
  }
  const auto row = state.occurrences.find(KeyOf(task));
  return row == state.occurrences.end()
             ? std::nullopt
             : ExpectedTimeLeft(row->second, task, run, now);
}

std::vector<ExpectedEnd> ExpectedEnds(const State& state,
                                      const Fleet& fleet,
                                      const std::vector<Candidate>& members,
                                      TimePoint now) {
  std::vector<ExpectedEnd> ends;
  for (std::size_t n = 0; n < members.size(); ++n) {
    const AgentName& agent =
        *fleet[static_cast<std::size_t>(members[n].worker)].name;
    for (const auto& [task, run] : state.runs.On(agent).rows) {
      const auto after = TimeUntilEnd(state, task, *run, now);
      if (after) {
        ends.push_back({*after, n, run->need});
      }
    }
  }
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.after < b.after; });
  return ends;
}

/// @brief As TimeUntilRackFits(), for the members of one rack.
std::optional<Millis> TimeUntilMembersFit(const State& state,
                                          const Fleet& fleet,
                                          std::vector<Candidate> members,
                                          const Demand& demand,
                                          TimePoint now) {
  std::int64_t slots = 0;
  const auto slots_of = [&](const Candidate& it) {
    return Slots(it.free, demand.need, it.limit);
  };
  for (const Candidate& it : members) {
    slots += slots_of(it);
  }
  if (slots >= demand.count) {
    return Millis{0};
  }
  for (const ExpectedEnd& it : ExpectedEnds(state, fleet, members, now)) {
    Candidate& member = members[it.candidate];
    slots -= slots_of(member);
    member.free += it.need;
    slots += slots_of(member);
    if (slots >= demand.count) {
      return it.after;
    }
  }
  return std::nullopt;
}

/// @brief What the unit's job earns if the unit ends after this time.
Credit CreditAfter(const Unit& unit, Millis time, Now now) {
  return CreditAt(DeadlinesOf(*unit.row), now.wall + time + unit.time_behind);
}

/// @brief Whether a busy pool's unit waits on: a spread gang takes room from
/// others for longer, which is justified only if its own caller gains by it.
bool WaitsInBusyPool(const State& state,
                     const Unit& unit,
                     const RackWait& wait,
                     std::optional<Millis> expected,
                     Now now) {
  if (!expected || now.local - wait.since >= kMaxWaitInBusyPool) {
    return false;
  }
  const Millis estimate = unit.step->estimate;
  const Credit in_rack = CreditAfter(unit, *expected + estimate, now);
  const Credit spread =
      CreditAfter(unit, estimate + WorthOfRack(state, unit), now);
  return in_rack <= spread;
}

/// @brief Decides whether the unit waits for a rack, and until when.
void Weigh(State& state,
           const Unit& unit,
           RackWait& wait,
           std::optional<Millis> expected,
           bool busy,
           Now now) {
  const Millis limit = WorthOfRack(state, unit);
  if (busy) {
    wait.spread = !WaitsInBusyPool(state, unit, wait, expected, now);
    wait.until = now.local + kWeighInterval;
  } else if (wait.expected_by || !expected || *expected > limit) {
    // The rack that was expected was taken by others.
    wait.spread = true;
  } else {
    const auto with_margin =
        std::chrono::duration_cast<Millis>(kExpectedTimeFactor * *expected) +
        kReportTime;
    wait.expected_by = now.local + std::min(limit, with_margin);
    wait.until = *wait.expected_by;
  }
  if (wait.spread || wait.since == now.local) {
    Log(state, "gang_without_rack",
        {{"job", unit.key.occurrence.job.value},
         {"occurrence", std::to_string(unit.key.occurrence.number)},
         {"step", std::to_string(unit.key.step)},
         {"tasks", std::to_string(unit.tasks.size())},
         {"expected_ms", expected ? std::to_string(expected->count()) : "none"},
         {"limit_ms", std::to_string(limit.count())},
         {"busy", busy ? "true" : "false"},
         Age("waited_ms", wait.since, now.local),
         {"waits", wait.spread ? "false" : "true"}});
  }
}

}  // namespace

std::optional<Millis> TimeUntilRackFits(
    const State& state,
    const Fleet& fleet,
    const std::vector<Candidate>& candidates,
    const Demand& demand,
    TimePoint now) {
  std::optional<Millis> soonest;
  for (std::vector<Candidate>& members : ByRack(candidates)) {
    const auto time =
        TimeUntilMembersFit(state, fleet, std::move(members), demand, now);
    if (time && (!soonest || *time < *soonest)) {
      soonest = time;
    }
  }
  return soonest;
}

bool MaySpreadOverRacks(State& state,
                        const Fleet& fleet,
                        const Unit& unit,
                        const std::vector<Candidate>& candidates,
                        const Demand& demand,
                        Now now) {
  const Millis waited = std::max(now.wall - unit.row->due, Millis{0});
  if (!demand.same_rack || !AnyRackCanHold(candidates, demand) ||
      (unit.guaranteed && !workload::HasStarted(unit.row->progress) &&
       waited > state.options.reclaim / kSpreadShareOfReclaim)) {
    return true;
  }
  if (unit.step->lasting) {
    return true;
  }
  RackWait& wait = state.rack_waits
                       .try_emplace(unit.key, RackWait{now.local, now.local,
                                                       std::nullopt, false})
                       .first->second;
  if (!wait.spread && now.local >= wait.until) {
    Weigh(state, unit, wait,
          TimeUntilRackFits(state, fleet, candidates, demand, now.local),
          IsBusy(candidates), now);
  }
  return wait.spread;
}

bool WaitsForRack(const State& state, const Unit& unit) {
  const auto wait = state.rack_waits.find(unit.key);
  return wait != state.rack_waits.end() && !wait->second.spread;
}

TimePoint WaitsForRackUntil(const State& state, const Unit& unit) {
  const auto wait = state.rack_waits.find(unit.key);
  return wait != state.rack_waits.end() && !wait->second.spread
             ? wait->second.until
             : TimePoint{};
}

}  // namespace shallotlug::scheduler
