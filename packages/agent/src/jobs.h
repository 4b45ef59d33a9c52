#ifndef SHALLOTLUG_AGENT_SRC_JOBS_H_
#define SHALLOTLUG_AGENT_SRC_JOBS_H_

#include "state.h"

/// Messages to the coordinator of gang attempts.
namespace shallotlug::agent {

void OnProposeJob(State& state,
                  const ProposeJob& message,
                  TimePoint now,
                  Outbox& out);
void OnMemberStatus(State& state, const MemberStatus& message, TimePoint now);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_JOBS_H_
