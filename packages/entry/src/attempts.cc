#include "attempts.h"

#include <algorithm>
#include <utility>

#include "agents.h"
#include "cluster_sync.h"
#include "job_table.h"
#include "peers.h"
#include "replies.h"

namespace shallotlug::entry {
namespace {

// A coordinator reports an attempt immediately. If no report arrives within
// this time, the proposal or the report was lost.
constexpr Millis kUnreportedTimeout{2000};
constexpr Millis kStopResend{1000};
// An entry that is not the planner records a final update itself if the planner
// has not done so within this time.
constexpr Millis kPlannerGracePeriod{3000};
// A final update of a job that the stream does not hold is acknowledged after
// this time, so that the agent may forget it.
constexpr Millis kUnknownJobTimeout{60'000};
constexpr Millis kInitialBackOff{200};
constexpr Millis kMaxBackOff{10'000};
constexpr int kMaxFailures = 5;

bool IsCurrent(const stream::JobRow& row,
               const Attempt& attempt,
               const AgentRef& coordinator) {
  return row.standing == stream::JobStanding::kClaimed &&
         row.attempt == attempt.number && row.coordinator == coordinator;
}

// Whether no further record about the attempt is needed.
bool NeedsNoRecord(const stream::JobRow& row, const FinalUpdate& final) {
  const std::uint32_t number = final.update.attempt.number;
  if (stream::IsFinal(row.standing)) {
    return true;
  }
  if (final.update.phase == JobPhase::kFinished && row.spec.repeatable) {
    return false;  // The first result counts, whichever attempt made it.
  }
  if (row.standing == stream::JobStanding::kQueued) {
    return row.attempt >= number || final.update.phase == JobPhase::kNotStarted;
  }
  return row.attempt > number ||
         (row.attempt == number && row.coordinator != final.agent);
}

void Acknowledge(State& state, const FinalUpdate& final) {
  if (const Agent* agent = FindLinked(state, final.agent)) {
    SendTo(state, *agent, JobUpdateAck{final.update.attempt});
  }
}

Millis BackOff(int refusals) {
  return std::min(kMaxBackOff, kInitialBackOff * (1 << std::min(refusals, 6)));
}

stream::AttemptEnd EndOf(JobPhase phase) {
  switch (phase) {
    case JobPhase::kCheckpointed:
      return stream::AttemptEnd::kCheckpointed;
    case JobPhase::kFinished:
      return stream::AttemptEnd::kFinished;
    case JobPhase::kFailed:
      return stream::AttemptEnd::kFailed;
    case JobPhase::kNotStarted:
      return stream::AttemptEnd::kReleased;
    case JobPhase::kReserving:
    case JobPhase::kRunning:
    case JobPhase::kLost:
      break;
  }
  return stream::AttemptEnd::kAbandoned;
}

void RecordSuccess(State& state, const stream::JobRow& row) {
  const JobTrack* track = FindTrack(state, row.spec.id);
  for (const GangMember& it : row.members) {
    decision::RecordOutcome(state.health, it.agent.name, row.spec.id, true,
                            state.now);
  }
  if (track != nullptr && track->running_since && row.checkpoint.empty()) {
    decision::Learn(state.jobs.run_times, row.spec.job_class,
                    row.spec.declared_run_time,
                    state.now - *track->running_since);
  }
}

void RecordFailure(State& state, const JobUpdate& update) {
  for (const AgentName& it : update.failed_at) {
    decision::RecordOutcome(state.health, it, update.attempt.job, false,
                            state.now);
  }
}

stream::JobAttemptEnded MakeEnd(const State& state,
                                const stream::JobRow& row,
                                const JobUpdate& update) {
  stream::JobAttemptEnded end;
  end.attempt = update.attempt;
  end.end = EndOf(update.phase);
  end.progress = update.progress;
  end.failed_at = update.failed_at;
  end.text = update.phase == JobPhase::kFinished       ? update.result
             : update.phase == JobPhase::kCheckpointed ? update.checkpoint
                                                       : update.reason;
  end.last = update.phase == JobPhase::kFailed &&
             (row.failures + 1 >= kMaxFailures ||
              decision::JobIsToBlame(state.health, update.attempt.job));
  return end;
}

// Delays the next attempt of a job.
void ApplyBackOff(State& state, JobTrack& track, JobPhase phase) {
  if (phase != JobPhase::kNotStarted && phase != JobPhase::kFailed) {
    track.refusals = 0;
    return;
  }
  track.not_before = state.now + BackOff(track.refusals++);
  Count(state, "shallotlug_entry_attempts_refused_total",
        phase == JobPhase::kFailed ? "failed" : "not_started");
}

// Returns the members of an attempt as reported by its coordinator; only the
// coordinator if there is no such report.
std::vector<GangMember> ReportedMembers(const State& state,
                                        const AgentRef& coordinator,
                                        const Attempt& attempt) {
  const auto agent = state.agents.find(coordinator.name);
  if (agent != state.agents.end()) {
    for (const RunningAttempt& it : agent->second.report.attempts) {
      if (it.attempt == attempt && it.coordinator) {
        return it.members;
      }
    }
  }
  return {{coordinator, "", {}}};
}

// Claims a running attempt whose claim was lost with its entry during a log
// outage.
void RecoverClaim(State& state,
                  const AgentRef& coordinator,
                  const Attempt& attempt) {
  Count(state, "shallotlug_entry_claims_recovered_total");
  QueueJobRecord(
      state, attempt.job,
      stream::JobClaimed{attempt, coordinator,
                         ReportedMembers(state, coordinator, attempt)});
}

void RecordFinalUpdate(State& state, FinalUpdate& final) {
  const JobId job = final.update.attempt.job;
  const stream::JobRow* row = FindProjectedJob(state, job);
  JobTrack* track = FindTrack(state, job);
  if (row == nullptr || track == nullptr) {
    return;
  }
  const bool unclaimed = row->standing == stream::JobStanding::kQueued &&
                         row->attempt < final.update.attempt.number;
  if (unclaimed && final.update.phase != JobPhase::kNotStarted) {
    RecoverClaim(state, final.agent, final.update.attempt);
    row = FindProjectedJob(state, job);
  }
  if (final.update.phase == JobPhase::kFinished) {
    RecordSuccess(state, *row);
  } else if (final.update.phase == JobPhase::kFailed) {
    RecordFailure(state, final.update);
  }
  ApplyBackOff(state, *track, final.update.phase);
  const std::string id =
      QueueJobRecord(state, job, MakeEnd(state, *row, final.update));
  final.queued = !id.empty();
}

// Acknowledges a final update that needs no further record; returns whether it
// needs none.
bool AcknowledgeIfResolved(State& state, const FinalUpdate& final) {
  const stream::JobRow* row =
      stream::FindJob(state.jobs.fold, final.update.attempt.job);
  const bool gone = row == nullptr && JobsKnown(state) &&
                    !state.job_io.reader.failing &&
                    state.now - final.first_seen >= kUnknownJobTimeout;
  if (gone) {
    Count(state, "shallotlug_entry_unknown_job_updates_total");
  }
  // The claim of the attempt may still be queued for the log.
  const stream::JobRow* view =
      FindProjectedJob(state, final.update.attempt.job);
  const bool claiming = view != row && view != nullptr && row != nullptr &&
                        !stream::IsFinal(row->standing) &&
                        IsCurrent(*view, final.update.attempt, final.agent);
  if (!gone && (row == nullptr || claiming || !NeedsNoRecord(*row, final))) {
    return false;
  }
  Acknowledge(state, final);
  return true;
}

void OnProgress(State& state, const Agent& agent, const JobUpdate& update) {
  const stream::JobRow* row = FindProjectedJob(state, update.attempt.job);
  JobTrack* track = FindTrack(state, update.attempt.job);
  if (row == nullptr || track == nullptr ||
      !IsCurrent(*row, update.attempt, agent.ref)) {
    return;
  }
  track->last_reported = state.now;
  track->progress = update.progress;
  if (update.phase == JobPhase::kRunning && !track->running_since) {
    track->running_since = state.now;
    track->refusals = 0;
    SyncJob(state, update.attempt.job);
  }
}

const RunningAttempt* FindReported(const Agent& agent, const Attempt& attempt) {
  for (const RunningAttempt& it : agent.report.attempts) {
    if (it.attempt == attempt && it.coordinator && !IsFinal(it.phase)) {
      return &it;
    }
  }
  return nullptr;
}

// Stops or claims a running attempt that does not match the job's record.
void HandleUnexpectedAttempt(State& state,
                             const Agent& agent,
                             const RunningAttempt& running,
                             const stream::JobRow& row) {
  const std::uint32_t number = running.attempt.number;
  if (row.standing == stream::JobStanding::kCancelled) {
    SendStop(state, agent.ref, running.attempt, StopReason::kCancelled);
  } else if (stream::IsFinal(row.standing) || row.attempt > number ||
             (row.attempt == number &&
              row.standing == stream::JobStanding::kClaimed)) {
    SendStop(state, agent.ref, running.attempt, StopReason::kSuperseded);
  } else if (row.standing == stream::JobStanding::kQueued &&
             row.attempt < number && row.spec.repeatable && IsPlanner(state)) {
    RecoverClaim(state, agent.ref, running.attempt);
  }
}

void ResendStop(State& state, const stream::JobRow& row, StopReason reason) {
  JobTrack* track = FindTrack(state, row.spec.id);
  if (state.now - track->last_stop >= kStopResend) {
    track->last_stop = state.now;
    SendStop(state, row.coordinator, {row.spec.id, row.attempt}, reason);
  }
}

void AbandonAttempt(State& state, const stream::JobRow& row) {
  Count(state, "shallotlug_entry_attempts_abandoned_total");
  Log(state, LogLevel::kWarning, "attempt_abandoned",
      {{"job", row.spec.id.value},
       {"attempt", std::to_string(row.attempt)},
       {"agent", row.coordinator.name.value}});
  stream::JobAttemptEnded end;
  end.attempt = {row.spec.id, row.attempt};
  end.end = stream::AttemptEnd::kAbandoned;
  end.text = "coordinator_lost";
  QueueJobRecord(state, row.spec.id, std::move(end));
}

void ResolveClaimedAttempt(State& state, const JobId& job, JobTrack& track) {
  const stream::JobRow* row = FindProjectedJob(state, job);
  if (row == nullptr || row->standing != stream::JobStanding::kClaimed ||
      track.waiting_proposal ||
      state.jobs.finals.contains({job, row->attempt})) {
    return;
  }
  const Agent* agent = FindLinked(state, row->coordinator);
  if (agent == nullptr) {
    if (state.now - track.last_reported >= state.options.abandon_after) {
      AbandonAttempt(state, *row);
    }
    return;
  }
  if (agent->reported && FindReported(*agent, {job, row->attempt}) != nullptr) {
    track.last_reported = state.now;
    if (track.stopping) {
      ResendStop(state, *row, *track.stopping);
    }
  } else if (state.now - track.last_reported >= kUnreportedTimeout) {
    Count(state, "shallotlug_entry_attempts_unreported_total");
    ResendStop(state, *row, StopReason::kSuperseded);
  }
}

}  // namespace

void SendProposal(State& state, const ProposeJob& proposal) {
  if (const Agent* agent = FindLinked(state, proposal.members.front().agent)) {
    Count(state, "shallotlug_entry_proposals_total");
    SendTo(state, *agent, proposal);
  }
}

void SendStop(State& state,
              const AgentRef& coordinator,
              const Attempt& attempt,
              StopReason reason) {
  if (const Agent* agent = FindLinked(state, coordinator)) {
    Count(state, "shallotlug_entry_stops_total");
    SendTo(state, *agent, StopJob{attempt, reason});
  }
}

void OnJobUpdate(State& state, LinkId link, const JobUpdate& update) {
  const Agent* agent = AgentOfLink(state, link);
  if (agent == nullptr) {
    return;
  }
  // Another entry may have started this attempt without a claim that could be
  // read.
  if (JobTrack* track = FindTrack(state, update.attempt.job)) {
    track->highest_attempt =
        std::max(track->highest_attempt, update.attempt.number);
  }
  if (!IsFinal(update.phase)) {
    OnProgress(state, *agent, update);
    return;
  }
  const auto [it, inserted] = state.jobs.finals.try_emplace(
      update.attempt, FinalUpdate{update, agent->ref, state.now, false});
  if (!inserted && it->second.agent != agent->ref) {
    // Two coordinators ran the same attempt number; each needs its own
    // acknowledgement.
    const FinalUpdate other{update, agent->ref, state.now, false};
    if (!AcknowledgeIfResolved(state, other) &&
        update.phase == JobPhase::kFinished) {
      it->second = other;
    }
    return;
  }
  if (AcknowledgeIfResolved(state, it->second)) {
    state.jobs.finals.erase(it);
  } else if (!it->second.queued && IsPlanner(state)) {
    RecordFinalUpdate(state, it->second);
  }
}

void OnReportedAttempts(State& state, const Agent& agent) {
  for (const RunningAttempt& it : agent.report.attempts) {
    if (!it.coordinator || IsFinal(it.phase)) {
      continue;
    }
    const stream::JobRow* row = FindProjectedJob(state, it.attempt.job);
    if (row == nullptr) {
      continue;  // Not read yet, or accepted elsewhere during an outage.
    }
    if (JobTrack* track = FindTrack(state, it.attempt.job)) {
      track->highest_attempt =
          std::max(track->highest_attempt, it.attempt.number);
    }
    if (!IsCurrent(*row, it.attempt, agent.ref)) {
      HandleUnexpectedAttempt(state, agent, it, *row);
      continue;
    }
    JobUpdate update;
    update.attempt = it.attempt;
    update.phase = it.phase;
    update.progress = it.progress;
    OnProgress(state, agent, update);
  }
}

void AcknowledgeFinals(State& state) {
  std::erase_if(state.jobs.finals, [&](const auto& it) {
    return AcknowledgeIfResolved(state, it.second);
  });
}

void RecordFinals(State& state) {
  AcknowledgeFinals(state);
  const bool planner = IsPlanner(state);
  for (auto& [attempt, final] : state.jobs.finals) {
    if (!final.queued &&
        (planner || state.now - final.first_seen >= kPlannerGracePeriod)) {
      RecordFinalUpdate(state, final);
    }
  }
}

void ResolveAttempts(State& state) {
  std::vector<JobId> claimed;
  for (const auto& [job, track] : state.jobs.tracks) {
    const stream::JobRow* row = FindProjectedJob(state, job);
    if (row != nullptr && row->standing == stream::JobStanding::kClaimed) {
      claimed.push_back(job);
    }
  }
  for (const JobId& job : claimed) {
    if (JobTrack* track = FindTrack(state, job)) {
      ResolveClaimedAttempt(state, job, *track);
    }
  }
}

}  // namespace shallotlug::entry
