#include "pause.h"

#include <string>

#include "job_rounds.h"
#include "live_queue.h"
#include "log.h"
#include "member.h"

namespace shallotlug::agent {

void ExpireLeases(State& state, TimePoint now, Outbox& out) {
  ExpireMembers(state, now, out);
  ExpireJobs(state, now, out);
  RefuseOverdueRequests(state, now, out);
}

void CheckPause(State& state, TimePoint now, Outbox& out) {
  const Millis since = now - state.last_step;
  if (since <= state.options.pause_threshold ||
      !state.options.guards.check_pause) {
    return;
  }
  state.counters.AddTo("shallotlug_agent_pauses_total");
  Log(out, LogLevel::kWarning, "paused",
      {{"milliseconds", std::to_string(since.count())}});
  ExpireLeases(state, now, out);
}

}  // namespace shallotlug::agent
