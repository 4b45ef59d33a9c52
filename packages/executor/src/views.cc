#include <algorithm>
#include <set>
#include <utility>

#include "impl.h"

namespace shallotlug::executor {

using protocol::RefusalReason;
using protocol::RunPhase;
using workload::RunRef;

namespace {

// A worker that has not answered for longer is reported as silent.
constexpr Millis kMaxWorkerSilence{2'500};
constexpr Millis kWatchWait{1'000};
constexpr Millis kIdleWatchWait{2'000};
// A process is stepped more often; after a longer break it has stood still.
constexpr Millis kMaxStepInterval{500};
// The worker's lease is renewed when it can be extended by more than this.
constexpr Millis kLeaseRenewalThreshold{700};
// More lives than may send heartbeats or answers that are still under way.
constexpr std::size_t kMaxFormerLives = 32;

std::string ToString(Millis it) {
  return std::to_string(it.count());
}

}  // namespace

void Executor::Impl::HearLife(std::int64_t born, bool answered) {
  // A life that never answered may be another writer's invention.
  if (reported_born != 0 && life_answered) {
    former_lives.push_back(reported_born);
    if (former_lives.size() > kMaxFormerLives) {
      former_lives.pop_front();
    }
  }
  reported_born = born;
  life_answered = answered;
  life_from_look = next_look;
}

WorkerQuery Executor::Impl::MakeProbe() {
  const Heartbeat beat = std::move(candidates.front());
  candidates.pop_front();
  WorkerQuery look;
  look.number = next_look++;
  look.context.worker = beat.facts.life.id;
  look.context.epoch = epoch;
  probes[look.number] = beat;
  return look;
}

void Executor::Impl::OnProbeAnswer(const Heartbeat& beat,
                                   const WorkerView& view,
                                   TimePoint now) {
  if (view.status != OrderStatus::kDone) {
    // Without an answer, the life's next heartbeat asks again.
    LogIgnored(beat, Name(view.status));
  } else if (view.born != 0 && view.born != beat.facts.life.born) {
    LogIgnored(beat, "other_life_answers");
  } else {
    Adopt(beat, now);
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
    const std::vector<workload::ActiveRun>& active) {
  for (const workload::ActiveRun& it : active) {
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
}

void Executor::Impl::ApplyAbsentRuns(
    const std::vector<workload::ActiveRun>& active,
    std::uint64_t number) {
  std::set<RunRef> present;
  for (const workload::ActiveRun& it : active) {
    present.insert(it.run);
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

void Executor::Impl::NotePage(const WorkerView& view) {
  if (std::exchange(more_ends, view.more_ends) == view.more_ends) {
    return;
  }
  log.push_back({LogLevel::kInfo,
                 view.more_ends ? "ends_listed_in_part" : "ends_listed_in_full",
                 {{"worker", facts->life.id},
                  {"listed", std::to_string(view.ends.size())},
                  {"active", std::to_string(view.active.size())},
                  {"known_runs", std::to_string(runs.size())},
                  {"noted_ends", std::to_string(noted_ends)}}});
  MarkChanged();
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
  if (!it.candidates.empty()) {
    return it.MakeProbe();
  }
  const auto lease = it.SafeWorkerLease();
  const bool renew = lease && !it.runs.empty() &&
                     *lease - it.granted_lease > kLeaseRenewalThreshold;
  if (it.immediate_look < it.next_look && !renew) {
    return std::nullopt;
  }
  return it.MakeQuery(Millis{0});
}

// Answers that came while this process stood still may have been lost with
// their connections.
void Executor::Impl::NoteStep(TimePoint now) {
  const Millis passed = now - stepped_at.value_or(now);
  if (passed > kMaxStepInterval) {
    stood_still += passed;
    log.push_back(
        {LogLevel::kInfo, "stood_still", {{"for_ms", ToString(passed)}}});
  }
  stepped_at = now;
}

void Executor::Impl::NoteAnswer(TimePoint now) {
  answered_at = now;
  stood_still = Millis{0};
}

// The bound lets a process that hardly ever runs find out, too. After a longer
// time the worker's runs have ended in any case.
Millis Executor::Impl::WorkerSilence(TimePoint now) const {
  return now - answered_at - std::min(stood_still, options.longest_lease);
}

void Executor::OnView(std::uint64_t number,
                      const WorkerView& view,
                      TimePoint now) {
  Impl& it = *impl_;
  it.NoteStep(now);
  const auto probe = it.probes.extract(number);
  if (probe && view.status != OrderStatus::kDone) {
    it.OnProbeAnswer(probe.mapped(), view, now);
    return;
  }
  const auto look = it.pending_looks.extract(number);
  if (view.status != OrderStatus::kDone) {
    if (!it.silent && it.lists_read &&
        it.WorkerSilence(now) > kMaxWorkerSilence) {
      it.silent = true;
      it.log.push_back({LogLevel::kWarning,
                        "worker_silent",
                        {{"worker", it.facts ? it.facts->life.id : ""},
                         {"silent_ms", ToString(now - it.answered_at)},
                         {"lease_left_ms", ToString(it.granted_until - now)},
                         {"detail", view.detail}}});
      it.MarkChanged();
    }
    return;
  }
  if (view.born != 0 && it.reported_born != 0 &&
      view.born != it.reported_born) {
    // Only a call that was sent after the current life was first heard cannot
    // have been answered by a former one.
    if (number < it.life_from_look) {
      it.immediate_look = it.next_look;
      return;
    }
    it.NoteAnswer(now);
    it.StartNewLife("lists", now);
    it.HearLife(view.born, true);
    if (probe) {
      it.OnProbeAnswer(probe.mapped(), view, now);
    }
    return;
  }
  it.NoteAnswer(now);
  if (view.born != 0 && it.reported_born == 0) {
    it.HearLife(view.born, true);
  }
  it.life_answered = it.life_answered || view.born != 0;
  if (probe) {
    // Its lists are read by the next look, which extends the lease.
    it.OnProbeAnswer(probe.mapped(), view, now);
    return;
  }
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
  if (!it.lists_read) {
    // A former process of the agent may have extended the lease until now.
    it.granted_until =
        std::max(it.granted_until, now + it.options.longest_lease);
  }
  if (!it.lists_read || it.silent) {
    it.lists_read = true;
    it.silent = false;
    it.MarkChanged();
  }
  it.ApplyEnds(view.ends);
  it.read_at = now;
  it.ApplyActiveRuns(view.active);
  it.NotePage(view);
  // The end of a run that is in neither list may be on a later page.
  if (!view.more_ends) {
    it.ApplyAbsentRuns(view.active, number);
  }
}

}  // namespace shallotlug::executor
