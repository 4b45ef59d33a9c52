#include "shallotlug/joblog/authority.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace shallotlug::joblog {

namespace {

// Maximum time since the log was read to its end: while the log cannot be read,
// silence does not imply a failed scheduler.
constexpr Millis kMaxReadAge{400};
// After its own resignation an entry waits so that others can claim first.
constexpr Millis kReclaimDelay{3'000};

// An entry with this many percent of another one's processor time is as strong.
constexpr std::int64_t kEqualStrengthPercent = 70;

// All entries must compute the same order, and another one for each epoch.
std::uint64_t OrderOf(const EntryName& name, std::uint64_t epoch) {
  return XXH64(name.value.data(), name.value.size(), epoch);
}

std::int64_t GreatestStrength(const workload::Ledger& ledger) {
  std::int64_t greatest = 0;
  for (const auto& [name, entry] : ledger.entries) {
    greatest = std::max(greatest, entry.cpu_millis);
  }
  return greatest;
}

bool IsWeak(std::int64_t cpu_millis, std::int64_t greatest) {
  return cpu_millis * 100 < greatest * kEqualStrengthPercent;
}

}  // namespace

bool IsWeakerThanAnother(const workload::Ledger& ledger,
                         const EntryName& self) {
  const auto own = ledger.entries.find(self);
  return IsWeak(own == ledger.entries.end() ? 0 : own->second.cpu_millis,
                GreatestStrength(ledger));
}

Millis ClaimDelay(const workload::Ledger& ledger, const EntryName& self) {
  return IsWeakerThanAnother(ledger, self) ? kWeakClaimDelay : Millis{0};
}

Millis ClaimTurn(const workload::Ledger& ledger, const EntryName& self) {
  const std::uint64_t epoch = ledger.claim.epoch;
  const std::int64_t greatest = GreatestStrength(ledger);
  const auto own =
      std::make_pair(IsWeakerThanAnother(ledger, self), OrderOf(self, epoch));
  const auto before = std::count_if(
      ledger.entries.begin(), ledger.entries.end(), [&](const auto& it) {
        return it.first != self && it.first != ledger.claim.entry &&
               std::make_pair(IsWeak(it.second.cpu_millis, greatest),
                              OrderOf(it.first, epoch)) < own;
      });
  return std::min(kClaimTurn * before, kMaxClaimTurns);
}

bool ShouldClaim(const AuthorityView& view,
                 const Claimant& claimant,
                 TimePoint current_at,
                 TimePoint now) {
  if (now - current_at > kMaxReadAge) {
    return false;
  }
  const Millis silence = now - view.heard_at;
  if (view.claim.epoch == 0) {
    return silence >= kFirstClaimDelay + claimant.delay;
  }
  const bool own = view.claim.entry == claimant.entry;
  if (view.claim.resigned) {
    return silence >= (own ? kReclaimDelay : Millis{0}) + claimant.delay;
  }
  // The claim of a former process of this entry is no longer valid.
  return silence >= (own ? Millis{0} : kAuthorityTimeout) + claimant.delay;
}

}  // namespace shallotlug::joblog
