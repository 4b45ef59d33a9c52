#ifndef SHALLOTLUG_DECISION_CAPACITY_H_
#define SHALLOTLUG_DECISION_CAPACITY_H_

#include <array>
#include <cstdint>
#include <vector>

#include "free_index.h"
#include "shallotlug/base/work.h"
#include "shallotlug/decision/blocks.h"

namespace shallotlug::decision {

/// @brief Whole workers needed in one domain.
struct DomainNeed {
  Adjacency within = Adjacency::kRack;  ///< kRack or kDataCentre.
  int units = 0;
  int domain = -1;  ///< Row of the rack or data centre; -1 for any.
};

/// @brief Blocks that must be placeable at the same time.
struct Needs {
  std::vector<DomainNeed> domains;
  std::array<int, kLevels> singles{};  ///< Blocks by level, anywhere.
  bool impossible = false;
};

/// @brief Accelerators by worker that can be made available, with the counts
/// that decide whether a set of needs fits.
class Capacity {
 public:
  explicit Capacity(const FreeIndex& layout);

  void Set(std::uint32_t worker, AcceleratorMask mask);
  AcceleratorMask Mask(std::uint32_t worker) const { return masks_[worker]; }
  std::size_t WorkerCount() const { return masks_.size(); }
  int Accelerators() const;

  /// @brief Whether all needs can be placed at once on disjoint blocks.
  ///
  /// Exact for blocks, whose sizes divide one another. Groups of several
  /// workers are packed best fit, largest first, with backtracking over at most
  /// kSearchLimit steps; beyond that the answer is "no", which is safe.
  bool Holds(const Needs& needs) const;

  static constexpr int kSearchLimit = 10'000;

 private:
  bool SinglesFit(const Needs& needs, int reserved_workers) const;

  const FreeIndex* layout_;
  std::vector<AcceleratorMask> masks_;
  std::vector<int> rack_workers_;         ///< Whole workers by rack.
  std::vector<int> data_centre_workers_;  ///< Whole workers by data centre.
  std::array<int, kLevels> totals_{};
};

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_CAPACITY_H_
