#include "shallotlug/scheduler/role.h"

#include <utility>

#include "role_impl.h"

namespace shallotlug::scheduler {

using joblog::AppendResult;
using joblog::AppendStatus;
using workload::SchedulerClaim;

namespace {

constexpr Millis kAppendRetry{50};
// A longer time between two answered reads counts as an outage of the store.
// Reads of a slow store take up to 700 ms.
constexpr Millis kReadBreak{1'000};

}  // namespace

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
  AddOldCancels(it.cancel_ages, it.ledger, records, now);
  it.AddClaimIfDue(records, now.local);
  if (records.empty()) {
    return std::nullopt;
  }
  it.queue = MakeAppendQueue(std::move(records));
  return it.Send(now.local);
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
