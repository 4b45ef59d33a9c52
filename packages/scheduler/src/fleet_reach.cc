#include "fleet_reach.h"

#include <algorithm>

namespace shallotlug::scheduler {

namespace {

// Agents heard within this time are expected to be heard again. Longer than
// several terms of schedulers that are cut off.
constexpr Millis kWindow{30'000};
// After so many schedulers that heard too few agents, the agents are gone.
constexpr int kMaxResignations = 2;

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
    NoteHeard(reach, heard, now);
    return;
  }
  if (!IsRecent(reach.resigned_at, now)) {
    reach.resigned = 0;
    reach.heard_by_resigned = 0;
  }
  ++reach.resigned;
  reach.heard_by_resigned = std::max(reach.heard_by_resigned, heard);
  reach.resigned_at = now;
}

bool HearsTooFew(const FleetReach& reach, int heard, int known, TimePoint now) {
  const bool told = reach.peak > 0 && IsRecent(reach.peak_at, now);
  const int fleet = told ? std::min(reach.peak, known) : known;
  if (heard * 2 >= fleet) {
    return false;
  }
  const bool others_heard_no_more = IsRecent(reach.resigned_at, now) &&
                                    reach.resigned >= kMaxResignations &&
                                    heard >= reach.heard_by_resigned;
  return !others_heard_no_more;
}

}  // namespace shallotlug::scheduler
