#include <algorithm>
#include <utility>

#include "impl.h"

namespace shallotlug::executor {

using protocol::RefusalReason;
using protocol::RunPhase;
using protocol::StartOrder;
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

bool MayBePresent(const TrackedRun& run) {
  return run.listed || run.started_at || run.ambiguous || run.call_pending ||
         run.phase == RunPhase::kRunning;
}

void Executor::Impl::Refuse(const RunRef& run, RefusalReason reason) {
  runs.erase(run);
  refusals[run] = reason;
  Log("run_refused", run, {{"reason", Name(reason)}});
  MarkChanged();
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
  // Until the worker's lists are read, the run may already be there, or may
  // have ended there. The scheduler repeats the order.
  if (runs.contains(ref) || refusals.contains(ref) || HasEnded(ref) ||
      (!lists_read && !departed) || (more_ends && order.repeated)) {
    return;
  }
  // A scheduler that sends it anew waits for an answer.
  const auto settled = settled_refusals.find(ref);
  if (settled != settled_refusals.end()) {
    Refuse(ref, settled->second.reason);
    return;
  }
  if (!facts || departed) {
    Refuse(ref, RefusalReason::kOtherLife);
    return;
  }
  const bool other_life = life != facts->life;
  if (other_life || facts->draining || lease_until <= now) {
    const RefusalReason reason = other_life        ? RefusalReason::kOtherLife
                                 : facts->draining ? RefusalReason::kDraining
                                                   : RefusalReason::kNoLease;
    // A start that was sent before may yet reach this life, too.
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

std::vector<Action> Executor::TakeActions(TimePoint now) {
  Impl& it = *impl_;
  it.NoteStep(now);
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

void Executor::OnStartResult(const RunRef& ref,
                             const OrderResult& result,
                             TimePoint now) {
  Impl& it = *impl_;
  const auto found = it.runs.find(ref);
  it.Log("start_answered", ref,
         {{"status", Name(result.status)}, {"detail", result.detail}});
  if (result.status == OrderStatus::kNoAnswer) {
    it.unanswered_starts[ref] = now;
  }
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

}  // namespace shallotlug::executor
