#include "job_updates.h"

#include <algorithm>
#include <utility>

#include "gang_messages.h"
#include "links.h"
#include "log.h"

namespace shallotlug::agent {
namespace {

constexpr Millis kProgressInterval{10'000};

const char* NameOf(JobPhase phase) {
  switch (phase) {
    case JobPhase::kReserving:
      return "reserving";
    case JobPhase::kRunning:
      return "running";
    case JobPhase::kCheckpointed:
      return "checkpointed";
    case JobPhase::kFinished:
      return "finished";
    case JobPhase::kFailed:
      return "failed";
    case JobPhase::kNotStarted:
      return "not_started";
    case JobPhase::kLost:
      return "lost";
  }
  return "";
}

double Progress(const Job& job) {
  double progress = 1;
  for (const JobMember& member : job.members) {
    progress = std::min(progress, member.progress);
  }
  return progress;
}

Millis UpdateInterval(const State& state, const Job& job) {
  return job.stage == JobStage::kFinal ? state.options.heartbeat_interval
                                       : kProgressInterval;
}

}  // namespace

JobPhase PhaseOf(const Job& job) {
  if (job.stage == JobStage::kFinal) {
    return job.update.phase;
  }
  return job.permitted_until ? JobPhase::kRunning : JobPhase::kReserving;
}

void SendJobUpdate(State& state,
                   const Attempt& attempt,
                   Job& job,
                   TimePoint now,
                   Outbox& out) {
  job.next_update = now + UpdateInterval(state, job);
  if (job.stage == JobStage::kFinal) {
    SendToEntries(state, job.update, out);
    return;
  }
  JobUpdate update;
  update.attempt = attempt;
  update.phase = PhaseOf(job);
  update.progress = Progress(job);
  SendToEntries(state, update, out);
}

void FinishJob(State& state,
               const Attempt& attempt,
               Job& job,
               JobUpdate update,
               TimePoint now,
               Outbox& out) {
  for (const JobMember& member : job.members) {
    SendToMember(state, member,
                 Release{attempt, state.options.self, /*checkpoint=*/false},
                 out);
  }
  update.attempt = attempt;
  job.stage = JobStage::kFinal;
  job.update = std::move(update);
  state.counters.AddTo("shallotlug_agent_jobs_ended_total",
                       {{"phase", NameOf(job.update.phase)}});
  Log(out, LogLevel::kInfo, "job_ended",
      {{"attempt", ToText(attempt)},
       {"phase", NameOf(job.update.phase)},
       {"reason", job.update.reason}});
  SendJobUpdate(state, attempt, job, now, out);
}

void SendDueJobUpdates(State& state, TimePoint now, Outbox& out) {
  for (auto& [attempt, job] : state.gangs.jobs) {
    if (now >= job.next_update) {
      SendJobUpdate(state, attempt, job, now, out);
    }
  }
}

void OnJobUpdateAck(State& state, const JobUpdateAck& message) {
  const auto it = state.gangs.jobs.find(message.attempt);
  if (it == state.gangs.jobs.end() || it->second.stage != JobStage::kFinal) {
    return;
  }
  state.gangs.acknowledged[message.attempt] =
      it->second.update.phase != JobPhase::kNotStarted;
  state.gangs.jobs.erase(it);
}

}  // namespace shallotlug::agent
