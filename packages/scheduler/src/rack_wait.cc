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
// The end of a run is known roughly, and is reported after some time.
constexpr double kExpectedTimeFactor = 1.25;
constexpr Millis kReportTime{500};

/// @brief The longest wait for a rack that a unit gains from.
Millis WorthOfRack(const State& state, const Unit& unit) {
  if (unit.step->lasting) {
    return Millis{0};
  }
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

/// @brief Until when a wait that begins now lasts: until a rack is expected to
/// come free, if that is within `limit`.
TimePoint EndOfWait(State& state,
                    const Fleet& fleet,
                    const Unit& unit,
                    const std::vector<Candidate>& candidates,
                    const Demand& demand,
                    Millis limit,
                    TimePoint now) {
  const auto expected =
      limit > Millis{0}
          ? TimeUntilRackFits(state, fleet, candidates, demand, now)
          : std::nullopt;
  const Millis time = expected.value_or(Millis::max());
  const bool waits = time <= limit;
  Log(state, "gang_without_rack",
      {{"job", unit.key.occurrence.job.value},
       {"occurrence", std::to_string(unit.key.occurrence.number)},
       {"step", std::to_string(unit.key.step)},
       {"tasks", std::to_string(demand.count)},
       {"expected_ms", expected ? std::to_string(time.count()) : "none"},
       {"limit_ms", std::to_string(limit.count())},
       {"waits", waits ? "true" : "false"}});
  if (!waits) {
    return now;
  }
  const auto with_margin =
      std::chrono::duration_cast<Millis>(kExpectedTimeFactor * time) +
      kReportTime;
  return now + std::min(limit, with_margin);
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
  const Millis limit = WorthOfRack(state, unit);
  const auto [it, begins] =
      state.rack_waits.try_emplace(unit.key, RackWait{now.local, now.local});
  RackWait& wait = it->second;
  // A rack that was expected to come free was taken by others. In a busy pool a
  // spread gang would keep its workers from others for longer.
  const Millis left = limit - (now.local - wait.since);
  const bool again = !begins && now.local >= wait.until && left > Millis{0} &&
                     wait.until > wait.since && IsBusy(candidates);
  if (begins || again) {
    wait.until =
        EndOfWait(state, fleet, unit, candidates, demand, left, now.local);
  }
  return now.local >= wait.until;
}

bool WaitsForRack(const State& state, const Unit& unit, TimePoint now) {
  const auto wait = state.rack_waits.find(unit.key);
  return wait != state.rack_waits.end() && now < wait->second.until;
}

}  // namespace shallotlug::scheduler
