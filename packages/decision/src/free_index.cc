#include "free_index.h"

namespace shallotlug::decision {
namespace {

void InsertIn(MaskBuckets& buckets,
              AcceleratorMask mask,
              std::uint32_t worker) {
  buckets.workers[mask].insert(worker);
  buckets.used.set(mask);
}

void EraseFrom(MaskBuckets& buckets,
               AcceleratorMask mask,
               std::uint32_t worker) {
  buckets.workers[mask].erase(worker);
  buckets.used.set(mask, !buckets.workers[mask].empty());
}

void ChangeCount(std::set<FreeIndex::CountKey>& order,
                 int& count,
                 std::uint32_t row,
                 int change) {
  if (change == 0) {
    return;
  }
  order.erase({count, row});
  count += change;
  order.insert({count, row});
}

}  // namespace

std::uint32_t FreeIndex::AddRack(std::uint32_t data_centre) {
  const auto n = static_cast<std::uint32_t>(racks_.size());
  racks_.push_back({data_centre, {}, {}});
  for (auto& order : racks_by_blocks_) {
    order.insert({0, n});
  }
  return n;
}

std::uint32_t FreeIndex::AddDataCentre() {
  const auto n = static_cast<std::uint32_t>(centres_.size());
  centres_.emplace_back();
  for (auto& order : centres_by_blocks_) {
    order.insert({0, n});
  }
  return n;
}

void FreeIndex::AddWorker(std::uint32_t rack, std::uint32_t data_centre) {
  racks_[rack].workers.push_back(static_cast<std::uint32_t>(rows_.size()));
  rows_.push_back({rack, data_centre, 0, 0, false, false});
}

void FreeIndex::Update(std::uint32_t worker,
                       AcceleratorMask free,
                       int free_slots,
                       bool usable) {
  FreeRow& row = rows_[worker];
  if (row.free == free && row.free_slots == free_slots &&
      row.usable == usable) {
    return;
  }
  if (row.listed) {
    Erase(worker);
  }
  row.free = free & LowMask(kLargestBlock);
  row.free_slots = free_slots;
  row.usable = usable;
  row.listed = usable && free_slots > 0;
  if (row.listed) {
    Insert(worker);
  }
}

void FreeIndex::Insert(std::uint32_t worker) {
  const FreeRow& row = rows_[worker];
  InsertIn(all_, row.free, worker);
  InsertIn(centres_[row.data_centre], row.free, worker);
  AddBlocks(worker, 1);
}

void FreeIndex::Erase(std::uint32_t worker) {
  const FreeRow& row = rows_[worker];
  EraseFrom(all_, row.free, worker);
  EraseFrom(centres_[row.data_centre], row.free, worker);
  AddBlocks(worker, -1);
}

void FreeIndex::AddBlocks(std::uint32_t worker, int sign) {
  const FreeRow& row = rows_[worker];
  for (int level = 0; level < kLevels; ++level) {
    const auto n = static_cast<std::size_t>(level);
    const int change = sign * CountBlocks(row.free, level);
    all_.blocks[n] += change;
    ChangeCount(centres_by_blocks_[n], centres_[row.data_centre].blocks[n],
                row.data_centre, change);
    ChangeCount(racks_by_blocks_[n], racks_[row.rack].blocks[n], row.rack,
                change);
  }
}

void Trial::Record(std::uint32_t worker) {
  const FreeRow& row = index_.Row(worker);
  journal_.push_back({worker, row.free, row.free_slots, row.usable});
}

void Trial::Take(std::uint32_t worker, AcceleratorMask mask, int slots) {
  Record(worker);
  const FreeRow row = index_.Row(worker);
  index_.Update(worker, row.free & ~mask, row.free_slots - slots, row.usable);
}

void Trial::RollBackTo(std::size_t mark) {
  while (journal_.size() > mark) {
    const Entry it = journal_.back();
    journal_.pop_back();
    index_.Update(it.worker, it.free, it.free_slots, it.usable);
  }
}

}  // namespace shallotlug::decision
