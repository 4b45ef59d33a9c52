#include "job_stop.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "attempts.h"
#include "job_updates.h"
#include "log.h"
#include "task_list.h"

namespace shallotlug::agent {
namespace {

// A checkpoint of a large model takes tens of seconds; after this time the
// attempt is stopped without one.
constexpr Millis kCheckpointLimit{30'000};

bool AllInPhase(const Job& job, MemberPhase phase) {
  return std::all_of(
      job.members.begin(), job.members.end(),
      [&](const JobMember& member) { return member.phase == phase; });
}

bool AllSettled(const Job& job) {
  return std::all_of(job.members.begin(), job.members.end(),
                     [](const JobMember& member) { return member.settled; });
}

// Joins the parts of all members in the order of tasks. A job of one task
// keeps its answer or checkpoint as it is.
std::string JoinMembers(const Job& job, std::string JobMember::*part) {
  std::vector<std::string> tasks;
  for (const JobMember& member : job.members) {
    const auto parts = SplitTasks(member.*part);
    if (!parts || parts->size() != member.spec.tasks.size()) {
      return "";
    }
    tasks.insert(tasks.end(), parts->begin(), parts->end());
  }
  return tasks.size() == 1 ? tasks.front() : JoinTasks(tasks);
}

JobUpdate StoppedUpdate(const Job& job) {
  JobUpdate update;
  update.phase = job.stop.phase;
  update.reason = job.stop.reason;
  update.failed_at = job.stop.failed_at;
  if (update.phase != JobPhase::kCheckpointed) {
    return update;
  }
  if (AllInPhase(job, MemberPhase::kCheckpointed)) {
    update.checkpoint = JoinMembers(job, &JobMember::checkpoint);
    return update;
  }
  // Checkpoints of only some members do not fit together. A repeatable attempt
  // goes back to the state it started from.
  update.checkpoint = job.checkpoint;
  if (!job.spec.repeatable) {
    update.phase = JobPhase::kLost;
    update.checkpoint.clear();
    update.reason = "not_checkpointed";
  }
  return update;
}

void EndNotStarted(State& state,
                   const Attempt& attempt,
                   Job& job,
                   const std::string& reason,
                   TimePoint now,
                   Outbox& out) {
  JobUpdate update;
  update.phase = JobPhase::kNotStarted;
  update.reason = reason;
  FinishJob(state, attempt, job, std::move(update), now, out);
}

}  // namespace

void RefusePermanently(State& state,
                       const Attempt& attempt,
                       const std::string& reason,
                       TimePoint now,
                       Outbox& out) {
  RecordProposed(state, attempt);
  Job& job = state.gangs.jobs[attempt];
  EndNotStarted(state, attempt, job, reason, now, out);
}

namespace {

JobStop MakeStop(JobPhase phase, const std::string& reason) {
  JobStop stop;
  stop.phase = phase;
  stop.reason = reason;
  return stop;
}

void StopCoordinated(State& state,
                     const Attempt& attempt,
                     Job& job,
                     StopReason reason,
                     TimePoint now,
                     Outbox& out) {
  switch (reason) {
    case StopReason::kCancelled:
      BeginStop(state, attempt, job, MakeStop(JobPhase::kFailed, "cancelled"),
                now, out);
      return;
    case StopReason::kSuperseded:
      BeginStop(state, attempt, job, MakeStop(JobPhase::kLost, "superseded"),
                now, out);
      return;
    case StopReason::kPreempted:
      PreemptJob(state, attempt, job, "preempted", now, out);
      return;
  }
}

// A stop in progress is replaced only if it checkpoints and the new one does
// not.
bool Overrides(const Job& job, const JobStop& stop) {
  return job.stage != JobStage::kStopping ||
         (job.stop.checkpoint && !stop.checkpoint);
}

}  // namespace

void StopAttempt(State& state,
                 const Attempt& attempt,
                 StopReason reason,
                 TimePoint now,
                 Outbox& out) {
  const auto it = state.gangs.jobs.find(attempt);
  if (it != state.gangs.jobs.end()) {
    if (it->second.stage == JobStage::kFinal) {
      SendJobUpdate(state, attempt, it->second, now, out);
    } else {
      StopCoordinated(state, attempt, it->second, reason, now, out);
    }
    return;
  }
  const auto known = state.gangs.acknowledged.find(attempt);
  if (known != state.gangs.acknowledged.end() && known->second) {
    // Its outcome is on the log already, and this agent no longer has it.
    state.counters.AddTo("shallotlug_agent_stops_of_ended_jobs_total");
    return;
  }
  RefusePermanently(state, attempt, "never_started", now, out);
}

bool CanRestartElsewhere(const Job& job) {
  return job.spec.repeatable || job.spec.checkpointable || !job.permitted_until;
}

void PreemptJob(State& state,
                const Attempt& attempt,
                Job& job,
                const std::string& reason,
                TimePoint now,
                Outbox& out) {
  if (!CanRestartElsewhere(job)) {
    state.counters.AddTo("shallotlug_agent_preemptions_refused_total");
    return;
  }
  JobStop stop = MakeStop(JobPhase::kCheckpointed, reason);
  stop.checkpoint = job.spec.checkpointable;
  BeginStop(state, attempt, job, std::move(stop), now, out);
}

void BeginStop(State& state,
               const Attempt& attempt,
               Job& job,
               JobStop stop,
               TimePoint now,
               Outbox& out) {
  if (job.stage == JobStage::kFinal || !Overrides(job, stop)) {
    return;
  }
  if (!job.permitted_until) {
    EndNotStarted(state, attempt, job, stop.reason, now, out);
    return;
  }
  stop.round = job.round + 1;
  stop.since = now;
  job.stop = std::move(stop);
  job.stage = JobStage::kStopping;
  job.next_round = now;
  Log(out, LogLevel::kInfo, "job_stopping",
      {{"attempt", ToText(attempt)}, {"reason", job.stop.reason}});
}

void AdvanceStop(State& state,
                 const Attempt& attempt,
                 Job& job,
                 TimePoint now,
                 Outbox& out) {
  if (AllInPhase(job, MemberPhase::kFinished)) {
    FinishWithResult(state, attempt, job, now, out);
    return;
  }
  if (AllSettled(job) || now >= *job.permitted_until) {
    FinishJob(state, attempt, job, StoppedUpdate(job), now, out);
    return;
  }
  if (job.stop.checkpoint && now - job.stop.since > kCheckpointLimit) {
    JobStop stop = MakeStop(job.stop.phase, job.stop.reason);
    BeginStop(state, attempt, job, std::move(stop), now, out);
  }
}

void FinishWithResult(State& state,
                      const Attempt& attempt,
                      Job& job,
                      TimePoint now,
                      Outbox& out) {
  JobUpdate update;
  update.phase = JobPhase::kFinished;
  update.progress = 1;
  update.result = JoinMembers(job, &JobMember::result);
  FinishJob(state, attempt, job, std::move(update), now, out);
}

}  // namespace shallotlug::agent
