#ifndef SHALLOTLUG_SCHEDULER_SRC_ROLE_IMPL_H_
#define SHALLOTLUG_SCHEDULER_SRC_ROLE_IMPL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "append_queue.h"
#include "early_cancels.h"
#include "fleet_reach.h"
#include "shallotlug/joblog/authority.h"
#include "shallotlug/joblog/response_timer.h"
#include "shallotlug/scheduler/role.h"

/// State of the scheduler role. Its functions stand with their concept: role.cc
/// (terms and appends), role_claims.cc and role_checks.cc.
namespace shallotlug::scheduler {

/// @brief Term of this entry as the scheduler, under one epoch.
struct Term {
  explicit Term(Scheduler it) : scheduler(std::move(it)) {}

  Scheduler scheduler;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;  ///< Of the next append.
  TimePoint began{};
  TimePoint appended_at{};
  /// Start of the latest sequence of appends that all succeeded.
  TimePoint appending_since{};
  bool resigning = false;
  bool behind = false;       ///< It resigns because it is behind the log.
  bool agents_lost = false;  ///< It resigns because it hears too few agents.
  int agents_heard = 0;      ///< While these are enough; or as it resigned.
  std::optional<TimePoint> few_agents_since;  ///< None hear more.
  TimePoint reach_recorded_at{};
  std::optional<TimePoint> agents_lost_since;
};

/// @brief A claim that is in flight or whose outcome is unknown.
struct PendingClaim {
  workload::SchedulerClaim claim;
  std::uint64_t at = 0;  ///< End of the log when the claim was sent.
  TimePoint heard_at{};  ///< Last record of a scheduler before it.
  /// The store has taken it behind records that were not read when it was sent;
  /// the term begins when the log was read up to it.
  bool appended = false;
};

/// @brief Claims that failed because others had appended unrelated records.
struct MovedClaims {
  int count = 0;
  TimePoint heard_at{};  ///< Last record of a scheduler before them.
};

struct Role::Impl {
  Impl(const SchedulerOptions& given,
       workload::Ledger& state,
       const workload::Policy& targets)
      : options(given), ledger(state), policy(targets) {}

  SchedulerOptions options;
  workload::Ledger& ledger;
  const workload::Policy& policy;
  joblog::AuthorityView authority;
  FleetReach fleet_reach;
  std::uint64_t lowest_epoch = 1;  ///< Raised when the store fences a claim.
  std::optional<std::uint64_t> claim_at;  ///< A claim is due at this offset.
  std::optional<PendingClaim> claiming;
  MovedClaims moved_claims;
  std::uint64_t read_to = 0;  ///< Offset up to which the log was read.
  TimePoint answered_at{};    ///< When the store last answered a read.
  TimePoint current_at{};     ///< When the log was last read to its end.
  /// When a scheduler behind its log has last resigned.
  std::optional<TimePoint> handed_over_at;
  std::optional<Term> term;
  AppendQueue queue;                ///< Records of the last plan.
  bool append_running = false;      ///< An append is in flight.
  std::uint64_t running_epoch = 0;  ///< Of the term it belongs to; 0: a claim.
  bool resume_queue = false;        ///< Send what is first in the queue.
  TimePoint retry_at{};
  bool append_failed = false;  ///< The latest append of this term.
  joblog::ResponseTimer response_timer;
  TimePoint sent_at{};  ///< Of the append in flight.
  CancelAges cancel_ages;
  bool retiring = false;
  std::vector<LogLine> log;

  void BeginTerm(const workload::SchedulerClaim& claim, Now now);
  void StepDown(const std::string& reason, TimePoint now);
  void CheckAgents(Now now);
  void NoteAgents(ReachVerdict verdict, int heard, TimePoint now);
  /// @brief Adds the claim to the batch, with the number of heard agents.
  void AddClaimIfDue(std::vector<workload::RawRecord>& records, TimePoint now);
  void CheckLogLag(Now now);
  std::optional<RoleAppend> AppendClaim(std::uint64_t nonce, TimePoint now);
  RoleAppend Send(TimePoint now);
  void OnClaimAppended(const joblog::AppendResult& result, Now now);
  void LogLostClaim(const PendingClaim& pending, const std::string& detail);
  void OnBatchAppended(const joblog::AppendResult& result, Now now);
  void OnBatchRefused(const std::string& detail, Now now);
  /// @brief Sends what is left of the queue, or commits the plan.
  void Continue(bool more, TimePoint now);
};

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_ROLE_IMPL_H_
