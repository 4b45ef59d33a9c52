#include "fleet_reach.h"

#include <algorithm>

namespace shallotlug::scheduler {

namespace {

// Agents heard within this time are expected to be heard again. Longer than
// several terms of schedulers that are cut off.
constexpr Millis kWindow{30'000};
// After so many entries that heard too few agents, the agents are gone: a cut
// data centre holds a part of the entries.
constexpr std::size_t kMaxResigned = 3;
// Agents go on failing while the role changes hands.
constexpr int kSimilarPercent = 90;

bool IsRecent(TimePoint at, TimePoint now) {
  return at != TimePoint{} && now - at <= kWindow;
}

}  // namespace

void NoteHeard(FleetReach& reach, int heard, TimePoint now) {
  if (heard >= reach.peak || !IsRecent(reach.peak_at, now)) {
    reach.peak = heard;
    reach.peak_at = now;
  }
}

void NoteClaim(FleetReach& reach,
               const workload::SchedulerClaim& claim,
               TimePoint now) {
  const int heard = static_cast<int>(claim.agents_heard);
  if (!claim.resigned || !claim.agents_lost) {
    if (heard > 0) {
      NoteHeard(reach, heard, now);
    }
    return;
  }
  if (!IsRecent(reach.resigned_at, now)) {
    reach.resigned.clear();
    reach.heard_by_resigned = 0;
  }
  reach.resigned.insert(claim.entry);
  reach.heard_by_resigned = std::max(reach.heard_by_resigned, heard);
  reach.resigned_at = now;
}

ReachVerdict JudgeReach(const FleetReach& reach,
                        const AgentCounts& agents,
                        TimePoint now) {
  const bool told = reach.peak > 0 && IsRecent(reach.peak_at, now);
  const int fleet = told ? std::min(reach.peak, agents.known) : agents.known;
  if (agents.heard * 2 >= fleet) {
    return ReachVerdict::kEnough;
  }
  const std::size_t tried = std::min(kMaxResigned, agents.other_entries);
  const bool none_hear_more =
      IsRecent(reach.resigned_at, now) && reach.resigned.size() >= tried &&
      agents.heard * 100 >= reach.heard_by_resigned * kSimilarPercent;
  return none_hear_more ? ReachVerdict::kNoneHearMore : ReachVerdict::kTooFew;
}

}  // namespace shallotlug::scheduler
