#include <algorithm>
#include <utility>

#include "role_impl.h"

/// Whether a scheduler is still fit for its role, and what it tells of that.
namespace shallotlug::scheduler {

using workload::SchedulerClaim;

namespace {

// A scheduler that hears too few agents for this long resigns.
constexpr Millis kAgentsLostAfter{1'500};
constexpr Millis kAgentHeardWithin{2'500};
// A scheduler that hears few agents, as others did, takes these for the fleet
// after this time: less than for how long resignations are remembered.
constexpr Millis kFewAgentsTime{20'000};
// A changed number of heard agents is recorded after at most this time.
constexpr Millis kReachInterval{5'000};
// A scheduler that can append but has not read the log to its end for this long
// places nothing, and hands its role over to a stronger entry: it knows neither
// the newest jobs nor the newest cancels.
constexpr Millis kMaxLogLag{1'000};
// After this time it hands over to an equal entry, too.
constexpr Millis kMaxLogLagOfStrongest{3'000};
// The entries that should take over may be lost, so that an overloaded one
// claims again. It keeps the role for this time.
constexpr Millis kHandoverInterval{30'000};
// Time for a new scheduler to contact its agents before it may resign.
constexpr Millis kAgentContactGrace{3'000};

}  // namespace

// A batch of other records shows as well that the scheduler lives, but not how
// many agents it hears.
void Role::Impl::AddClaimIfDue(std::vector<workload::RawRecord>& records,
                               TimePoint now) {
  const bool silent = now - term->appended_at >= joblog::kAuthorityInterval;
  const bool outdated = term->agents_heard != ledger.claim.agents_heard &&
                        now - term->reach_recorded_at >= kReachInterval;
  if (!(records.empty() ? silent : outdated)) {
    return;
  }
  SchedulerClaim claim = ledger.claim;
  claim.agents_heard = term->agents_heard;
  term->reach_recorded_at = now;
  records.push_back(workload::Encode(claim));
}

void Role::Impl::CheckAgents(Now now) {
  if (now.local - term->began < kAgentContactGrace) {
    return;
  }
  const auto reach = term->scheduler.AgentsHeard(kAgentHeardWithin, now);
  const std::size_t others =
      ledger.entries.size() - ledger.entries.count(options.entry);
  const ReachVerdict verdict =
      JudgeReach(fleet_reach, {reach.heard, reach.known, others}, now.local);
  if (verdict != ReachVerdict::kTooFew) {
    term->agents_lost_since.reset();
    NoteAgents(verdict, reach.heard, now.local);
    return;
  }
  if (!term->agents_lost_since) {
    term->agents_lost_since = now.local;
  }
  if (now.local - *term->agents_lost_since > kAgentsLostAfter) {
    log.push_back({LogLevel::kWarning,
                   "scheduler_resigns",
                   {{"reason", "agents_lost"},
                    {"heard", std::to_string(reach.heard)},
                    {"known", std::to_string(reach.known)},
                    {"heard_of_late", std::to_string(fleet_reach.peak)},
                    {"epoch", std::to_string(term->epoch)}}});
    term->agents_heard = reach.heard;
    term->agents_lost = true;
    term->resigning = true;
  }
}

// The agents that no entry hears any more leave the fleet in the end.
void Role::Impl::NoteAgents(ReachVerdict verdict, int heard, TimePoint now) {
  if (verdict == ReachVerdict::kEnough) {
    term->few_agents_since.reset();
    term->agents_heard = heard;
    NoteHeard(fleet_reach, heard, now);
    return;
  }
  if (!term->few_agents_since) {
    term->few_agents_since = now;
  }
  if (now - *term->few_agents_since >= kFewAgentsTime) {
    fleet_reach = {heard, now, {}, 0, {}};
  }
}

void Role::Impl::CheckLogLag(Now now) {
  // After an outage of the store the first append may be answered before the
  // first read, and jobs may have been cancelled meanwhile.
  term->scheduler.HoldPlacement(now.local - current_at > kMaxLogLag);
  // While the store is away, reads fail as appends do.
  const Millis lag = now.local - std::max(current_at, term->appending_since);
  const Millis limit = joblog::IsWeakerThanAnother(ledger, options.entry)
                           ? kMaxLogLag
                           : kMaxLogLagOfStrongest;
  if (lag <= limit || term->resigning || ledger.entries.size() < 2 ||
      (handed_over_at && now.local - *handed_over_at < kHandoverInterval)) {
    return;
  }
  log.push_back({LogLevel::kWarning,
                 "scheduler_resigns",
                 {{"reason", "log_lag"},
                  {"lag_ms", std::to_string(lag.count())},
                  {"epoch", std::to_string(term->epoch)}}});
  handed_over_at = now.local;
  term->behind = true;
  term->resigning = true;
}

}  // namespace shallotlug::scheduler
