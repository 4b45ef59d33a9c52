#include "attempts.h"

#include <algorithm>
#include <vector>

#include "job_stop.h"

namespace shallotlug::agent {
namespace {

std::uint32_t Highest(const std::map<JobId, std::uint32_t>& numbers,
                      const JobId& job) {
  const auto it = numbers.find(job);
  return it == numbers.end() ? 0 : it->second;
}

}  // namespace

bool WasReserved(const State& state, const Attempt& attempt) {
  return Highest(state.gangs.last_reserved, attempt.job) >= attempt.number;
}

void RecordReserved(State& state, const Attempt& attempt) {
  std::uint32_t& number = state.gangs.last_reserved[attempt.job];
  number = std::max(number, attempt.number);
}

bool WasProposed(const State& state, const Attempt& attempt) {
  return Highest(state.gangs.last_proposed, attempt.job) >= attempt.number ||
         WasReserved(state, attempt);
}

void RecordProposed(State& state, const Attempt& attempt) {
  std::uint32_t& number = state.gangs.last_proposed[attempt.job];
  number = std::max(number, attempt.number);
}

void SupersedeLowerAttempts(State& state,
                            const Attempt& attempt,
                            TimePoint now,
                            Outbox& out) {
  std::vector<Attempt> superseded;
  for (const auto& [other, job] : state.gangs.jobs) {
    if (other.job == attempt.job && other.number < attempt.number &&
        job.stage != JobStage::kFinal) {
      superseded.push_back(other);
    }
  }
  for (const Attempt& other : superseded) {
    StopAttempt(state, other, StopReason::kSuperseded, now, out);
  }
}

}  // namespace shallotlug::agent
