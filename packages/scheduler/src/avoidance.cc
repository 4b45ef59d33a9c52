#include "avoidance.h"

#include <algorithm>

namespace shallotlug::scheduler {

using workload::TaskRef;

namespace {

// A worker is avoided after failures of this many different jobs in a row.
constexpr int kFailuresBeforeAvoidance = 2;
constexpr Millis kFirstAvoidance{15'000};
constexpr Millis kLongestAvoidance{60'000};
// A job that could run must not wait for longer in a pool that is not busy, and
// its attempts must not be used up by a worker that fails for some seconds.
constexpr Millis kRetryPause{2'000};
// A worker that fails what it starts does so within a fraction of this time.
constexpr Millis kTrialTime{1'500};

bool IsAvoided(const AgentRow& agent) {
  return agent.avoidance.length > Millis{0};
}

bool HasRunSince(const State& state, const AgentName& agent, TimePoint since) {
  const auto& runs = state.runs.On(agent).rows;
  return std::any_of(runs.begin(), runs.end(), [&](const auto& it) {
    return it.second->placed_at > since;
  });
}

}  // namespace

const char* Name(Trust trust) {
  switch (trust) {
    case Trust::kFull:
      return "full";
    case Trust::kTrial:
      return "trial";
    case Trust::kLastResort:
      return "last_resort";
    case Trust::kNone:
      return "none";
  }
  return "none";
}

Trust TrustIn(const State& state, const AgentRow& agent, TimePoint now) {
  const Avoidance& avoidance = agent.avoidance;
  if (!IsAvoided(agent)) {
    return Trust::kFull;
  }
  if (now >= avoidance.until &&
      !HasRunSince(state, agent.address.agent, avoidance.since)) {
    return Trust::kTrial;
  }
  return now - avoidance.since >= kRetryPause ? Trust::kLastResort
                                              : Trust::kNone;
}

bool IsPaused(const State& state,
              const TaskRef& task,
              const AgentName& agent,
              TimePoint now) {
  const auto failed = state.failed_on.find(task);
  if (failed == state.failed_on.end()) {
    return false;
  }
  const auto at = failed->second.find(agent);
  return at != failed->second.end() && now - at->second < kRetryPause;
}

void AvoidWorker(State& state,
                 AgentRow& agent,
                 const char* why,
                 TimePoint placed_at,
                 TimePoint now) {
  Avoidance& avoidance = agent.avoidance;
  if (IsAvoided(agent) && placed_at <= avoidance.since) {
    return;
  }
  avoidance.length =
      std::clamp(avoidance.length * 2, kFirstAvoidance, kLongestAvoidance);
  avoidance.since = now;
  avoidance.until = now + avoidance.length;
  Log(state, "worker_avoided",
      {{"agent", agent.address.agent.value},
       {"reason", why},
       {"for_ms", std::to_string(avoidance.length.count())},
       Age("placed_ms_ago", placed_at, now)});
}

void CountFailure(State& state,
                  AgentRow& agent,
                  const TaskRef& task,
                  TimePoint placed_at,
                  TimePoint now) {
  Avoidance& avoidance = agent.avoidance;
  if (task.job != avoidance.last_failed_job) {
    avoidance.last_failed_job = task.job;
    ++avoidance.failures_in_a_row;
  }
  if (IsAvoided(agent) ||
      avoidance.failures_in_a_row >= kFailuresBeforeAvoidance) {
    AvoidWorker(state, agent, "failures", placed_at, now);
  }
}

void CountSuccess(State& state, AgentRow& agent) {
  if (IsAvoided(agent)) {
    Log(state, "worker_trusted", {{"agent", agent.address.agent.value}});
    state.placement_outdated = true;
  }
  agent.avoidance = {};
}

void CountProgress(State& state,
                   AgentRow& agent,
                   const RunRow& run,
                   TimePoint now) {
  if (IsAvoided(agent) && run.placed_at > agent.avoidance.since &&
      run.percent > 0 && now - run.running_since >= kTrialTime) {
    CountSuccess(state, agent);
  }
}

}  // namespace shallotlug::scheduler
