#ifndef SHALLOTLUG_AGENT_SRC_MEMBER_TASKS_H_
#define SHALLOTLUG_AGENT_SRC_MEMBER_TASKS_H_

#include <string>

#include "state.h"

/// Tasks of members at the backend server.
namespace shallotlug::agent {

/// @brief Time until which a member may compute, on this agent's clock.
TimePoint ComputeLimit(const State& state, const Member& member);

/// @brief Starts all tasks of a member that is ready.
void StartMemberTasks(State& state,
                      const Attempt& attempt,
                      Member& member,
                      TimePoint now,
                      Outbox& out);

/// @brief Asks all running tasks of a member to stop or to checkpoint, once.
void EndMemberTasks(State& state,
                    Member& member,
                    TaskAction action,
                    const std::string& reason,
                    Outbox& out);

/// @brief Leaves the tasks of a member to end by themselves. Their accelerators
/// stay in use until the backend server no longer reports them.
void DetachMemberTasks(State& state, Member& member);

/// @brief Counts tasks whose lease has passed as ended, also when the backend
/// server cannot be asked.
void EndTasksPastLease(State& state, TimePoint now, Outbox& out);

void OnMemberTaskEnd(State& state,
                     const MemberTask& owner,
                     const TaskEvent& event,
                     TimePoint now,
                     Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_MEMBER_TASKS_H_
