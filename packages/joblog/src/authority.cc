#include "shallotlug/joblog/authority.h"

namespace shallotlug::joblog {

namespace {

// The log must have been read to its end this recently: silence says nothing
// about the scheduler when the log cannot be read.
constexpr Millis kFresh{400};
// An entry that has resigned leaves the others this much time to claim.
constexpr Millis kOwnResignation{3'000};

}  // namespace

bool ShouldClaim(const AuthorityView& view,
                 const EntryName& self,
                 TimePoint current_at,
                 TimePoint now) {
  if (now - current_at > kFresh) {
    return false;
  }
  const Millis silence = now - view.heard_at;
  // The claim of a former process of this entry is void.
  if (view.claim.entry == self && !view.claim.resigned) {
    return true;
  }
  if (view.claim.epoch == 0) {
    return true;
  }
  if (view.claim.resigned) {
    return view.claim.entry != self || silence >= kOwnResignation;
  }
  return silence >= kAuthorityTimeout;
}

}  // namespace shallotlug::joblog
