#include "placement.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <limits>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace shallotlug::scheduler {

using workload::Resources;

namespace {

// The room is negative after the capacity of a worker has shrunk. It takes
// nothing then, not even a task that needs nothing of this resource.
std::int64_t FitCount(std::int64_t room, std::int64_t need) {
  if (room < 0) {
    return 0;
  }
  return need <= 0 ? std::numeric_limits<std::int64_t>::max() : room / need;
}

}  // namespace

int Slots(const Resources& room, const Resources& need, int limit) {
  const std::int64_t n =
      std::min({FitCount(room.cpu_millis, need.cpu_millis),
                FitCount(room.memory_mib, need.memory_mib),
                FitCount(room.accelerators, need.accelerators),
                static_cast<std::int64_t>(std::max(limit, 0))});
  return static_cast<int>(n);
}

std::vector<int> FitInto(const std::vector<Candidate>& candidates,
                         const Demand& demand) {
  struct Offer {
    const Candidate* candidate;
    int slots;
  };
  std::vector<Offer> offers;
  std::int64_t total = 0;
  for (const Candidate& it : candidates) {
    const int slots = Slots(it.free, demand.need, it.limit);
    if (slots > 0) {
      offers.push_back({&it, slots});
      total += slots;
    }
  }
  if (total < demand.count) {
    return {};
  }
  std::sort(offers.begin(), offers.end(), [&](const Offer& a, const Offer& b) {
    const auto rank = [&](const Offer& it) {
      const bool remote =
          demand.data_rack != kNoRack && it.candidate->rack != demand.data_rack;
      return std::make_tuple(remote, it.candidate->free.accelerators,
                             it.candidate->free.memory_mib,
                             it.candidate->free.cpu_millis,
                             it.candidate->worker);
    };
    return rank(a) < rank(b);
  });
  std::vector<int> workers;
  workers.reserve(static_cast<std::size_t>(demand.count));
  for (const Offer& it : offers) {
    for (int n = 0; n < it.slots; ++n) {
      if (static_cast<int>(workers.size()) == demand.count) {
        return workers;
      }
      workers.push_back(it.candidate->worker);
    }
  }
  return workers;
}

std::vector<std::vector<Candidate>> ByRack(
    const std::vector<Candidate>& candidates) {
  std::map<int, std::vector<Candidate>> by_rack;
  for (const Candidate& it : candidates) {
    by_rack[it.rack].push_back(it);
  }
  std::vector<std::vector<Candidate>> racks;
  racks.reserve(by_rack.size());
  for (auto& [rack, members] : by_rack) {
    racks.push_back(std::move(members));
  }
  return racks;
}

namespace {

/// @brief Sums over the candidates of one rack.
struct RackSum {
  std::int64_t free_accelerators = 0;
  std::int64_t free_slots = 0;
  std::int64_t slots = 0;  ///< Of an empty rack.
};

std::map<int, RackSum> RackSums(const std::vector<Candidate>& candidates,
                                const Demand& demand) {
  std::map<int, RackSum> sums;
  for (const Candidate& it : candidates) {
    RackSum& sum = sums[it.rack];
    sum.free_accelerators += it.free.accelerators;
    sum.free_slots += Slots(it.free, demand.need, it.limit);
    sum.slots += Slots(it.capacity, demand.need, it.limit);
  }
  return sums;
}

}  // namespace

std::vector<int> FitIntoRack(const std::vector<Candidate>& candidates,
                             const Demand& demand) {
  std::optional<int> best;
  auto best_rank =
      std::make_tuple(true, std::numeric_limits<std::int64_t>::max());
  for (const auto& [rack, sum] : RackSums(candidates, demand)) {
    if (sum.free_slots < demand.count) {
      continue;
    }
    const bool remote = demand.data_rack != kNoRack && rack != demand.data_rack;
    const auto rank = std::make_tuple(remote, sum.free_accelerators);
    if (!best || rank < best_rank) {
      best = rack;
      best_rank = rank;
    }
  }
  if (!best) {
    return {};
  }
  std::vector<Candidate> members;
  std::copy_if(candidates.begin(), candidates.end(),
               std::back_inserter(members),
               [&](const Candidate& it) { return it.rack == *best; });
  return FitInto(members, demand);
}

bool CouldHold(const std::vector<Candidate>& candidates, const Demand& demand) {
  std::int64_t slots = 0;
  for (const Candidate& it : candidates) {
    slots += Slots(it.capacity, demand.need, it.limit);
  }
  return slots >= demand.count;
}

bool AnyRackCanHold(const std::vector<Candidate>& candidates,
                    const Demand& demand) {
  const auto sums = RackSums(candidates, demand);
  return std::any_of(sums.begin(), sums.end(), [&](const auto& it) {
    return it.second.slots >= demand.count;
  });
}

}  // namespace shallotlug::scheduler
