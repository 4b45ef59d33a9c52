#ifndef SHALLOTLUG_DECISION_PACKER_H_
#define SHALLOTLUG_DECISION_PACKER_H_

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

#include "free_index.h"
#include "shallotlug/decision/cluster.h"

namespace shallotlug::decision {

/// @brief Accelerators that waiting jobs request or that are guaranteed, by
/// block level.
using Demand = std::array<double, kLevels>;

/// @brief Cost of a placement to other shapes, for every free mask and task
/// size.
class MaskCosts {
 public:
  explicit MaskCosts(const Demand& demand) : demand_(demand) {}

  /// @brief The block to take from this free mask; 0 when none fits.
  AcceleratorMask Block(AcceleratorMask free, int accelerators) const {
    return RowFor(accelerators).block[free];
  }
  double Cost(AcceleratorMask free, int accelerators) const {
    return RowFor(accelerators).cost[free];
  }
  /// @brief Free masks on which the task fits, least cost first.
  const std::vector<AcceleratorMask>& Order(int accelerators) const {
    return RowFor(accelerators).order;
  }

 private:
  struct SizeRow {
    std::array<AcceleratorMask, kMasks> block{};
    std::array<double, kMasks> cost{};
    std::vector<AcceleratorMask> order;
  };
  /// Rows are filled on first use; most plans need few task sizes.
  const SizeRow& RowFor(int accelerators) const;
  void Fill(SizeRow& row, int accelerators) const;

  Demand demand_;
  mutable std::array<SizeRow, kLargestBlock + 1> rows_;
};

/// @brief Returns the accelerators of a worker that a job may use.
using AllowedMask = std::function<AcceleratorMask(std::uint32_t worker)>;

/// @brief Places shapes on free accelerators, best fit first.
class Packer {
 public:
  Packer(FreeIndexTransaction& transaction, const MaskCosts& costs)
      : transaction_(transaction), costs_(costs) {}

  /// @brief Takes the accelerators in the transaction; empty when the shape
  /// does not fit. A null `allowed` allows everything.
  std::vector<Allocation> Place(const JobShape& shape,
                                const AllowedMask& allowed);
  /// @brief Workers that a filter may reject before the placement of a task
  /// fails.
  void LimitRejections(int limit) { reject_limit_ = limit; }
  static constexpr int kRejectLimit = 512;

  /// @brief Table rows examined.
  std::uint64_t Examined() const { return examined_; }

 private:
  using Tasks = std::vector<Allocation>;

  Tasks PlaceOnOneWorker(const JobShape& shape, const AllowedMask& allowed);
  Tasks PlaceInRack(const JobShape& shape, const AllowedMask& allowed);
  Tasks PlaceInDataCentre(const JobShape& shape, const AllowedMask& allowed);
  Tasks PlaceIn(const MaskBuckets& buckets,
                const JobShape& shape,
                const AllowedMask& allowed);
  bool PlaceTask(const MaskBuckets& buckets,
                 int accelerators,
                 const AllowedMask& allowed,
                 Tasks& tasks);
  bool PlaceTaskInRack(const RackRow& rack,
                       int accelerators,
                       const AllowedMask& allowed,
                       Tasks& tasks);
  bool TryWorker(std::uint32_t worker,
                 int accelerators,
                 const AllowedMask& allowed,
                 Tasks& tasks);
  AcceleratorMask Usable(std::uint32_t worker,
                         const AllowedMask& allowed) const;

  FreeIndexTransaction& transaction_;
  const MaskCosts& costs_;
  int reject_limit_ = kRejectLimit;
  std::uint64_t examined_ = 0;
};

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_PACKER_H_
