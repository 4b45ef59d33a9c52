#include "shallotlug/joblog/authority.h"

namespace shallotlug::joblog {

namespace {

// Maximum time since the log was read to its end: while the log cannot be read,
// silence does not imply a failed scheduler.
constexpr Millis kMaxReadAge{400};
// After its own resignation an entry waits so that others can claim first.
constexpr Millis kReclaimDelay{3'000};

}  // namespace

bool ShouldClaim(const AuthorityView& view,
                 const EntryName& self,
                 TimePoint current_at,
                 TimePoint now) {
  if (now - current_at > kMaxReadAge) {
    return false;
  }
  const Millis silence = now - view.heard_at;
  // The claim of a former process of this entry is no longer valid.
  if (view.claim.entry == self && !view.claim.resigned) {
    return true;
  }
  if (view.claim.epoch == 0) {
    return true;
  }
  if (view.claim.resigned) {
    return view.claim.entry != self || silence >= kReclaimDelay;
  }
  return silence >= kAuthorityTimeout;
}

}  // namespace shallotlug::joblog
