#ifndef SHALLOTLUG_SCHEDULER_ROLE_H_
#define SHALLOTLUG_SCHEDULER_ROLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "shallotlug/joblog/follower.h"
#include "shallotlug/joblog/log_calls.h"
#include "shallotlug/scheduler/scheduler.h"

namespace shallotlug::scheduler {

/// @brief An append to the log that the role asks its owner for; at most one is
/// in flight.
struct RoleAppend {
  std::vector<workload::RawRecord> records;
  joblog::AppendOptions options;
};

/// @brief Leader election of an entry for the scheduler role: it claims the
/// role, plans while it holds it and resigns from it. Does no I/O.
///
/// The log decides who is the scheduler. A claim is appended on the condition
/// that nothing was appended since the claimant read the log's end, and raises
/// the producer epoch, so that the store rejects later appends of a
/// predecessor.
class Role {
 public:
  /// @param options `entry` and the timing; the role sets the epoch.
  /// @param ledger Kept up to date by the owner; the role applies what it has
  /// appended itself.
  Role(const SchedulerOptions& options,
       workload::Ledger& ledger,
       const workload::Policy& policy);
  Role(Role&&) noexcept;
  Role& operator=(Role&&) noexcept;
  ~Role();

  /// @brief Called after a record of the log was applied to the ledger.
  void OnRecord(const joblog::StoredRecord& stored, Now now);
  /// @brief Called after a page of the log was read.
  void OnPage(const joblog::Follower& follower, Now now);

  /// @brief Returns the append that is due now, unless one is in flight.
  /// @param nonce A random number; used when the append is a claim.
  std::optional<RoleAppend> NextAppend(std::uint64_t nonce, Now now);
  void OnAppended(const joblog::AppendResult& result, Now now);

  /// @brief Returns the scheduler while this entry holds the role, else null.
  Scheduler* Active();
  /// @brief Epoch of the current term; 0 outside a term.
  std::uint64_t Epoch() const;

  /// @brief Called when an agent has accepted a higher epoch than `epoch`.
  void OnDeposed(std::uint64_t epoch, Now now);

  /// @brief Resigns, and does not claim the role again.
  void Retire();
  /// @brief Whether Retire() was called and the term has ended.
  bool Retired() const;

  /// @brief Takes the log lines since the last call.
  std::vector<LogLine> TakeLog();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_ROLE_H_
