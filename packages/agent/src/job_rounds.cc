#include "job_rounds.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "gang_messages.h"
#include "job_stop.h"
#include "job_updates.h"
#include "log.h"
#include "member_status.h"
#include "task_list.h"

namespace shallotlug::agent {
namespace {

// Time for preempted attempts to checkpoint; after it the waiting attempt is
// stopped.
constexpr int kReadyLimitInReserveTimeouts = 6;

// Send times are kept for this many rounds, so that a late answer extends the
// reservation from the time of the message that it answers.
constexpr std::size_t kRememberedRounds = 16;

TimePoint EarliestHold(const Job& job) {
  TimePoint earliest = TimePoint::max();
  for (const JobMember& member : job.members) {
    earliest = std::min(earliest, member.hold_until);
  }
  return earliest;
}

// Time until which all members may compute: the earliest end of their
// reservations, less a safety margin.
TimePoint NextPermission(const State& state, const Job& job) {
  return EarliestHold(job) - LeaseMargin(state.options.hold);
}

void RecordSend(Job& job, JobMember& member, TimePoint now) {
  member.sends.try_emplace(job.round, now);
  while (member.sends.size() > kRememberedRounds) {
    member.sends.erase(member.sends.begin());
  }
}

// The part of the job's checkpoint that belongs to one member.
std::string CheckpointFor(const Job& job, std::size_t index) {
  std::size_t first = 0;
  std::size_t total = 0;
  for (std::size_t i = 0; i < job.members.size(); ++i) {
    first += i < index ? job.members[i].spec.tasks.size() : 0;
    total += job.members[i].spec.tasks.size();
  }
  if (total == 1) {
    return JoinTasks({job.checkpoint});
  }
  const auto parts = SplitTasks(job.checkpoint);
  if (!parts || parts->size() != total) {
    return "";
  }
  const auto begin = parts->begin() + static_cast<std::ptrdiff_t>(first);
  const auto count =
      static_cast<std::ptrdiff_t>(job.members[index].spec.tasks.size());
  return JoinTasks({begin, begin + count});
}

void SendReserve(State& state,
                 const Attempt& attempt,
                 Job& job,
                 TimePoint now,
                 Outbox& out) {
  JobMember& member = job.members[job.reserving];
  RecordSend(job, member, now);
  SendToMember(state, member,
               Reserve{attempt, state.options.self, job.round, job.spec,
                       member.spec.tasks, job.victims,
                       CheckpointFor(job, job.reserving)},
               out);
}

void SendRenew(State& state,
               const Attempt& attempt,
               Job& job,
               JobMember& member,
               std::optional<TimePoint> permission,
               TimePoint now,
               Outbox& out) {
  const ClockReading run_until{
      member.spec.agent.incarnation,
      permission ? ToPeerTime(member.clock, *permission) : PeerTime{}};
  RecordSend(job, member, now);
  SendToMember(state, member,
               Renew{attempt, state.options.self, job.round, run_until}, out);
}

// The permission of this round; none while the attempt may not compute.
std::optional<TimePoint> Permission(const State& state,
                                    const Job& job,
                                    TimePoint now) {
  const bool computes =
      job.stage == JobStage::kRunning ||
      (job.stage == JobStage::kStopping && job.stop.checkpoint);
  if (!computes) {
    return std::nullopt;
  }
  const TimePoint until =
      std::max(NextPermission(state, job), job.permitted_until.value_or(now));
  return until > now ? std::optional(until) : std::nullopt;
}

void SendRenewals(State& state,
                  const Attempt& attempt,
                  Job& job,
                  TimePoint now,
                  Outbox& out) {
  const std::optional<TimePoint> permission = Permission(state, job, now);
  if (permission) {
    job.permitted_until = permission;
  }
  for (JobMember& member : job.members) {
    if (!member.reserved) {
      continue;
    }
    SendRenew(state, attempt, job, member, permission, now, out);
    if (job.stage == JobStage::kStopping && job.stop.checkpoint &&
        !member.settled) {
      SendToMember(state, member,
                   Release{attempt, state.options.self, /*checkpoint=*/true},
                   out);
    }
  }
}

void SendRound(State& state,
               const Attempt& attempt,
               Job& job,
               TimePoint now,
               Outbox& out) {
  ++job.round;
  job.next_round = now + state.options.renew_interval;
  SendRenewals(state, attempt, job, now, out);
  if (job.stage == JobStage::kReserving) {
    SendReserve(state, attempt, job, now, out);
  }
}

void EnterStage(Job& job, JobStage stage, TimePoint now) {
  job.stage = stage;
  job.stage_since = now;
  job.next_round = now;
}

void StopAsLost(State& state,
                const Attempt& attempt,
                Job& job,
                const std::string& reason,
                TimePoint now,
                Outbox& out) {
  JobStop stop;
  stop.phase = JobPhase::kLost;
  stop.reason = reason;
  BeginStop(state, attempt, job, std::move(stop), now, out);
}

std::string WithAgentName(const std::string& reason, const JobMember& member) {
  return reason + " at " + member.spec.agent.name.value;
}

const JobMember* FirstInPhase(const Job& job, MemberPhase phase) {
  for (const JobMember& member : job.members) {
    if ((member.reserved || !member.reason.empty()) && member.phase == phase) {
      return &member;
    }
  }
  return nullptr;
}

const JobMember* FirstUnavailable(const Job& job) {
  for (const MemberPhase phase : {MemberPhase::kRefused, MemberPhase::kStopped,
                                  MemberPhase::kCheckpointed}) {
    if (const JobMember* member = FirstInPhase(job, phase)) {
      return member;
    }
  }
  return nullptr;
}

// The first member whose worker is leaving. Null also when the attempt cannot
// be restarted elsewhere; it then keeps running as long as possible.
const JobMember* FirstLeaving(const Job& job) {
  if (!CanRestartElsewhere(job)) {
    return nullptr;
  }
  for (const JobMember& member : job.members) {
    if (member.reason == kLeavingReason) {
      return &member;
    }
  }
  return nullptr;
}

void AdvanceReserving(State& state,
                      const Attempt& attempt,
                      Job& job,
                      TimePoint now,
                      Outbox& out) {
  if (job.members[job.reserving].reserved) {
    ++job.reserving;
    job.reserving_since = now;
    if (job.reserving == job.members.size()) {
      EnterStage(job, JobStage::kWaiting, now);
      return;
    }
    ++job.round;
    SendReserve(state, attempt, job, now, out);
    return;
  }
  if (now - job.reserving_since > state.options.reserve_timeout) {
    StopAsLost(state, attempt, job,
               WithAgentName("reserve_timeout", job.members[job.reserving]),
               now, out);
  }
}

void AdvanceWaiting(State& state,
                    const Attempt& attempt,
                    Job& job,
                    TimePoint now,
                    Outbox& out) {
  const bool ready = std::all_of(job.members.begin(), job.members.end(),
                                 [](const JobMember& member) {
                                   return member.phase == MemberPhase::kReady;
                                 });
  // If the reservations end too soon, the next round has to renew them first.
  if (ready && NextPermission(state, job) > now) {
    EnterStage(job, JobStage::kRunning, now);
    job.permitted_until = NextPermission(state, job);
    Log(out, LogLevel::kInfo, "job_started", {{"attempt", ToText(attempt)}});
    SendJobUpdate(state, attempt, job, now, out);
    return;
  }
  const Millis limit =
      state.options.reserve_timeout * kReadyLimitInReserveTimeouts;
  if (now - job.stage_since > limit) {
    StopAsLost(state, attempt, job, "not_ready", now, out);
  }
}

void StopAfterFailure(State& state,
                      const Attempt& attempt,
                      Job& job,
                      const JobMember& failed,
                      TimePoint now,
                      Outbox& out) {
  JobStop stop;
  stop.phase = JobPhase::kFailed;
  stop.reason = WithAgentName(failed.reason, failed);
  for (const JobMember& member : job.members) {
    if (member.phase == MemberPhase::kFailed) {
      stop.failed_at.push_back(member.spec.agent.name);
    }
  }
  BeginStop(state, attempt, job, std::move(stop), now, out);
}

// Reacts to members that failed, stopped or refused. While the attempt is
// stopping, members are expected to stop, so only a failure matters.
void CheckMembers(State& state,
                  const Attempt& attempt,
                  Job& job,
                  TimePoint now,
                  Outbox& out) {
  if (const JobMember* failed = FirstInPhase(job, MemberPhase::kFailed)) {
    StopAfterFailure(state, attempt, job, *failed, now, out);
    return;
  }
  if (job.stage == JobStage::kStopping) {
    return;
  }
  if (const JobMember* gone = FirstUnavailable(job)) {
    StopAsLost(state, attempt, job, WithAgentName(gone->reason, *gone), now,
               out);
    return;
  }
  if (const JobMember* leaving = FirstLeaving(job)) {
    PreemptJob(state, attempt, job, WithAgentName("leaving", *leaving), now,
               out);
  }
}

void AdvanceRunning(State& state,
                    const Attempt& attempt,
                    Job& job,
                    TimePoint now,
                    Outbox& out) {
  const bool finished = std::all_of(
      job.members.begin(), job.members.end(), [](const JobMember& member) {
        return member.phase == MemberPhase::kFinished;
      });
  if (finished) {
    FinishWithResult(state, attempt, job, now, out);
  }
}

void AdvanceJob(State& state,
                const Attempt& attempt,
                Job& job,
                TimePoint now,
                Outbox& out) {
  if (job.stage != JobStage::kFinal) {
    CheckMembers(state, attempt, job, now, out);
  }
  switch (job.stage) {
    case JobStage::kReserving:
      AdvanceReserving(state, attempt, job, now, out);
      break;
    case JobStage::kWaiting:
      AdvanceWaiting(state, attempt, job, now, out);
      break;
    case JobStage::kRunning:
      AdvanceRunning(state, attempt, job, now, out);
      break;
    case JobStage::kStopping:
      AdvanceStop(state, attempt, job, now, out);
      break;
    case JobStage::kFinal:
      break;
  }
  if (job.stage != JobStage::kFinal && now >= job.next_round) {
    SendRound(state, attempt, job, now, out);
  }
}

// Names of the members whose reservations end first.
std::string SilentMembers(const Job& job) {
  const TimePoint earliest = EarliestHold(job);
  std::string names;
  for (const JobMember& member : job.members) {
    if (member.hold_until == earliest) {
      names += (names.empty() ? "" : ",") + member.spec.agent.name.value;
    }
  }
  return names;
}

void FinishAsLost(State& state,
                  const Attempt& attempt,
                  Job& job,
                  TimePoint now,
                  Outbox& out) {
  JobUpdate update;
  update.phase = JobPhase::kLost;
  update.reason = "silent at " + SilentMembers(job);
  FinishJob(state, attempt, job, std::move(update), now, out);
}

bool HoldLapsed(const Job& job, TimePoint now) {
  return std::any_of(job.members.begin(), job.members.end(),
                     [&](const JobMember& member) {
                       return member.reserved && member.hold_until <= now;
                     });
}

}  // namespace

void ExpireJobs(State& state, TimePoint now, Outbox& out) {
  for (auto& [attempt, job] : state.gangs.jobs) {
    if (job.stage == JobStage::kFinal) {
      continue;
    }
    if (job.permitted_until) {
      const bool computes =
          job.stage == JobStage::kRunning ||
          (job.stage == JobStage::kStopping && job.stop.checkpoint);
      if (computes && now >= *job.permitted_until) {
        FinishAsLost(state, attempt, job, now, out);
      }
    } else if (HoldLapsed(job, now)) {
      StopAsLost(state, attempt, job, "hold_lapsed", now, out);
    }
  }
}

void AdvanceJobs(State& state, TimePoint now, Outbox& out) {
  for (auto& [attempt, job] : state.gangs.jobs) {
    AdvanceJob(state, attempt, job, now, out);
  }
}

}  // namespace shallotlug::agent
