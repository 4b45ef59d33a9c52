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
// Heartbeats in order by which their writer is told from late ones, and the
// silence of the former writer, which is longer than two intervals.
constexpr int kBeatsOfAWriter = 3;
constexpr Millis kWriterSilence{4'000};
// Lives that wait to be confirmed by the worker.
constexpr std::size_t kMaxCandidates = 8;

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

// The worker's heartbeats all follow each other. One that does not is late or
// another writer's, unless the writer of the accepted one has fallen silent and
// this one goes on.
bool Executor::Impl::ContinuesHeartbeats(const Heartbeat& beat, TimePoint now) {
  if (beat.facts.service == facts->service &&
      beat.sequence > heartbeat_sequence) {
    other_beats = {};
    return true;
  }
  const bool in_order = beat.sequence > other_beats.sequence;
  other_beats.in_order = in_order ? other_beats.in_order + 1 : 1;
  other_beats.sequence = beat.sequence;
  return other_beats.in_order >= kBeatsOfAWriter &&
         now - beat_at > kWriterSilence;
}

// Answers tell which life is at the worker's address. A life that none of them
// has confirmed is taken only while there is no other.
bool Executor::Impl::IsConfirmed(const workload::WorkerLife& life) const {
  if (!facts) {
    return reported_born == 0 || reported_born == life.born;
  }
  return facts->life.id == life.id && life_answered &&
         reported_born == life.born;
}

void Executor::Impl::AddCandidate(const Heartbeat& beat) {
  std::erase_if(candidates, [&](const Heartbeat& it) {
    return it.facts.life == beat.facts.life;
  });
  candidates.push_back(beat);
  if (candidates.size() > kMaxCandidates) {
    candidates.pop_front();
  }
}

void Executor::Impl::Adopt(const Heartbeat& beat, TimePoint now) {
  const workload::WorkerLife& life = beat.facts.life;
  const bool new_life = facts && facts->life != life;
  const bool changed = !facts || *facts != beat.facts || departed;
  // An answer of the new life may have ended the former one before.
  const bool ends_former =
      new_life && (reported_born != life.born || life.born == 0);
  if (ends_former) {
    StartNewLife("heartbeat", now);
  }
  heartbeat_sequence = beat.sequence;
  beat_at = now;
  other_beats = {};
  heard_at = now;
  facts = beat.facts;
  if (std::exchange(departed, false) && new_life) {
    StopUnansweredStarts(now);
  }
  if ((new_life || reported_born == 0) && reported_born != life.born) {
    HearLife(life.born, false);
  }
  if (changed) {
    log.push_back({LogLevel::kInfo,
                   "worker_heard",
                   {{"worker", life.id},
                    {"born", std::to_string(life.born)},
                    {"draining", beat.facts.draining ? "true" : "false"},
                    {"sequence", std::to_string(beat.sequence)}}});
    immediate_look = next_look;
    MarkChanged();
  }
}

void Executor::Impl::LogIgnored(const Heartbeat& beat, const char* reason) {
  const workload::WorkerLife& life = beat.facts.life;
  if (ignored_life == life && ignored_reason == reason) {
    return;
  }
  ignored_life = life;
  ignored_reason = reason;
  log.push_back({LogLevel::kInfo,
                 "heartbeat_ignored",
                 {{"reason", reason},
                  {"worker", life.id},
                  {"born", std::to_string(life.born)},
                  {"service", beat.facts.service},
                  {"sequence", std::to_string(beat.sequence)},
                  {"present", facts ? facts->life.id : ""},
                  {"present_born", std::to_string(reported_born)}}});
}

void Executor::OnHeartbeat(const workload::WorkerFacts& facts,
                           std::uint64_t sequence,
                           TimePoint now) {
  Impl& it = *impl_;
  const Heartbeat beat{facts, sequence};
  if (it.facts && it.facts->life == facts.life) {
    const bool follows = it.ContinuesHeartbeats(beat, now);
    if (follows || it.departed) {
      it.Adopt(beat, now);
    } else {
      it.LogIgnored(beat, facts.service != it.facts->service ? "other_service"
                                                             : "outdated");
    }
  } else if (it.IsFormerLife(facts.life.born)) {
    it.LogIgnored(beat, "former_life");
  } else if (it.IsConfirmed(facts.life)) {
    it.Adopt(beat, now);
  } else {
    it.AddCandidate(beat);
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
