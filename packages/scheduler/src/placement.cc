#include "placement.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace shallotlug::scheduler {

using workload::Resources;

namespace {

std::int64_t FitCount(std::int64_t room, std::int64_t need) {
  if (need <= 0) {
    return std::numeric_limits<std::int64_t>::max();
  }
  return room <= 0 ? 0 : room / need;
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

std::vector<AgentName> FitInto(const std::vector<Candidate>& candidates,
                               const Demand& demand) {
  struct Offer {
    const Candidate* candidate;
    int slots;
  };
  std::vector<Offer> offers;
  int total = 0;
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
          !demand.data_rack.empty() && it.candidate->rack != demand.data_rack;
      return std::make_tuple(remote, it.candidate->free.accelerators,
                             it.candidate->free.memory_mib,
                             it.candidate->free.cpu_millis,
                             it.candidate->agent);
    };
    return rank(a) < rank(b);
  });
  std::vector<AgentName> workers;
  for (const Offer& it : offers) {
    for (int n = 0; n < it.slots; ++n) {
      if (static_cast<int>(workers.size()) == demand.count) {
        return workers;
      }
      workers.push_back(it.candidate->agent);
    }
  }
  return workers;
}

std::map<std::string, std::vector<Candidate>> ByRack(
    const std::vector<Candidate>& candidates) {
  std::map<std::string, std::vector<Candidate>> racks;
  for (const Candidate& it : candidates) {
    racks[it.rack].push_back(it);
  }
  return racks;
}

std::vector<AgentName> FitIntoRack(const std::vector<Candidate>& candidates,
                                   const Demand& demand) {
  std::vector<AgentName> best;
  auto best_rank =
      std::make_tuple(true, std::numeric_limits<std::int64_t>::max());
  for (const auto& [rack, members] : ByRack(candidates)) {
    std::vector<AgentName> workers = FitInto(members, demand);
    if (workers.empty()) {
      continue;
    }
    std::int64_t left = 0;
    for (const Candidate& it : members) {
      left += it.free.accelerators;
    }
    const bool remote = !demand.data_rack.empty() && rack != demand.data_rack;
    const auto rank = std::make_tuple(remote, left);
    if (best.empty() || rank < best_rank) {
      best = std::move(workers);
      best_rank = rank;
    }
  }
  return best;
}

bool AnyRackCanHold(const std::vector<Candidate>& candidates,
                    const Demand& demand) {
  for (const auto& [rack, members] : ByRack(candidates)) {
    int slots = 0;
    for (const Candidate& it : members) {
      slots += Slots(it.capacity, demand.need, it.limit);
    }
    if (slots >= demand.count) {
      return true;
    }
  }
  return false;
}

}  // namespace shallotlug::scheduler
