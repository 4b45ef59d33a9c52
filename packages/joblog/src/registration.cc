#include "shallotlug/joblog/registration.h"

#include <algorithm>
#include <chrono>

namespace shallotlug::joblog {

namespace {

constexpr Millis kRenewAfter = kRegistrationLifetime / 5;
constexpr int kMaxDoublings = 4;

// A uniform choice from 0 to `most`.
Millis RandomPart(Millis most, std::uint64_t random) {
  const auto steps = static_cast<std::uint64_t>(most.count()) + 1;
  return Millis(static_cast<std::int64_t>(random % steps));
}

}  // namespace

bool RegistrationIsDue(const workload::Ledger& ledger,
                       const workload::EntryAddress& own) {
  const auto it = ledger.entries.find(own.entry);
  if (it == ledger.entries.end()) {
    return true;
  }
  const workload::EntryAddress& stated = it->second;
  return stated.address != own.address || stated.cpu_millis != own.cpu_millis ||
         std::chrono::abs(own.stated_at - stated.stated_at) >= kRenewAfter;
}

Millis RegistrationCheckDelay(std::uint64_t random) {
  const Millis half = kLongestRegistrationCheck / 2;
  return half + RandomPart(half, random);
}

Millis AgentRegistrationDelay(int repetitions, std::uint64_t random) {
  const Millis base =
      kMinAgentRegistration * (1 << std::min(repetitions, kMaxDoublings));
  return std::min(base + RandomPart(base, random), kMaxAgentRegistration);
}

}  // namespace shallotlug::joblog
