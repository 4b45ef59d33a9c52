#include <algorithm>
#include <utility>

#include "impl.h"

namespace shallotlug::executor {

using protocol::RefusalReason;
using protocol::RunPhase;
using workload::RunRef;

namespace {

// Time that a worker needs after the end of its lease to kill its runs.
constexpr Millis kLeaseExpiryMargin{600};
// A call without an answer may be carried out up to 12 s later.
constexpr Millis kLatestStart{15'000};

}  // namespace

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
  StopUnansweredStarts(now);
  former_ends.insert(former_ends.end(), ends.begin(), ends.end());
  ends.clear();
  noted_ends = 0;
  confirmed_noted_ends = 0;
  pending_looks.clear();
  lists_read = false;
  more_ends = false;
  silent = false;
  clock_known = false;
  speed = {};
  granted_lease = {};
  granted_until = {};
  MarkChanged();
}

// A new life has forgotten which runs were stopped or have ended.
void Executor::Impl::StopUnansweredStarts(TimePoint now) {
  std::erase_if(unanswered_starts,
                [&](const auto& it) { return now - it.second > kLatestStart; });
  if (departed) {
    return;  // The next life is told when it is heard of.
  }
  for (const auto& [ref, at] : unanswered_starts) {
    const auto [run, added] = runs.try_emplace(ref);
    if (added) {
      run->second.active.run = ref;
      run->second.phase = RunPhase::kStopping;
      run->second.reason = RefusalReason::kOtherLife;
      run->second.next_call = now;
      refusals.erase(ref);
      Log("stop_ordered", ref, {{"reason", "unanswered_start"}});
    }
  }
}

bool Executor::Impl::IsFormerLife(std::int64_t born) const {
  return std::find(former_lives.begin(), former_lives.end(), born) !=
         former_lives.end();
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

void Executor::OnHeartbeat(const workload::WorkerFacts& facts,
                           std::uint64_t sequence,
                           TimePoint now) {
  Impl& it = *impl_;
  if (it.facts && it.facts->life == facts.life) {
    if (sequence <= it.heartbeat_sequence && !it.departed) {
      return;
    }
  } else if (it.IsFormerLife(facts.life.born)) {
    return;
  } else if (it.facts && facts.life.born < it.facts->life.born &&
             facts.life.born != it.reported_born) {
    // A delayed heartbeat of a former life, or a life that is dated by a wall
    // clock that has stepped back. An answer tells.
    it.immediate_look = it.next_look;
    return;
  }
  const bool new_life = it.facts && it.facts->life != facts.life;
  const bool changed = !it.facts || *it.facts != facts || it.departed;
  // An answer of the new life may have ended the former one before.
  if (new_life && it.reported_born != facts.life.born) {
    it.StartNewLife("heartbeat", now);
  }
  it.heartbeat_sequence = sequence;
  it.heard_at = now;
  it.facts = facts;
  if (std::exchange(it.departed, false) && new_life) {
    it.StopUnansweredStarts(now);
  }
  if ((new_life || it.reported_born == 0) &&
      it.reported_born != facts.life.born) {
    it.HearLife(facts.life.born);
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

}  // namespace shallotlug::executor
