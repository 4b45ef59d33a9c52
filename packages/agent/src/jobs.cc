#include "jobs.h"

#include <algorithm>
#include <string>
#include <utility>

#include "attempts.h"
#include "job_stop.h"
#include "job_updates.h"
#include "worker_fault.h"

namespace shallotlug::agent {
namespace {

bool SortedByName(const std::vector<GangMember>& members) {
  return std::is_sorted(members.begin(), members.end(),
                        [](const GangMember& a, const GangMember& b) {
                          return a.agent.name <= b.agent.name;
                        });
}

bool HasTasks(const std::vector<GangMember>& members) {
  return std::none_of(
      members.begin(), members.end(),
      [](const GangMember& member) { return member.tasks.empty(); });
}

std::string ProposalFault(const State& state, const ProposeJob& message) {
  const std::string fault = WorkerFault(state);
  if (!fault.empty()) {
    return fault;
  }
  if (WasProposed(state, message.attempt)) {
    return "stale_attempt";
  }
  const bool valid = SortedByName(message.members) && HasTasks(message.members);
  return valid ? "" : "invalid";
}

// Whether the proposal names this incarnation of the agent as coordinator.
// Another incarnation may have started the attempt, so this one cannot report
// that it never started.
bool TargetsThisIncarnation(const State& state, const ProposeJob& message) {
  return !message.members.empty() &&
         message.members.front().agent == state.options.self;
}

Job MakeJob(const ProposeJob& message, TimePoint now) {
  Job job;
  job.spec = message.spec;
  for (const GangMember& it : message.members) {
    JobMember member;
    member.spec = it;
    job.members.push_back(std::move(member));
  }
  job.victims = message.victims;
  job.checkpoint = message.checkpoint;
  job.stage_since = now;
  job.reserving_since = now;
  job.next_round = now;
  job.next_update = now;
  return job;
}

// A repeated proposal changes nothing; the outcome is sent again if there is
// one. True when the attempt is known.
bool HandleKnown(State& state,
                 const Attempt& attempt,
                 TimePoint now,
                 Outbox& out) {
  const auto it = state.gangs.jobs.find(attempt);
  if (it != state.gangs.jobs.end()) {
    SendJobUpdate(state, attempt, it->second, now, out);
    return true;
  }
  const auto known = state.gangs.acknowledged.find(attempt);
  if (known == state.gangs.acknowledged.end()) {
    return false;
  }
  if (!known->second) {
    RefusePermanently(state, attempt, "stale_attempt", now, out);
  }
  return true;
}

JobMember* FindJobMember(State& state, const MemberStatus& message) {
  const auto it = state.gangs.jobs.find(message.attempt);
  if (it == state.gangs.jobs.end() || it->second.stage == JobStage::kFinal) {
    return nullptr;
  }
  for (JobMember& member : it->second.members) {
    if (member.spec.agent.name == message.member.name) {
      return &member;
    }
  }
  return nullptr;
}

bool IsTerminal(MemberPhase phase) {
  return phase == MemberPhase::kFinished || phase == MemberPhase::kFailed ||
         phase == MemberPhase::kCheckpointed || phase == MemberPhase::kStopped;
}

bool HoldsAccelerators(MemberPhase phase) {
  return phase != MemberPhase::kRefused;
}

// Extends the reservation, counted from the time at which the message that the
// member answers was sent. An answer to an unknown round extends nothing.
void ApplyHold(JobMember& member, const MemberStatus& message) {
  const auto sent = member.sends.find(message.round);
  if (sent == member.sends.end()) {
    return;
  }
  member.hold_until =
      std::max(member.hold_until, sent->second + message.hold_for);
  member.reserved = true;
  member.sends.erase(member.sends.begin(), sent);
}

void ApplyPhase(JobMember& member, const MemberStatus& message) {
  if (IsTerminal(member.phase)) {
    return;
  }
  member.phase = message.phase;
  member.reason = message.reason;
  member.progress = message.progress;
  member.result = message.result;
  member.checkpoint = message.checkpoint;
}

// Whether the member certainly does not compute and will not.
bool IsSettled(const Job& job, const MemberStatus& message) {
  if (IsTerminal(message.phase) || message.phase == MemberPhase::kRefused) {
    return true;
  }
  return job.stage == JobStage::kStopping && !job.stop.checkpoint &&
         message.phase != MemberPhase::kRunning &&
         message.round >= job.stop.round;
}

}  // namespace

void OnProposeJob(State& state,
                  const ProposeJob& message,
                  TimePoint now,
                  Outbox& out) {
  state.counters.AddTo("shallotlug_agent_proposals_total");
  if (HandleKnown(state, message.attempt, now, out)) {
    return;
  }
  if (!TargetsThisIncarnation(state, message)) {
    state.counters.AddTo("shallotlug_agent_proposals_misdirected_total");
    return;
  }
  SupersedeLowerAttempts(state, message.attempt, now, out);
  const std::string fault = ProposalFault(state, message);
  if (!fault.empty()) {
    state.counters.AddTo("shallotlug_agent_proposals_refused_total",
                         {{"reason", fault}});
    RefusePermanently(state, message.attempt, fault, now, out);
    return;
  }
  RecordProposed(state, message.attempt);
  state.gangs.jobs[message.attempt] = MakeJob(message, now);
}

void OnMemberStatus(State& state, const MemberStatus& message, TimePoint now) {
  JobMember* member = FindJobMember(state, message);
  if (member == nullptr) {
    state.counters.AddTo("shallotlug_agent_stale_statuses_total");
    return;
  }
  if (member->spec.agent != message.member) {
    // Tasks of the earlier incarnation may run until their permission ends.
    member->phase = MemberPhase::kRefused;
    member->reason = "agent_restarted";
    return;
  }
  member->clock = {message.now, now};
  if (HoldsAccelerators(message.phase)) {
    ApplyHold(*member, message);
  }
  ApplyPhase(*member, message);
  const Job& job = state.gangs.jobs[message.attempt];
  member->settled = member->settled || IsSettled(job, message);
}

}  // namespace shallotlug::agent
