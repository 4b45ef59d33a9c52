#include "member.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "accelerators.h"
#include "attempts.h"
#include "log.h"
#include "member_status.h"
#include "member_tasks.h"
#include "worker_fault.h"

namespace shallotlug::agent {
namespace {

bool IsVictim(const std::vector<Attempt>& victims,
              const Attempt& self,
              const Attempt& other) {
  return std::find(victims.begin(), victims.end(), other) != victims.end() ||
         (other.job == self.job && other.number < self.number);
}

// False when an accelerator does not exist or is assigned to two tasks, or when
// there are no tasks.
bool ValidTasks(const State& state, const std::vector<AcceleratorMask>& tasks) {
  AcceleratorMask seen = 0;
  for (const AcceleratorMask mask : tasks) {
    if ((mask & ~AllAccelerators(state)) != 0 || (mask & seen) != 0) {
      return false;
    }
    seen |= mask;
  }
  return !tasks.empty();
}

AcceleratorMask Union(const std::vector<AcceleratorMask>& tasks) {
  AcceleratorMask mask = 0;
  for (const AcceleratorMask it : tasks) {
    mask |= it;
  }
  return mask;
}

// Whether another attempt holds what this one asks for and was not asked to
// stop. Live requests end soon and are waited for.
std::string OccupancyFault(const State& state, const Reserve& message) {
  const AcceleratorMask wanted = Union(message.tasks);
  std::size_t slots = message.tasks.size();
  for (const auto& [attempt, member] : state.gangs.members) {
    if (IsVictim(message.victims, message.attempt, attempt)) {
      continue;
    }
    if ((member.accelerators & wanted) != 0) {
      return "occupied";
    }
    slots += member.tasks.size();
  }
  const auto limit = static_cast<std::size_t>(state.options.inventory.slots);
  return slots > limit ? "no_slot" : "";
}

std::string ReserveFault(const State& state, const Reserve& message) {
  const std::string fault = WorkerFault(state);
  if (!fault.empty()) {
    return fault;
  }
  if (WasReserved(state, message.attempt)) {
    return "stale_attempt";
  }
  if (!ValidTasks(state, message.tasks)) {
    return "invalid";
  }
  return OccupancyFault(state, message);
}

Member MakeMember(const State& state,
                  LinkId link,
                  const Reserve& message,
                  TimePoint now) {
  Member member;
  member.coordinator = message.coordinator;
  member.spec = message.spec;
  for (const AcceleratorMask mask : message.tasks) {
    member.tasks.push_back({mask, {}, TaskEnd::kNone, {}});
  }
  member.accelerators = Union(message.tasks);
  member.victims = message.victims;
  member.checkpoint = message.checkpoint;
  member.link = link;
  member.round = message.round;
  member.hold_until = now + state.options.hold;
  return member;
}

// Whether nothing else uses the accelerators and the slots of a member.
bool ResourcesAreFree(const State& state,
                      const Attempt& attempt,
                      const Member& member) {
  for (const auto& [other, it] : state.gangs.members) {
    if (other != attempt && (it.accelerators & member.accelerators) != 0) {
      return false;
    }
  }
  for (const auto& [id, task] : state.backend.tasks) {
    if ((task.accelerators & member.accelerators) != 0) {
      return false;
    }
  }
  for (const auto& [id, accelerators] : state.backend.orphaned_tasks) {
    if ((accelerators & member.accelerators) != 0) {
      return false;
    }
  }
  return UsedSlots(state) <= state.options.inventory.slots;
}

void UpdateReadiness(const State& state,
                     const Attempt& attempt,
                     Member& member) {
  if (member.phase == MemberPhase::kGranted &&
      ResourcesAreFree(state, attempt, member)) {
    member.phase = MemberPhase::kReady;
  }
}

// The member that a message of its coordinator is about; null when the message
// is from another coordinator or older than one already handled.
Member* FindMember(State& state,
                   const Attempt& attempt,
                   const AgentRef& coordinator) {
  const auto it = state.gangs.members.find(attempt);
  if (it == state.gangs.members.end() ||
      it->second.coordinator != coordinator) {
    return nullptr;
  }
  return &it->second;
}

// Records a round and extends the reservation. False when the round is older
// than the last one.
bool AcceptRound(State& state,
                 Member& member,
                 LinkId link,
                 std::uint32_t round,
                 TimePoint now) {
  if (round < member.round) {
    state.counters.AddTo("shallotlug_agent_stale_rounds_total");
    return false;
  }
  member.link = link;
  member.round = round;
  member.hold_until = now + state.options.hold;
  return true;
}

void Revoke(State& state, Member& member, Outbox& out) {
  member.run_until.reset();
  if (member.phase == MemberPhase::kRunning) {
    EndMemberTasks(state, member, TaskAction::kStop, "revoked", out);
  }
}

// The permission to compute never outlasts the reservation.
void Permit(Member& member, TimePoint run_until) {
  const TimePoint until = std::min(run_until, member.hold_until);
  member.run_until = std::max(member.run_until.value_or(until), until);
}

// A member that cannot start reports that it stopped, because the other members
// start now.
void StartOrStop(State& state,
                 const Attempt& attempt,
                 Member& member,
                 TimePoint now,
                 Outbox& out) {
  const std::string fault = WorkerFault(state);
  if (fault.empty()) {
    StartMemberTasks(state, attempt, member, now, out);
    return;
  }
  member.phase = MemberPhase::kStopped;
  member.reason = fault;
}

void ApplyPermission(State& state,
                     const Attempt& attempt,
                     Member& member,
                     PeerTime run_until,
                     TimePoint now,
                     Outbox& out) {
  if (run_until == PeerTime{}) {
    Revoke(state, member, out);
    return;
  }
  const bool startable = member.phase == MemberPhase::kReady;
  const bool running =
      member.phase == MemberPhase::kRunning && member.run_until.has_value();
  if (startable || running) {
    Permit(member, AsLocalTime(run_until));
  }
  if (startable && ComputeLimit(state, member) > now) {
    StartOrStop(state, attempt, member, now, out);
  }
}

void StopForCheckpoint(State& state, Member& member, Outbox& out) {
  switch (member.phase) {
    case MemberPhase::kGranted:
    case MemberPhase::kReady:
      member.phase = MemberPhase::kStopped;
      member.reason = "not_started";
      return;
    case MemberPhase::kRunning:
      EndMemberTasks(state, member, TaskAction::kCheckpoint, "", out);
      return;
    default:
      return;
  }
}

void RemoveMember(State& state, const Attempt& attempt, Outbox& out) {
  const auto it = state.gangs.members.find(attempt);
  EndMemberTasks(state, it->second, TaskAction::kStop, "released", out);
  DetachMemberTasks(state, it->second);
  state.gangs.members.erase(it);
}

}  // namespace

void OnReserve(State& state,
               LinkId link,
               const Reserve& message,
               TimePoint now,
               Outbox& out) {
  SupersedeLowerAttempts(state, message.attempt, now, out);
  if (Member* member =
          FindMember(state, message.attempt, message.coordinator)) {
    AcceptRound(state, *member, link, message.round, now);
    SendStatus(state, message.attempt, *member, now, out);
    return;
  }
  const std::string fault = ReserveFault(state, message);
  RecordReserved(state, message.attempt);
  if (!fault.empty()) {
    SendRefusal(state, link, message.attempt, message.round, fault, now, out);
    return;
  }
  state.counters.AddTo("shallotlug_agent_members_granted_total");
  Member& member = state.gangs.members[message.attempt] =
      MakeMember(state, link, message, now);
  UpdateReadiness(state, message.attempt, member);
  SendStatus(state, message.attempt, member, now, out);
}

void OnRenew(State& state,
             LinkId link,
             const Renew& message,
             TimePoint now,
             Outbox& out) {
  if (message.run_until.incarnation != state.options.self.incarnation) {
    SendRefusal(state, link, message.attempt, message.round,
                "other_incarnation", now, out);
    return;
  }
  Member* member = FindMember(state, message.attempt, message.coordinator);
  if (member == nullptr) {
    SendRefusal(state, link, message.attempt, message.round, "unknown_attempt",
                now, out);
    return;
  }
  if (!AcceptRound(state, *member, link, message.round, now)) {
    return;
  }
  UpdateReadiness(state, message.attempt, *member);
  ApplyPermission(state, message.attempt, *member, message.run_until.at, now,
                  out);
  SendStatus(state, message.attempt, *member, now, out);
}

void OnRelease(State& state,
               LinkId link,
               const Release& message,
               TimePoint now,
               Outbox& out) {
  Member* member = FindMember(state, message.attempt, message.coordinator);
  RecordReserved(state, message.attempt);
  if (member == nullptr) {
    return;
  }
  if (!message.checkpoint) {
    RemoveMember(state, message.attempt, out);
    state.counters.AddTo("shallotlug_agent_members_released_total");
    return;
  }
  member->link = link;
  StopForCheckpoint(state, *member, out);
  SendStatus(state, message.attempt, *member, now, out);
}

void ExpireMembers(State& state, TimePoint now, Outbox& out) {
  EndTasksPastLease(state, now, out);
  std::vector<Attempt> expired;
  for (auto& [attempt, member] : state.gangs.members) {
    if (member.phase == MemberPhase::kRunning &&
        ComputeLimit(state, member) <= now && !member.stopping) {
      state.counters.AddTo("shallotlug_agent_run_until_passed_total");
      EndMemberTasks(state, member, TaskAction::kStop, "run_until_passed", out);
    }
    if (member.hold_until <= now) {
      expired.push_back(attempt);
    }
  }
  for (const Attempt& attempt : expired) {
    state.counters.AddTo("shallotlug_agent_holds_expired_total");
    Log(out, LogLevel::kWarning, "hold_expired",
        {{"attempt", ToText(attempt)}});
    RemoveMember(state, attempt, out);
  }
}

void AdvanceMembers(State& state, TimePoint now, Outbox& out) {
  for (auto& [attempt, member] : state.gangs.members) {
    if (member.phase != MemberPhase::kGranted) {
      continue;
    }
    UpdateReadiness(state, attempt, member);
    if (member.phase == MemberPhase::kReady) {
      SendStatus(state, attempt, member, now, out);
    }
  }
}

void SendMemberStatuses(State& state, TimePoint now, Outbox& out) {
  for (const auto& [attempt, member] : state.gangs.members) {
    SendStatus(state, attempt, member, now, out);
  }
}

}  // namespace shallotlug::agent
