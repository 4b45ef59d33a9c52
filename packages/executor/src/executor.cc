#include "shallotlug/executor/executor.h"

#include <algorithm>
#include <map>
#include <utility>

#include "crashes.h"

namespace shallotlug::executor {

using protocol::RefusalReason;
using protocol::RunPhase;
using protocol::StartOrder;
using protocol::WorkerState;
using workload::RunRef;

const char* Name(OrderStatus status) {
  switch (status) {
    case OrderStatus::kDone:
      return "done";
    case OrderStatus::kNoAnswer:
      return "no_answer";
    case OrderStatus::kNotReached:
      return "not_reached";
    case OrderStatus::kFenced:
      return "fenced";
    case OrderStatus::kSuperseded:
      return "superseded";
    case OrderStatus::kLeaseOver:
      return "lease_over";
    case OrderStatus::kNoRoom:
      return "no_room";
    case OrderStatus::kNoTicket:
      return "no_ticket";
    case OrderStatus::kOtherWorker:
      return "other_worker";
    case OrderStatus::kUnhealthy:
      return "unhealthy";
    case OrderStatus::kInvalid:
      return "invalid";
  }
  return "unknown";
}

namespace {

// An unanswered start is retried, which is idempotent, and then stopped.
constexpr int kStartAttempts = 3;
constexpr Millis kStartRetryDelay{100};
constexpr Millis kStopRetryDelay{300};
// A worker that has not answered for longer is reported as silent.
constexpr Millis kMaxWorkerSilence{2'500};
// Time that a worker needs after the end of its lease to kill its runs.
constexpr Millis kLeaseExpiryMargin{600};
constexpr Millis kWatchWait{1'000};
constexpr Millis kIdleWatchWait{2'000};
// The worker's lease is renewed when it can be extended by more than this.
constexpr Millis kLeaseRenewalThreshold{700};

/// @brief A run that is or may be on the worker.
struct TrackedRun {
  RunPhase phase = RunPhase::kStarting;
  StartOrder order;  ///< Only while starting.
  workload::ActiveRun active;
  int attempts = 0;
  TimePoint next_call{};
  bool call_pending = false;
  /// An earlier start was not answered and may still take effect.
  bool ambiguous = false;
  /// Listed by the current life of the worker.
  bool listed = false;
  /// When the worker confirmed the start to this process of the agent.
  std::optional<TimePoint> started_at;
  /// The run is refused once a look with this or a higher number shows that it
  /// is not on the worker.
  std::optional<std::uint64_t> refuse_from_look;
  RefusalReason reason = RefusalReason::kStopped;
  /// Number of the first look sent after the worker confirmed the start.
  std::uint64_t first_look_after_start = 0;
};

/// @brief Whether the run is on the worker, or a start of it was sent.
bool MayBePresent(const TrackedRun& run) {
  return run.listed || run.started_at || run.ambiguous || run.call_pending ||
         run.phase == RunPhase::kRunning;
}

}  // namespace

struct Executor::Impl {
  ExecutorOptions options;
  std::uint64_t epoch = 0;
  TimePoint lease_until{};

  std::optional<workload::WorkerFacts> facts;
  std::uint64_t heartbeat_sequence = 0;
  bool lists_read = false;  ///< Lists of the current life.
  bool departed = false;
  bool silent = false;
  std::int64_t reported_born = 0;
  TimePoint answered_at{};
  PeerClockSample clock;
  bool clock_known = false;
  WorkerTime granted_lease{};
  /// Upper bound of all leases sent to the worker.
  TimePoint granted_until{};

  std::map<RunRef, TrackedRun> runs;
  std::vector<workload::RunEnd> ends;
  std::vector<workload::RunEnd> former_ends;  ///< Of earlier lives.
  /// When the current life last answered or sent a heartbeat.
  TimePoint heard_at{};
  /// Runs of the current life whose lease has expired while it was silent.
  std::vector<PresentRun> lapsed_runs;
  std::map<RunRef, protocol::CrashReport> crashes;  ///< Of earlier lives.
  std::map<RunRef, RefusalReason> refusals;
  std::uint64_t noted_ends = 0;
  std::uint64_t confirmed_noted_ends = 0;  ///< Answered by the worker.

  std::uint64_t version = 1;
  std::uint64_t next_look = 1;
  /// `noted_ends` of each look that is not answered yet, by look number.
  std::map<std::uint64_t, std::uint64_t> pending_looks;
  std::uint64_t immediate_look = 0;  ///< Look up to this number at once.
  std::vector<LogLine> log;

  void MarkChanged() { ++version; }
  void Log(std::string event, const RunRef& run, std::vector<Label> fields);
  void Refuse(const RunRef& run, RefusalReason reason);
  void StartNewLife(const char* cause, TimePoint now);
  void RecordCrash();
  void AcceptStart(const StartOrder& order,
                   const workload::WorkerLife& life,
                   TimePoint now);
  void BeginStop(const RunRef& run, RefusalReason reason, TimePoint now);
  void RefuseOnceAbsent(TrackedRun& run, RefusalReason reason);
  bool HasEnded(const RunRef& run) const;
  std::optional<WorkerTime> SafeWorkerLease() const;
  std::optional<WorkerTime> GrantLease();
  void ExpireSilentWorker(TimePoint now);
  WorkerQuery MakeQuery(Millis wait);
  void ApplyActiveRuns(const std::vector<workload::ActiveRun>& active,
                       std::uint64_t number);
  void ApplyEnds(const std::vector<workload::RunEnd>& list);
};

void Executor::Impl::Log(std::string event,
                         const RunRef& run,
                         std::vector<Label> fields) {
  std::vector<Label> all{{"job", run.task.job.value},
                         {"task", workload::ToString(run.task)},
                         {"run", std::to_string(run.run)},
                         {"epoch", std::to_string(epoch)}};
  all.insert(all.end(), std::make_move_iterator(fields.begin()),
             std::make_move_iterator(fields.end()));
  log.push_back({LogLevel::kInfo, std::move(event), std::move(all)});
}

void Executor::Impl::Refuse(const RunRef& run, RefusalReason reason) {
  runs.erase(run);
  refusals[run] = reason;
  Log("run_refused", run, {{"reason", Name(reason)}});
  MarkChanged();
}

// No run of the former life is left. Starts that were not answered, or that the
// former life has not listed, may reach the new life, which has the same id, so
// they are stopped there before they are refused.
void Executor::Impl::StartNewLife(const char* cause, TimePoint now) {
  log.push_back({LogLevel::kInfo,
                 "worker_life_ended",
                 {{"how", cause},
                  {"worker", facts ? facts->life.id : ""},
                  {"born", std::to_string(reported_born)}}});
  if (facts && !facts->draining && !departed) {
    RecordCrash();
  }
  lapsed_runs.clear();
  std::vector<RunRef> over;
  for (auto& [ref, run] : runs) {
    if ((!run.listed && run.attempts > 0) || run.ambiguous) {
      run.phase = RunPhase::kStopping;
      run.reason = RefusalReason::kOtherLife;
      run.next_call = now;
      run.refuse_from_look.reset();
    } else {
      over.push_back(ref);
    }
  }
  for (const RunRef& it : over) {
    Refuse(it, RefusalReason::kOtherLife);
  }
  former_ends.insert(former_ends.end(), ends.begin(), ends.end());
  ends.clear();
  noted_ends = 0;
  confirmed_noted_ends = 0;
  pending_looks.clear();
  lists_read = false;
  silent = false;
  clock_known = false;
  granted_lease = {};
  granted_until = {};
  MarkChanged();
}

void Executor::Impl::RecordCrash() {
  std::vector<PresentRun> present = lapsed_runs;
  for (const auto& [ref, run] : runs) {
    if (MayBePresent(run)) {
      present.push_back({ref, run.started_at, run.listed});
    }
  }
  for (const protocol::CrashReport& it : ReportCrash(present, heard_at)) {
    if (crashes.try_emplace(it.run, it).second) {
      Log("worker_crashed_under", it.run,
          {{"early", it.early ? "true" : "false"},
           {"alone", it.alone ? "true" : "false"}});
    }
  }
}

bool Executor::Impl::HasEnded(const RunRef& run) const {
  const auto matches = [&](const auto& it) { return it.run == run; };
  return std::any_of(ends.begin(), ends.end(), matches) ||
         std::any_of(former_ends.begin(), former_ends.end(), matches);
}

void Executor::Impl::AcceptStart(const StartOrder& order,
                                 const workload::WorkerLife& life,
                                 TimePoint now) {
  const RunRef& ref = order.run;
  // Until the worker's lists are read, the run may already be there. The
  // scheduler repeats the order.
  if (runs.contains(ref) || refusals.contains(ref) || HasEnded(ref) ||
      (!lists_read && !departed)) {
    return;
  }
  if (!facts || departed || life != facts->life) {
    Refuse(ref, RefusalReason::kOtherLife);
    return;
  }
  if (facts->draining || lease_until <= now) {
    const RefusalReason reason =
        facts->draining ? RefusalReason::kDraining : RefusalReason::kNoLease;
    if (order.repeated) {
      BeginStop(ref, reason, now);
    } else {
      Refuse(ref, reason);
    }
    return;
  }
  TrackedRun run;
  run.order = order;
  run.ambiguous = order.repeated;
  run.active.run = ref;
  run.active.checkpoint = order.checkpoint;
  run.next_call = now;
  runs.emplace(ref, std::move(run));
  Log("start_ordered", ref, {{"worker", facts->life.id}});
  MarkChanged();
}

void Executor::Impl::BeginStop(const RunRef& ref,
                               RefusalReason reason,
                               TimePoint now) {
  if (HasEnded(ref) || refusals.contains(ref)) {
    return;
  }
  TrackedRun& run = runs[ref];
  if (run.phase == RunPhase::kStopping) {
    return;
  }
  run.active.run = ref;
  run.phase = RunPhase::kStopping;
  run.reason = reason;
  run.next_call = now;
  run.refuse_from_look.reset();
  Log("stop_ordered", ref, {{"reason", Name(reason)}});
  MarkChanged();
}

void Executor::Impl::RefuseOnceAbsent(TrackedRun& run, RefusalReason reason) {
  run.reason = reason;
  run.refuse_from_look = next_look;
  immediate_look = next_look;
}

std::optional<WorkerTime> Executor::Impl::SafeWorkerLease() const {
  if (!clock_known) {
    return std::nullopt;
  }
  const Millis left = lease_until - clock.received;
  // The worker's clock may run 2 % slow, so that the lease would end late.
  const Millis safe = left - left / 50;
  if (safe <= Millis{0}) {
    return std::nullopt;
  }
  return clock.peer + safe;
}

// The lease of a silent worker is not renewed, so that its runs are known to
// have ended after a bounded time.
std::optional<WorkerTime> Executor::Impl::GrantLease() {
  const auto lease = silent ? std::nullopt : SafeWorkerLease();
  if (lease) {
    granted_lease = *lease;
    granted_until = std::max(granted_until, lease_until);
  }
  return lease;
}

void Executor::Impl::ExpireSilentWorker(TimePoint now) {
  if (!silent || runs.empty() || now < granted_until + kLeaseExpiryMargin) {
    return;
  }
  std::vector<RunRef> over;
  for (const auto& [ref, run] : runs) {
    over.push_back(ref);
    if (MayBePresent(run)) {
      lapsed_runs.push_back({ref, run.started_at, run.listed});
    }
  }
  for (const RunRef& it : over) {
    Refuse(it, RefusalReason::kLapsed);
  }
}

WorkerQuery Executor::Impl::MakeQuery(Millis wait) {
  WorkerQuery look;
  look.number = next_look++;
  look.context.worker = facts ? facts->life.id : "";
  look.context.epoch = epoch;
  look.context.lease_until = GrantLease();
  // Sent only until it is confirmed: a delayed call would make a new life with
  // the same id drop ends that it has just numbered.
  look.noted_ends = noted_ends > confirmed_noted_ends ? noted_ends : 0;
  pending_looks[look.number] = look.noted_ends;
  look.wait = wait;
  return look;
}

void Executor::Impl::ApplyActiveRuns(
    const std::vector<workload::ActiveRun>& active,
    std::uint64_t number) {
  std::map<RunRef, const workload::ActiveRun*> present;
  for (const workload::ActiveRun& it : active) {
    present[it.run] = &it;
    const auto [run, added] = runs.try_emplace(it.run);
    if (added) {
      run->second.phase = RunPhase::kRunning;
      Log("run_adopted", it.run, {});
      MarkChanged();
    } else if (run->second.phase == RunPhase::kStarting &&
               !run->second.call_pending) {
      run->second.phase = RunPhase::kRunning;
      MarkChanged();
    }
    run->second.active = it;
    run->second.listed = true;
  }
  std::vector<std::pair<RunRef, RefusalReason>> refused;
  std::vector<RunRef> vanished;
  for (auto& [ref, run] : runs) {
    if (present.contains(ref)) {
      continue;
    }
    if (run.refuse_from_look && number >= *run.refuse_from_look) {
      refused.emplace_back(ref, run.reason);
    } else if (run.phase == RunPhase::kRunning &&
               number >= run.first_look_after_start) {
      vanished.push_back(ref);
    }
  }
  for (const auto& [ref, reason] : refused) {
    Refuse(ref, reason);
  }
  for (const RunRef& it : vanished) {
    runs.erase(it);
    Log("run_vanished", it, {});
    MarkChanged();
  }
}

void Executor::Impl::ApplyEnds(const std::vector<workload::RunEnd>& list) {
  for (const workload::RunEnd& it : list) {
    if (it.number <= noted_ends || HasEnded(it.run)) {
      continue;
    }
    ends.push_back(it);
    runs.erase(it.run);
    refusals.erase(it.run);
    Log("run_ended", it.run,
        {{"reason", Name(it.reason)}, {"number", std::to_string(it.number)}});
    MarkChanged();
  }
}

Executor::Executor(const ExecutorOptions& options)
    : impl_(std::make_unique<Impl>()) {
  impl_->options = options;
}
Executor::Executor(Executor&&) noexcept = default;
Executor& Executor::operator=(Executor&&) noexcept = default;
Executor::~Executor() = default;

void Executor::OnHeartbeat(const workload::WorkerFacts& facts,
                           std::uint64_t sequence,
                           TimePoint now) {
  Impl& it = *impl_;
  if (it.facts && it.facts->life == facts.life) {
    if (sequence <= it.heartbeat_sequence && !it.departed) {
      return;
    }
  } else if (it.facts && facts.life.born < it.facts->life.born) {
    // A delayed heartbeat of a former life.
    return;
  }
  const bool new_life = it.facts && it.facts->life != facts.life;
  const bool changed = !it.facts || *it.facts != facts || it.departed;
  if (new_life) {
    it.StartNewLife("heartbeat", now);
  }
  it.heartbeat_sequence = sequence;
  it.heard_at = now;
  it.facts = facts;
  it.departed = false;
  if (new_life && it.reported_born != facts.life.born) {
    it.reported_born = 0;
  }
  if (changed) {
    it.log.push_back({LogLevel::kInfo,
                      "worker_heard",
                      {{"worker", facts.life.id},
                       {"born", std::to_string(facts.life.born)},
                       {"draining", facts.draining ? "true" : "false"},
                       {"sequence", std::to_string(sequence)}}});
    it.immediate_look = it.next_look;
    it.MarkChanged();
  }
}

void Executor::OnDeparture(const std::string& worker, TimePoint now) {
  Impl& it = *impl_;
  if (!it.facts || it.facts->life.id != worker || it.departed) {
    return;
  }
  it.departed = true;
  it.StartNewLife("departure", now);
}

bool Executor::OnSync(const protocol::SyncRequest& request, TimePoint now) {
  Impl& it = *impl_;
  if (request.epoch < it.epoch) {
    return false;
  }
  if (request.epoch > it.epoch) {
    it.log.push_back({LogLevel::kInfo,
                      "scheduler_changed",
                      {{"entry", request.entry.value},
                       {"epoch", std::to_string(request.epoch)},
                       {"former_epoch", std::to_string(it.epoch)}}});
    it.epoch = request.epoch;
    it.immediate_look = it.next_look;
  }
  if (request.lease > Millis{0}) {
    it.lease_until = std::max(it.lease_until,
                              AsLocalTime(request.lease_from) + request.lease);
  }
  for (const RunRef& ref : request.settled) {
    it.refusals.erase(ref);
    it.crashes.erase(ref);
    std::erase_if(it.former_ends,
                  [&](const workload::RunEnd& end) { return end.run == ref; });
  }
  const bool same_life = it.facts && request.worker == it.facts->life;
  if (same_life && request.noted_ends > it.noted_ends) {
    it.noted_ends = request.noted_ends;
    std::erase_if(it.ends, [&](const workload::RunEnd& end) {
      return end.number <= it.noted_ends;
    });
    it.immediate_look = it.next_look;
  }
  // The scheduler considers a run ended when the lease of its order has
  // expired; a request may have been delayed for longer than that.
  const bool orders_valid =
      now < AsLocalTime(request.lease_from) + request.lease;
  for (const StartOrder& order : request.starts) {
    if (orders_valid) {
      it.AcceptStart(order, request.worker, now);
    } else {
      it.Log("start_order_expired", order.run,
             {{"entry", request.entry.value}});
    }
  }
  for (const RunRef& ref : request.stops) {
    it.BeginStop(ref, RefusalReason::kStopped, now);
  }
  return true;
}

protocol::SyncReply Executor::MakeReply(bool accepted, TimePoint now) const {
  const Impl& it = *impl_;
  protocol::SyncReply reply;
  reply.agent = it.options.agent;
  reply.incarnation = it.options.incarnation;
  reply.clock = AsPeerTime(now);
  reply.epoch = it.epoch;
  reply.accepted = accepted;
  reply.version = it.version;
  if (it.facts) {
    reply.worker = *it.facts;
  }
  if (it.departed) {
    reply.worker_state = WorkerState::kGone;
  } else if (!it.facts || !it.lists_read) {
    reply.worker_state = WorkerState::kUnknown;
  } else {
    reply.worker_state =
        it.silent ? WorkerState::kSilent : WorkerState::kPresent;
  }
  for (const auto& [ref, run] : it.runs) {
    reply.runs.push_back({run.active, run.phase});
  }
  reply.ends = it.ends;
  reply.former_ends = it.former_ends;
  for (const auto& [ref, reason] : it.refusals) {
    reply.refusals.push_back({ref, reason});
  }
  for (const auto& [ref, crash] : it.crashes) {
    reply.crashes.push_back(crash);
  }
  return reply;
}

std::uint64_t Executor::Version() const {
  return impl_->version;
}

std::vector<Action> Executor::TakeActions(TimePoint now) {
  Impl& it = *impl_;
  it.ExpireSilentWorker(now);
  std::vector<Action> actions;
  for (auto& [ref, run] : it.runs) {
    if (run.call_pending || run.next_call > now) {
      continue;
    }
    if (run.phase == RunPhase::kStarting) {
      run.call_pending = true;
      ++run.attempts;
      actions.emplace_back(StartAction{run.order});
    } else if (run.phase == RunPhase::kStopping && !run.refuse_from_look) {
      run.call_pending = true;
      actions.emplace_back(StopAction{ref});
    }
  }
  return actions;
}

OrderContext Executor::Context() {
  Impl& it = *impl_;
  return {it.facts ? it.facts->life.id : "", it.epoch, it.GrantLease()};
}

namespace {

RefusalReason ToRefusalReason(OrderStatus status) {
  switch (status) {
    case OrderStatus::kNoRoom:
      return RefusalReason::kNoRoom;
    case OrderStatus::kFenced:
      return RefusalReason::kFenced;
    case OrderStatus::kSuperseded:
      return RefusalReason::kSuperseded;
    case OrderStatus::kLeaseOver:
      return RefusalReason::kNoLease;
    case OrderStatus::kNoTicket:
      return RefusalReason::kNoTicket;
    case OrderStatus::kOtherWorker:
      return RefusalReason::kOtherLife;
    case OrderStatus::kUnhealthy:
      return RefusalReason::kUnhealthy;
    case OrderStatus::kInvalid:
      return RefusalReason::kInvalid;
    case OrderStatus::kDone:
    case OrderStatus::kNoAnswer:
    case OrderStatus::kNotReached:
      return RefusalReason::kNoAnswer;
  }
  return RefusalReason::kNoAnswer;
}

bool IsRetryable(OrderStatus status) {
  return status == OrderStatus::kNoAnswer ||
         status == OrderStatus::kNotReached ||
         status == OrderStatus::kLeaseOver;
}

}  // namespace

void Executor::OnStartResult(const RunRef& ref,
                             const OrderResult& result,
                             TimePoint now) {
  Impl& it = *impl_;
  const auto found = it.runs.find(ref);
  it.Log("start_answered", ref,
         {{"status", Name(result.status)}, {"detail", result.detail}});
  if (found == it.runs.end()) {
    return;
  }
  TrackedRun& run = found->second;
  run.call_pending = false;
  if (run.phase != RunPhase::kStarting) {
    return;
  }
  run.ambiguous |= result.status == OrderStatus::kNoAnswer;
  if (result.status == OrderStatus::kDone) {
    it.heard_at = now;
    run.started_at = now;
    run.phase = RunPhase::kRunning;
    run.first_look_after_start = it.next_look;
    it.MarkChanged();
  } else if (IsRetryable(result.status) && run.attempts < kStartAttempts) {
    run.next_call = now + kStartRetryDelay;
  } else if (result.status == OrderStatus::kSuperseded) {
    run.phase = RunPhase::kStopping;
    it.RefuseOnceAbsent(run, RefusalReason::kSuperseded);
  } else if (run.ambiguous) {
    it.BeginStop(ref, ToRefusalReason(result.status), now);
  } else {
    it.Refuse(ref, ToRefusalReason(result.status));
  }
}

void Executor::OnStopResult(const RunRef& ref,
                            const OrderResult& result,
                            TimePoint now) {
  Impl& it = *impl_;
  const auto found = it.runs.find(ref);
  it.Log("stop_answered", ref,
         {{"status", Name(result.status)}, {"detail", result.detail}});
  if (found == it.runs.end()) {
    return;
  }
  TrackedRun& run = found->second;
  run.call_pending = false;
  if (result.status == OrderStatus::kDone ||
      result.status == OrderStatus::kSuperseded) {
    it.RefuseOnceAbsent(run, run.reason);
  } else {
    run.next_call = now + kStopRetryDelay;
  }
}

WorkerQuery Executor::WatchCall(TimePoint now) {
  Impl& it = *impl_;
  if (!it.lists_read) {
    return it.MakeQuery(Millis{0});
  }
  const bool idle = it.runs.empty() || it.lease_until <= now;
  return it.MakeQuery(idle ? kIdleWatchWait : kWatchWait);
}

WorkerQuery Executor::LastCall() {
  return impl_->MakeQuery(Millis{0});
}

std::optional<WorkerQuery> Executor::QuickCall(TimePoint) {
  Impl& it = *impl_;
  const auto lease = it.SafeWorkerLease();
  const bool renew = lease && !it.runs.empty() &&
                     *lease - it.granted_lease > kLeaseRenewalThreshold;
  if (it.immediate_look < it.next_look && !renew) {
    return std::nullopt;
  }
  return it.MakeQuery(Millis{0});
}

void Executor::OnView(std::uint64_t number,
                      const WorkerView& view,
                      TimePoint now) {
  Impl& it = *impl_;
  const auto look = it.pending_looks.extract(number);
  if (view.status != OrderStatus::kDone) {
    if (!it.silent && it.lists_read &&
        now - it.answered_at > kMaxWorkerSilence) {
      it.silent = true;
      it.log.push_back({LogLevel::kWarning,
                        "worker_silent",
                        {{"worker", it.facts ? it.facts->life.id : ""},
                         {"detail", view.detail}}});
      it.MarkChanged();
    }
    return;
  }
  it.answered_at = now;
  if (view.born != 0 && it.reported_born != 0 &&
      view.born != it.reported_born) {
    it.StartNewLife("lists", now);
    it.reported_born = view.born;
    return;
  }
  it.reported_born = view.born != 0 ? view.born : it.reported_born;
  if (view.clock) {
    // A call that waits for an end may be answered after a later call.
    if (it.clock_known && *view.clock < it.clock.peer) {
      return;
    }
    it.clock = {*view.clock, now};
    it.clock_known = true;
  }
  if (look) {
    it.confirmed_noted_ends = std::max(it.confirmed_noted_ends, look.mapped());
  }
  if (!it.facts || (view.born != 0 && view.born != it.facts->life.born)) {
    // The worker is identified by its next heartbeat.
    return;
  }
  it.heard_at = now;
  it.lapsed_runs.clear();
  if (!it.lists_read || it.silent) {
    it.lists_read = true;
    it.silent = false;
    it.MarkChanged();
  }
  it.ApplyEnds(view.ends);
  it.ApplyActiveRuns(view.active, number);
}

std::vector<LogLine> Executor::TakeLog() {
  return std::exchange(impl_->log, {});
}

}  // namespace shallotlug::executor
