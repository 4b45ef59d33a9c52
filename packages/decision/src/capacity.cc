#include "capacity.h"

#include <algorithm>
#include <bit>
#include <numeric>

namespace shallotlug::decision {
namespace {

constexpr int kWholeLevel = kLevels - 1;

using Counts = std::array<int, kLevels>;

/// Splits a mask into the fewest aligned blocks.
Counts Decompose(AcceleratorMask mask) {
  Counts counts{};
  for (int level = kWholeLevel; level >= 0; --level) {
    for (int n = 0; n < kLargestBlock / BlockSize(level); ++n) {
      const AcceleratorMask block = BlockAt(level, n);
      if ((mask & block) == block) {
        ++counts[static_cast<std::size_t>(level)];
        mask &= ~block;
      }
    }
  }
  return counts;
}

const Counts& BlocksIn(AcceleratorMask mask) {
  static const std::vector<Counts> table = [] {
    std::vector<Counts> rows;
    for (AcceleratorMask it = 0; it < kMasks; ++it) {
      rows.push_back(Decompose(it));
    }
    return rows;
  }();
  return table[mask & LowMask(kLargestBlock)];
}

/// Assigns needs to racks and data centres, best fit first, with backtracking.
class DomainSearch {
 public:
  DomainSearch(const FreeIndex& layout,
               std::vector<DomainNeed> needs,
               std::vector<int> racks,
               std::vector<int> centres)
      : layout_(layout),
        needs_(std::move(needs)),
        racks_(std::move(racks)),
        data_centres_(std::move(centres)) {
    std::stable_sort(needs_.begin(), needs_.end(), Before);
  }

  bool Run() { return Place(0); }

 private:
  static int Rank(const DomainNeed& it) {
    return (it.within == Adjacency::kRack ? 0 : 2) + (it.domain >= 0 ? 0 : 1);
  }
  static bool Before(const DomainNeed& a, const DomainNeed& b) {
    return Rank(a) != Rank(b) ? Rank(a) < Rank(b) : a.units > b.units;
  }

  std::vector<int>& RoomOf(const DomainNeed& need) {
    return need.within == Adjacency::kRack ? racks_ : data_centres_;
  }

  bool Place(std::size_t n) {
    if (n == needs_.size()) {
      return true;
    }
    if (++steps_ > Capacity::kSearchLimit) {
      return false;
    }
    const DomainNeed need = needs_[n];
    if (need.domain >= 0) {
      return PlaceIn(n, static_cast<std::size_t>(need.domain));
    }
    return PlaceAnywhere(n, need);
  }

  bool PlaceAnywhere(std::size_t n, const DomainNeed& need) {
    const std::vector<int> room = RoomOf(need);
    // Domains of equal room are tried once: for racks within each data centre.
    std::vector<std::pair<int, std::uint32_t>> tried;
    for (int fit = need.units; steps_ <= Capacity::kSearchLimit; ++fit) {
      bool larger = false;
      for (std::size_t domain = 0; domain < room.size(); ++domain) {
        larger = larger || room[domain] > fit;
        if (room[domain] != fit || !IsNew(tried, need, domain, fit)) {
          continue;
        }
        if (PlaceIn(n, domain)) {
          return true;
        }
      }
      if (!larger) {
        return false;
      }
    }
    return false;
  }

  bool IsNew(std::vector<std::pair<int, std::uint32_t>>& tried,
             const DomainNeed& need,
             std::size_t domain,
             int fit) const {
    const std::uint32_t centre =
        need.within == Adjacency::kRack
            ? layout_.Rack(static_cast<std::uint32_t>(domain)).data_centre
            : 0;
    const std::pair key(fit, centre);
    if (std::find(tried.begin(), tried.end(), key) != tried.end()) {
      return false;
    }
    tried.push_back(key);
    return true;
  }

  bool PlaceIn(std::size_t n, std::size_t domain) {
    const DomainNeed need = needs_[n];
    const std::size_t centre =
        need.within == Adjacency::kRack
            ? layout_.Rack(static_cast<std::uint32_t>(domain)).data_centre
            : domain;
    if (RoomOf(need)[domain] < need.units ||
        data_centres_[centre] < need.units) {
      return false;
    }
    Change(need, domain, centre, -need.units);
    if (Place(n + 1)) {
      return true;
    }
    Change(need, domain, centre, need.units);
    return false;
  }

  void Change(const DomainNeed& need,
              std::size_t domain,
              std::size_t centre,
              int units) {
    if (need.within == Adjacency::kRack) {
      racks_[domain] += units;
    }
    data_centres_[centre] += units;
  }

  const FreeIndex& layout_;
  std::vector<DomainNeed> needs_;
  std::vector<int> racks_;
  std::vector<int> data_centres_;
  int steps_ = 0;
};

}  // namespace

Capacity::Capacity(const FreeIndex& layout)
    : layout_(&layout),
      masks_(layout.Rows().size()),
      rack_workers_(layout.Racks().size()),
      data_centre_workers_(layout.DataCentreCount()) {}

void Capacity::Set(std::uint32_t worker, AcceleratorMask mask) {
  const Counts& before = BlocksIn(masks_[worker]);
  const Counts& after = BlocksIn(mask);
  for (std::size_t level = 0; level < kLevels; ++level) {
    totals_[level] += after[level] - before[level];
  }
  const int whole = after[kWholeLevel] - before[kWholeLevel];
  const FreeRow& row = layout_->Row(worker);
  rack_workers_[row.rack] += whole;
  data_centre_workers_[row.data_centre] += whole;
  masks_[worker] = mask;
}

int Capacity::Accelerators() const {
  return std::accumulate(
      masks_.begin(), masks_.end(), 0,
      [](int sum, AcceleratorMask mask) { return sum + std::popcount(mask); });
}

bool Capacity::SinglesFit(const Needs& needs, int reserved_workers) const {
  int room = totals_[kWholeLevel] - reserved_workers;
  for (int level = kWholeLevel; level >= 0; --level) {
    const auto n = static_cast<std::size_t>(level);
    if (level < kWholeLevel) {
      room = 2 * room + totals_[n];
    }
    room -= needs.singles[n];
    if (room < 0) {
      return false;
    }
  }
  return true;
}

bool Capacity::Holds(const Needs& needs) const {
  if (needs.impossible) {
    return false;
  }
  const int reserved = std::accumulate(
      needs.domains.begin(), needs.domains.end(), 0,
      [](int sum, const DomainNeed& it) { return sum + it.units; });
  if (!SinglesFit(needs, reserved)) {
    return false;
  }
  return needs.domains.empty() ||
         DomainSearch(*layout_, needs.domains, rack_workers_,
                      data_centre_workers_)
             .Run();
}

}  // namespace shallotlug::decision
