#include <algorithm>
#include <utility>

#include "role_impl.h"

/// Claims of the scheduler role.
namespace shallotlug::scheduler {

using joblog::AppendResult;
using joblog::AppendStatus;

namespace {

// Shortens the nonce, from which sequence numbers count up, so that they do not
// overflow.
constexpr int kNonceShift = 16;
// Claims on condition that nothing was appended since the log was read. A
// scheduler that lives is recognized by its records then. After these the claim
// has no condition: while the store is slow, others append all the time.
constexpr int kConditionalClaims = 2;

}  // namespace

std::optional<RoleAppend> Role::Impl::AppendClaim(std::uint64_t nonce,
                                                  TimePoint now) {
  if (!claim_at) {
    return std::nullopt;
  }
  PendingClaim pending;
  pending.at = *std::exchange(claim_at, std::nullopt);
  pending.claim.epoch = std::max(ledger.claim.epoch + 1, lowest_epoch);
  pending.claim.entry = options.entry;
  pending.claim.nonce = nonce >> kNonceShift;
  pending.heard_at = authority.heard_at;
  log.push_back({LogLevel::kInfo,
                 "scheduler_claim",
                 {{"epoch", std::to_string(pending.claim.epoch)},
                  {"at", std::to_string(pending.at)},
                  {"former", ledger.claim.entry.value},
                  Label{"silent_ms",
                        std::to_string((now - authority.heard_at).count())}}});
  RoleAppend append;
  append.records = {workload::Encode(pending.claim)};
  const bool conditional = moved_claims.count < kConditionalClaims ||
                           moved_claims.heard_at != authority.heard_at;
  if (conditional) {
    append.options.at = pending.at;
  }
  // Two entries may claim the same epoch. The store takes only the first: the
  // second does not follow its sequence number. With equal numbers the second
  // would be a duplicate of the first.
  append.options.producer = {joblog::kSchedulerProducer, pending.claim.epoch,
                             pending.claim.nonce};
  append.options.timeout = response_timer.Timeout();
  sent_at = now;
  claiming = std::move(pending);
  append_running = true;
  running_epoch = 0;
  return append;
}

void Role::Impl::OnClaimAppended(const AppendResult& result, Now now) {
  if (!claiming || term || result.status == AppendStatus::kOutcomeUnknown) {
    // Reading the log shows whether a claim with unknown outcome was appended.
    return;
  }
  if (result.status == AppendStatus::kDone &&
      result.first_offset > claiming->at) {
    claiming->appended = true;
    return;
  }
  const PendingClaim pending = *std::exchange(claiming, std::nullopt);
  if (result.status == AppendStatus::kDone &&
      result.first_offset == pending.at) {
    const workload::RawRecord raw = workload::Encode(pending.claim);
    Apply(ledger, raw.key, raw.value, pending.at);
    BeginTerm(pending.claim, now);
    return;
  }
  LogLostClaim(pending, result.detail);
  if (result.status == AppendStatus::kFenced) {
    lowest_epoch = pending.claim.epoch + 1;
  }
  if (result.status == AppendStatus::kMoved) {
    const bool more = moved_claims.heard_at == pending.heard_at;
    moved_claims = {more ? moved_claims.count + 1 : 1, pending.heard_at};
  }
  // Claim again at once if only unrelated records were appended meanwhile and
  // all of them have been read.
  if (result.status == AppendStatus::kMoved && result.end_offset == read_to &&
      authority.heard_at == pending.heard_at) {
    claim_at = read_to;
  }
}

void Role::Impl::LogLostClaim(const PendingClaim& pending,
                              const std::string& detail) {
  log.push_back(
      {LogLevel::kInfo,
       "scheduler_claim_lost",
       {{"epoch", std::to_string(pending.claim.epoch)}, {"detail", detail}}});
}

}  // namespace shallotlug::scheduler
