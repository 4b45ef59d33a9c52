#ifndef SHALLOTLUG_JOBLOG_AUTHORITY_H_
#define SHALLOTLUG_JOBLOG_AUTHORITY_H_

#include <cstdint>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/workload/ledger.h"
#include "shallotlug/workload/record.h"

/// Leader election among the entries: one of them is the scheduler. A claim is
/// an append under a new epoch, of which the store takes only the first:
/// another one for the same epoch does not follow its sequence number. The
/// first tries have the condition that nothing was appended since the claimant
/// read the end of the log, so that a scheduler that lives is not deposed. A
/// claimant is the scheduler once it has read the log up to its claim.
namespace shallotlug::joblog {

/// @brief The producer name of all schedulers. The store fences by name, so all
/// of them must use the same one.
inline constexpr const char* kSchedulerProducer = "scheduler";

/// @brief Longest interval between appends of the scheduler.
inline constexpr Millis kAuthorityInterval{250};
/// @brief A scheduler without a record in a readable log for this long loses
/// its role.
inline constexpr Millis kAuthorityTimeout{900};

/// @brief An entry waits this long with its claim while others are stronger, so
/// that the scheduler role goes to a machine with enough processor time.
inline constexpr Millis kWeakClaimDelay{500};
/// @brief Time between the claims of equally strong entries, in which the next
/// one reads of a claim before its own turn. Without it all entries claim at
/// once, and on a slow store their appends hold up all others.
inline constexpr Millis kClaimTurn{40};
inline constexpr Millis kMaxClaimTurns{1'000};
/// @brief The first claim waits this long for the entries to register.
inline constexpr Millis kFirstClaimDelay{500};

/// @brief State of the scheduler as an entry has read it from the log.
struct AuthorityView {
  workload::SchedulerClaim claim;  ///< Newest.
  TimePoint heard_at{};  ///< When a record of the scheduler was last read.
};

/// @brief An entry that may claim the scheduler role.
struct Claimant {
  EntryName entry;
  Millis delay{0};  ///< Added to the time after which it claims.
};

/// @brief Whether another registered entry has considerably more processor
/// time.
bool IsWeakerThanAnother(const workload::Ledger& ledger, const EntryName& self);

/// @brief kWeakClaimDelay for an entry that is weaker than another, else 0.
Millis ClaimDelay(const workload::Ledger& ledger, const EntryName& self);

/// @brief Delay by which an entry lets other registered entries claim first:
/// kClaimTurn for each that comes before it in the order of this election, at
/// most kMaxClaimTurns. Weak entries come last. The newest scheduler, which is
/// silent, has no turn.
Millis ClaimTurn(const workload::Ledger& ledger, const EntryName& self);

/// @brief Whether an entry that is not the scheduler should claim now.
/// @param current_at When the log was last read to its end.
bool ShouldClaim(const AuthorityView& view,
                 const Claimant& claimant,
                 TimePoint current_at,
                 TimePoint now);

}  // namespace shallotlug::joblog

#endif  // SHALLOTLUG_JOBLOG_AUTHORITY_H_
