#include "shallotlug/scheduler/role.h"

#include <algorithm>
#include <utility>

#include "append_queue.h"
#include "fleet_reach.h"
#include "shallotlug/joblog/authority.h"
#include "shallotlug/joblog/response_timer.h"

namespace shallotlug::scheduler {

using joblog::AppendResult;
using joblog::AppendStatus;
using workload::SchedulerClaim;

namespace {

constexpr Millis kAppendRetry{50};
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
// Shortens the nonce, from which sequence numbers count up, so that they do not
// overflow.
constexpr int kNonceShift = 16;
// Claims on condition that nothing was appended since the log was read. A
// scheduler that lives is recognized by its records then. After these the claim
// has no condition: while the store is slow, others append all the time.
constexpr int kConditionalClaims = 2;
// A longer time between two answered reads counts as an outage of the store.
// Reads of a slow store take up to 700 ms.
constexpr Millis kReadBreak{1'000};

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
  SchedulerClaim claim;
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

}  // namespace

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
  bool retiring = false;
  std::vector<LogLine> log;

  void BeginTerm(const SchedulerClaim& claim, Now now);
  void StepDown(const std::string& reason, TimePoint now);
  void CheckAgents(Now now);
  void NoteAgents(ReachVerdict verdict, int heard, TimePoint now);
  /// @brief Adds the claim to the batch, with the number of heard agents.
  void AddClaimIfDue(std::vector<workload::RawRecord>& records, TimePoint now);
  void CheckLogLag(Now now);
  std::optional<RoleAppend> AppendClaim(std::uint64_t nonce, TimePoint now);
  RoleAppend Send(TimePoint now);
  void OnClaimAppended(const AppendResult& result, Now now);
  void LogLostClaim(const PendingClaim& pending, const std::string& detail);
  void OnBatchAppended(const AppendResult& result, Now now);
  void OnBatchRefused(const std::string& detail, Now now);
  /// @brief Sends what is left of the queue, or commits the plan.
  void Continue(bool more, TimePoint now);
};

Role::Role(const SchedulerOptions& options,
           workload::Ledger& ledger,
           const workload::Policy& policy)
    : impl_(std::make_unique<Impl>(options, ledger, policy)) {}
Role::Role(Role&&) noexcept = default;
Role& Role::operator=(Role&&) noexcept = default;
Role::~Role() = default;

void Role::OnRecord(const joblog::StoredRecord& stored, Now now) {
  Impl& it = *impl_;
  const std::string& key = stored.record.key;
  if (workload::IsSchedulersRecord(key)) {
    it.authority.heard_at = now.local;
    it.authority.claim = it.ledger.claim;
    // Claims from before this process followed the log say nothing of now.
    if (workload::IsClaim(key) && it.current_at != TimePoint{} &&
        it.ledger.claim.entry != it.options.entry) {
      NoteClaim(it.fleet_reach, it.ledger.claim, now.local);
    }
    if (it.ledger.claim.behind) {
      it.handed_over_at = now.local;
    }
  }
  if (!it.term) {
    return;
  }
  if (it.ledger.claim.epoch > it.term->epoch) {
    it.StepDown("higher_claim", now.local);
    return;
  }
  if (workload::IsSchedulersRecord(key)) {
    return;
  }
  const auto record = workload::Decode(key, stored.record.value);
  if (!record) {
    return;
  }
  Scheduler& scheduler = it.term->scheduler;
  if (const auto* job = std::get_if<workload::JobAccepted>(&*record)) {
    scheduler.AddJob(it.ledger.jobs.at(job->job.id), now);
  } else if (const auto* cancel =
                 std::get_if<workload::JobCancelled>(&*record)) {
    scheduler.CancelJob(cancel->job);
  } else if (const auto* agent =
                 std::get_if<workload::AgentAddress>(&*record)) {
    scheduler.AddAgent(*agent, now);
  }
}

void Role::OnPage(const joblog::Follower& follower, Now now) {
  Impl& it = *impl_;
  it.claim_at.reset();
  it.read_to = follower.NextOffset();
  it.current_at = follower.CurrentAt();
  if (!follower.Loaded() || it.retiring) {
    return;
  }
  if (it.authority.heard_at == TimePoint{}) {
    // The silence of a scheduler is measured from the first complete read.
    it.authority.heard_at = now.local;
    it.authority.claim = it.ledger.claim;
  }
  // The scheduler could not append either while the store was away. What it
  // knows of ended runs would be lost with its role.
  if (now.local - std::exchange(it.answered_at, now.local) > kReadBreak) {
    it.authority.heard_at = now.local;
  }
  if (it.term || it.append_running) {
    return;
  }
  if (it.claiming && it.ledger.claim.nonce == it.claiming->claim.nonce) {
    // The claim was appended after records that had not been read, or its
    // append got no answer.
    const SchedulerClaim claim = it.claiming->claim;
    it.claiming.reset();
    it.BeginTerm(claim, now);
    return;
  }
  if (it.claiming && it.claiming->appended) {
    if (it.ledger.claim.epoch < it.claiming->claim.epoch) {
      return;
    }
    it.LogLostClaim(*it.claiming, "higher_claim");
    it.claiming.reset();
  }
  const EntryName& name = it.options.entry;
  const joblog::Claimant self{name, joblog::ClaimDelay(it.ledger, name) +
                                        joblog::ClaimTurn(it.ledger, name)};
  if (it.policy.version > 0 &&
      joblog::ShouldClaim(it.authority, self, follower.CurrentAt(),
                          now.local)) {
    it.claim_at = follower.NextOffset();
  }
}

std::optional<RoleAppend> Role::NextAppend(std::uint64_t nonce, Now now) {
  Impl& it = *impl_;
  if (it.append_running || now.local < it.retry_at) {
    return std::nullopt;
  }
  if (!it.term) {
    return it.AppendClaim(nonce, now.local);
  }
  if (it.resume_queue) {
    return it.Send(now.local);
  }
  it.CheckAgents(now);
  it.CheckLogLag(now);
  Term& term = *it.term;
  if (term.resigning) {
    SchedulerClaim claim = it.ledger.claim;
    claim.epoch = term.epoch;
    claim.entry = it.options.entry;
    claim.resigned = true;
    claim.behind = term.behind;
    claim.agents_lost = term.agents_lost;
    claim.agents_heard = term.agents_heard;
    it.queue = MakeAppendQueue({workload::Encode(claim)});
    return it.Send(now.local);
  }
  std::vector<workload::RawRecord> records =
      term.scheduler.Plan(it.policy, now);
  if (records.empty()) {
    term.scheduler.Commit();
  }
  it.AddClaimIfDue(records, now.local);
  if (records.empty()) {
    return std::nullopt;
  }
  it.queue = MakeAppendQueue(std::move(records));
  return it.Send(now.local);
}

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

RoleAppend Role::Impl::Send(TimePoint now) {
  RoleAppend append;
  append.records = queue.sending;
  append.options.producer = {joblog::kSchedulerProducer, term->epoch,
                             term->sequence};
  append.options.timeout = response_timer.Timeout();
  sent_at = now;
  append_running = true;
  running_epoch = term->epoch;
  return append;
}

void Role::OnAppended(const AppendResult& result, Now now) {
  Impl& it = *impl_;
  it.append_running = false;
  it.response_timer.OnAppend(result.status, now.local - it.sent_at);
  if (it.running_epoch == 0) {
    it.OnClaimAppended(result, now);
  } else if (it.term && it.term->epoch == it.running_epoch) {
    it.OnBatchAppended(result, now);
  }
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

void Role::Impl::BeginTerm(const SchedulerClaim& claim, Now now) {
  options.epoch = claim.epoch;
  term.emplace(Scheduler(options, ledger, now));
  term->scheduler.ConfirmAuthority({sent_at, now.wall});
  term->epoch = claim.epoch;
  term->sequence = claim.nonce + 1;
  term->began = now.local;
  term->appended_at = now.local;
  term->appending_since = now.local;
  term->resigning = retiring;
  resume_queue = false;
  append_failed = false;
  queue = {};
}

void Role::Impl::StepDown(const std::string& reason, TimePoint now) {
  log.push_back({LogLevel::kWarning,
                 "scheduler_stopped",
                 {{"epoch", std::to_string(term->epoch)},
                  {"reason", reason},
                  {"newest_epoch", std::to_string(ledger.claim.epoch)}}});
  term.reset();
  resume_queue = false;
  authority.heard_at = now;
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
  // While the store is away, reads fail as appends do.
  const Millis lag = now.local - std::max(current_at, term->appending_since);
  term->scheduler.HoldPlacement(lag > kMaxLogLag);
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

void Role::Impl::OnBatchAppended(const AppendResult& result, Now now) {
  if (result.status == AppendStatus::kFenced ||
      result.status == AppendStatus::kOutOfSequence) {
    StepDown(result.detail, now.local);
    return;
  }
  if (result.status == AppendStatus::kInvalid) {
    OnBatchRefused(result.detail, now);
    return;
  }
  if (result.status != AppendStatus::kDone) {
    // The retry is idempotent, as it has the same sequence number.
    log.push_back({LogLevel::kWarning,
                   "batch_repeated",
                   {{"sequence", std::to_string(term->sequence)},
                    {"detail", result.detail}}});
    resume_queue = true;
    retry_at = now.local + kAppendRetry;
    append_failed = true;
    return;
  }
  if (std::exchange(append_failed, false)) {
    term->appending_since = now.local;
  }
  ++term->sequence;
  term->appended_at = now.local;
  std::uint64_t offset = result.first_offset;
  for (const workload::RawRecord& it : queue.sending) {
    Apply(ledger, it.key, it.value, offset++);
  }
  authority.heard_at = now.local;
  authority.claim = ledger.claim;
  if (ledger.claim.resigned) {
    StepDown("resigned", now.local);
    return;
  }
  // The store may have answered long before this process reads the answer.
  term->scheduler.ConfirmAuthority({sent_at, now.wall});
  Continue(OnTaken(queue), now.local);
}

void Role::Impl::Continue(bool more, TimePoint now) {
  resume_queue = more;
  retry_at = now;
  if (!more) {
    term->scheduler.Commit(queue.refused);
  }
}

// A refused append has no effect, so that the next one has its sequence number.
void Role::Impl::OnBatchRefused(const std::string& detail, Now now) {
  const std::vector<workload::RawRecord>& records = queue.sending;
  const bool alone = records.size() == 1;
  log.push_back({alone ? LogLevel::kError : LogLevel::kWarning,
                 alone ? "record_refused" : "append_refused",
                 {{"epoch", std::to_string(term->epoch)},
                  {"records", std::to_string(records.size())},
                  {"bytes", std::to_string(joblog::AppendedBytes(records))},
                  {"key", records.front().key},
                  {"detail", detail}}});
  const bool claim = alone && workload::IsClaim(records.front().key);
  const bool more = OnRefused(queue);
  if (claim || RefusesAll(queue)) {
    StepDown(detail, now.local);
    return;
  }
  Continue(more, now.local);
}

Scheduler* Role::Active() {
  return impl_->term ? &impl_->term->scheduler : nullptr;
}

std::uint64_t Role::Epoch() const {
  return impl_->term ? impl_->term->epoch : 0;
}

void Role::OnDeposed(std::uint64_t epoch, Now now) {
  if (impl_->term && impl_->term->epoch == epoch) {
    impl_->StepDown("agent_obeys_higher_epoch", now.local);
  }
}

void Role::Retire() {
  impl_->retiring = true;
  impl_->claim_at.reset();
  if (impl_->term) {
    impl_->term->resigning = true;
  }
}

bool Role::Retired() const {
  return impl_->retiring && !impl_->term;
}

std::vector<LogLine> Role::TakeLog() {
  std::vector<LogLine> lines = std::exchange(impl_->log, {});
  if (impl_->term) {
    for (LogLine& it : impl_->term->scheduler.TakeLog()) {
      lines.push_back(std::move(it));
    }
  }
  return lines;
}

}  // namespace shallotlug::scheduler
