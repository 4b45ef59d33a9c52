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
  const auto n = static_cast<std::uint32_t>(data_centres_.size());
  data_centres_.emplace_back();
  for (auto& order : data_centres_by_blocks_) {
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
  InsertIn(data_centres_[row.data_centre], row.free, worker);
  AddBlocks(worker, 1);
}

void FreeIndex::Erase(std::uint32_t worker) {
  const FreeRow& row = rows_[worker];
  EraseFrom(all_, row.free, worker);
  EraseFrom(data_centres_[row.data_centre], row.free, worker);
  AddBlocks(worker, -1);
}

void FreeIndex::AddBlocks(std::uint32_t worker, int sign) {
  const FreeRow& row = rows_[worker];
  for (int level = 0; level < kLevels; ++level) {
    const auto n = static_cast<std::size_t>(level);
    const int change = sign * CountBlocks(row.free, level);
    all_.blocks[n] += change;
    ChangeCount(data_centres_by_blocks_[n],
                data_centres_[row.data_centre].blocks[n], row.data_centre,
                change);
    ChangeCount(racks_by_blocks_[n], racks_[row.rack].blocks[n], row.rack,
                change);
  }
}

void FreeIndexTransaction::Record(std::uint32_t worker) {
  const FreeRow& row = index_.Row(worker);
  undo_log_.push_back({worker, row.free, row.free_slots, row.usable});
}

void FreeIndexTransaction::Take(std::uint32_t worker,
                                AcceleratorMask mask,
                                int slots) {
  Record(worker);
  const FreeRow row = index_.Row(worker);
  index_.Update(worker, row.free & ~mask, row.free_slots - slots, row.usable);
}

void FreeIndexTransaction::RollBackTo(std::size_t savepoint) {
  while (undo_log_.size() > savepoint) {
    const Entry it = undo_log_.back();
    undo_log_.pop_back();
    index_.Update(it.worker, it.free, it.free_slots, it.usable);
  }
}

}  // namespace shallotlug::decision
