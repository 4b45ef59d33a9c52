#ifndef SHALLOTLUG_DECISION_FREE_INDEX_H_
#define SHALLOTLUG_DECISION_FREE_INDEX_H_

#include <array>
#include <bitset>
#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "shallotlug/decision/blocks.h"

namespace shallotlug::decision {

constexpr int kMasks = 256;

/// @brief The workers of one data centre, or of the cluster, by free mask.
struct MaskBuckets {
  std::array<std::set<std::uint32_t>, kMasks> workers;
  std::bitset<kMasks> used;
  std::array<int, kLevels> blocks{};  ///< Free aligned blocks of each level.
};

/// @brief The workers of one rack.
struct RackRow {
  std::uint32_t data_centre = 0;
  std::vector<std::uint32_t> workers;
  std::array<int, kLevels> blocks{};
};

/// @brief Index entry of one worker.
struct FreeRow {
  std::uint32_t rack = 0;
  std::uint32_t data_centre = 0;
  AcceleratorMask free = 0;
  int free_slots = 0;
  bool usable = false;  ///< Takes new work.
  bool listed = false;  ///< In the buckets: usable and with a free slot.
};

/// @brief Free accelerators of all workers, indexed by what fits on them. An
/// update costs O(log workers).
class FreeIndex {
 public:
  using CountKey = std::pair<int, std::uint32_t>;

  std::uint32_t AddRack(std::uint32_t data_centre);
  std::uint32_t AddDataCentre();
  void AddWorker(std::uint32_t rack, std::uint32_t data_centre);

  void Update(std::uint32_t worker,
              AcceleratorMask free,
              int free_slots,
              bool usable);

  const FreeRow& Row(std::uint32_t worker) const { return rows_[worker]; }
  const std::vector<FreeRow>& Rows() const { return rows_; }
  const RackRow& Rack(std::uint32_t n) const { return racks_[n]; }
  const std::vector<RackRow>& Racks() const { return racks_; }
  const MaskBuckets& DataCentre(std::uint32_t n) const {
    return data_centres_[n];
  }
  std::size_t DataCentreCount() const { return data_centres_.size(); }
  const MaskBuckets& All() const { return all_; }

  /// @brief Racks and data centres ordered by free blocks of a level.
  const std::set<CountKey>& RacksByBlocks(int level) const {
    return racks_by_blocks_[static_cast<std::size_t>(level)];
  }
  const std::set<CountKey>& DataCentresByBlocks(int level) const {
    return data_centres_by_blocks_[static_cast<std::size_t>(level)];
  }

 private:
  void Insert(std::uint32_t worker);
  void Erase(std::uint32_t worker);
  void AddBlocks(std::uint32_t worker, int sign);

  std::vector<FreeRow> rows_;
  std::vector<RackRow> racks_;
  std::vector<MaskBuckets> data_centres_;
  MaskBuckets all_;
  std::array<std::set<CountKey>, kLevels> racks_by_blocks_;
  std::array<std::set<CountKey>, kLevels> data_centres_by_blocks_;
};

/// @brief Changes to a FreeIndex that are undone when it goes out of scope.
class FreeIndexTransaction {
 public:
  explicit FreeIndexTransaction(FreeIndex& index) : index_(index) {}
  ~FreeIndexTransaction() { RollBackTo(0); }
  FreeIndexTransaction(const FreeIndexTransaction&) = delete;
  FreeIndexTransaction& operator=(const FreeIndexTransaction&) = delete;

  void Take(std::uint32_t worker, AcceleratorMask mask, int slots = 1);
  std::size_t Savepoint() const { return undo_log_.size(); }
  void RollBackTo(std::size_t savepoint);
  const FreeIndex& Index() const { return index_; }

 private:
  struct Entry {
    std::uint32_t worker = 0;
    AcceleratorMask free = 0;
    int free_slots = 0;
    bool usable = false;
  };
  void Record(std::uint32_t worker);

  FreeIndex& index_;
  std::vector<Entry> undo_log_;
};

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_FREE_INDEX_H_
