#ifndef SHALLOTLUG_DECISION_RECLAIM_INDEX_H_
#define SHALLOTLUG_DECISION_RECLAIM_INDEX_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <tuple>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/decision/blocks.h"
#include "tables.h"

namespace shallotlug::decision {

/// @brief All blocks of a level by the cost of emptying them.
///
/// The cost of a block is linear in time: its slope is the number of
/// accelerators whose work is lost when it stops. Blocks of the same slope keep
/// their order, so that only the slopes are merged at the time of a plan.
class ReclaimIndex {
 public:
  struct Key {
    std::int64_t constant = 0;  ///< Cost at time 0.
    std::uint32_t worker = 0;
    AcceleratorMask mask = 0;

    bool operator<(const Key& other) const {
      return std::tie(constant, worker, mask) <
             std::tie(other.constant, other.worker, other.mask);
    }
  };
  struct Entry {
    std::int64_t cost = 0;
    std::uint32_t worker = 0;
    AcceleratorMask mask = 0;

    bool operator>(const Entry& other) const {
      return std::tie(cost, worker, mask) >
             std::tie(other.cost, other.worker, other.mask);
    }
  };
  using Slopes = std::map<std::int64_t, std::set<Key>>;

  /// @brief Yields the blocks of a level, cheapest first, then by worker and
  /// block. Valid until the tables change.
  class Cursor {
   public:
    Cursor(const Slopes& slopes, TimePoint now);
    std::optional<Entry> Next();

   private:
    struct Head {
      Entry entry;
      std::int64_t slope = 0;
      const std::set<Key>* keys = nullptr;
      std::set<Key>::const_iterator next;

      bool operator>(const Head& other) const { return entry > other.entry; }
    };
    void Push(Head head);

    std::int64_t now_;
    std::priority_queue<Head, std::vector<Head>, std::greater<>> heads_;
  };

  explicit ReclaimIndex(const Cluster::Tables& tables) : tables_(&tables) {}

  void MarkChanged(std::uint32_t worker);
  /// @brief Brings a level up to date and adds the rows that it took to
  /// `examined`.
  Cursor Order(int level, TimePoint now, std::uint64_t& examined);

 private:
  struct Row {
    std::int64_t slope = 0;
    std::int64_t constant = 0;
    bool listed = false;
  };
  struct Level {
    bool built = false;
    std::vector<Row> rows;  ///< By worker and block number.
    std::set<std::uint32_t> changed;
    Slopes slopes;
  };

  void Refresh(Level& level, int number, std::uint32_t worker);

  const Cluster::Tables* tables_;
  std::array<Level, kLevels> levels_;
};

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_RECLAIM_INDEX_H_
