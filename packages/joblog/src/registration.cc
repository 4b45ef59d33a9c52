#include "shallotlug/joblog/registration.h"

#include <chrono>

namespace shallotlug::joblog {

namespace {

constexpr Millis kRenewAfter = kRegistrationLifetime / 5;

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
  const auto steps = static_cast<std::uint64_t>(half.count()) + 1;
  return half + Millis(static_cast<std::int64_t>(random % steps));
}

}  // namespace shallotlug::joblog
