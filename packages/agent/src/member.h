#ifndef SHALLOTLUG_AGENT_SRC_MEMBER_H_
#define SHALLOTLUG_AGENT_SRC_MEMBER_H_

#include "state.h"

/// Members of gang attempts: reservations of accelerators and permission to
/// compute. A member never computes past `run_until` and holds its accelerators
/// until its reservation expires.
namespace shallotlug::agent {

void OnReserve(State& state,
               LinkId link,
               const Reserve& message,
               TimePoint now,
               Outbox& out);
void OnRenew(State& state,
             LinkId link,
             const Renew& message,
             TimePoint now,
             Outbox& out);
void OnRelease(State& state,
               LinkId link,
               const Release& message,
               TimePoint now,
               Outbox& out);

/// @brief Ends permissions and reservations that have expired.
void ExpireMembers(State& state, TimePoint now, Outbox& out);

/// @brief Reports members whose accelerators have become free.
void AdvanceMembers(State& state, TimePoint now, Outbox& out);

/// @brief Tells all coordinators the state of this agent's members.
void SendMemberStatuses(State& state, TimePoint now, Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_MEMBER_H_
