#include "reclaim_index.h"

#include <bit>

#include "victims.h"

namespace shallotlug::decision {

ReclaimIndex::Cursor::Cursor(const Slopes& slopes, TimePoint now)
    : now_(now.time_since_epoch().count()) {
  for (const auto& [slope, keys] : slopes) {
    Push({{}, slope, &keys, keys.begin()});
  }
}

void ReclaimIndex::Cursor::Push(Head head) {
  if (head.next == head.keys->end()) {
    return;
  }
  const Key& key = *head.next;
  head.entry = {key.constant + head.slope * now_, key.worker, key.mask};
  ++head.next;
  heads_.push(head);
}

std::optional<ReclaimIndex::Entry> ReclaimIndex::Cursor::Next() {
  if (heads_.empty()) {
    return std::nullopt;
  }
  const Head head = heads_.top();
  heads_.pop();
  Push(head);
  return head.entry;
}

void ReclaimIndex::MarkChanged(std::uint32_t worker) {
  for (Level& it : levels_) {
    if (it.built) {
      it.changed.insert(worker);
    }
  }
}

ReclaimIndex::Cursor ReclaimIndex::Order(int level,
                                         TimePoint now,
                                         std::uint64_t& examined) {
  Level& row = levels_[static_cast<std::size_t>(level)];
  const std::size_t blocks = kLargestBlock / BlockSize(level);
  row.rows.resize(tables_->workers.size() * blocks);
  if (!row.built) {
    for (std::uint32_t n = 0; n < tables_->workers.size(); ++n) {
      row.changed.insert(row.changed.end(), n);
    }
    row.built = true;
  }
  examined += row.changed.size();
  for (const std::uint32_t worker : row.changed) {
    Refresh(row, level, worker);
  }
  row.changed.clear();
  return {row.slopes, now};
}

void ReclaimIndex::Refresh(Level& level, int number, std::uint32_t worker) {
  const int blocks = kLargestBlock / BlockSize(number);
  for (int n = 0; n < blocks; ++n) {
    const AcceleratorMask mask = BlockAt(number, n);
    Row& row = level.rows[static_cast<std::size_t>(worker) *
                              static_cast<std::size_t>(blocks) +
                          static_cast<std::size_t>(n)];
    const ReclaimCost cost = ReclaimCostOfBlock(tables_->workers[worker], mask);
    if (row.listed && row.slope == cost.slope &&
        row.constant == cost.constant) {
      continue;
    }
    if (row.listed) {
      const auto keys = level.slopes.find(row.slope);
      keys->second.erase({row.constant, worker, mask});
      if (keys->second.empty()) {
        level.slopes.erase(keys);
      }
    }
    row = {cost.slope, cost.constant, true};
    level.slopes[row.slope].insert({row.constant, worker, mask});
  }
}

}  // namespace shallotlug::decision
