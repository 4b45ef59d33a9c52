#include "append_queue.h"

#include <iterator>
#include <utility>

namespace shallotlug::scheduler {

using workload::RawRecord;

namespace {

// A store that refuses as many single records and takes none refuses all.
constexpr std::size_t kMaxRefusedRecords = 8;

bool SendNext(AppendQueue& queue) {
  if (queue.later.empty()) {
    return false;
  }
  queue.sending = std::move(queue.later.back());
  queue.later.pop_back();
  return true;
}

}  // namespace

AppendQueue MakeAppendQueue(std::vector<RawRecord> records) {
  AppendQueue queue;
  queue.sending = std::move(records);
  return queue;
}

bool OnTaken(AppendQueue& queue) {
  queue.any_taken = true;
  queue.sending.clear();
  return SendNext(queue);
}

bool OnRefused(AppendQueue& queue) {
  std::vector<RawRecord>& records = queue.sending;
  if (records.size() <= 1) {
    for (const RawRecord& it : records) {
      queue.refused.insert(it.key);
    }
    records.clear();
    return SendNext(queue);
  }
  const auto middle =
      records.begin() + static_cast<std::ptrdiff_t>(records.size() / 2);
  queue.later.emplace_back(std::make_move_iterator(middle),
                           std::make_move_iterator(records.end()));
  records.erase(middle, records.end());
  return true;
}

bool RefusesAll(const AppendQueue& queue) {
  return !queue.any_taken && queue.refused.size() >= kMaxRefusedRecords;
}

}  // namespace shallotlug::scheduler
