#include "early_cancels.h"

#include <cstddef>

namespace shallotlug::scheduler {

using workload::kEarlyCancelRetention;

namespace {

constexpr Millis kCheckInterval{1'000};
// Wall clocks step. A cancel that seems to be old is kept for as long as a
// usual submission can be on its way.
constexpr Millis kShortestRetention{60'000};
// Drops in an append of their own, and in one with the records of a plan, which
// leaves about as much room as a claim takes.
constexpr std::size_t kMaxDrops = 500;
constexpr std::size_t kMaxDropsInPlan = 16;

bool IsOld(Millis known_for, Millis stated_ago) {
  return known_for >= kEarlyCancelRetention ||
         (known_for >= kShortestRetention &&
          stated_ago >= kEarlyCancelRetention);
}

}  // namespace

void AddOldCancels(CancelAges& ages,
                   const workload::Ledger& ledger,
                   std::vector<workload::RawRecord>& records,
                   Now now) {
  if (now.local - ages.checked_at < kCheckInterval) {
    return;
  }
  ages.checked_at = now.local;
  std::erase_if(ages.known_since, [&](const auto& it) {
    return !IsCancelledEarly(ledger, it.first);
  });
  std::size_t room = records.empty() ? kMaxDrops : kMaxDropsInPlan;
  for (const auto& [job, stated_at] : ledger.early_cancels) {
    const auto known = ages.known_since.try_emplace(job, now.local).first;
    if (room > 0 && IsOld(now.local - known->second, now.wall - stated_at)) {
      records.push_back(workload::DropCancel(job));
      --room;
    }
  }
}

}  // namespace shallotlug::scheduler
