#ifndef SHALLOTLUG_SCHEDULER_SRC_APPEND_QUEUE_H_
#define SHALLOTLUG_SCHEDULER_SRC_APPEND_QUEUE_H_

#include <set>
#include <string>
#include <vector>

#include "shallotlug/workload/record.h"

/// Records of one plan on their way to the store. The store refuses an append
/// as a whole: one that it refuses for good is sent again in halves, so that a
/// record that it never takes holds up no other.
namespace shallotlug::scheduler {

struct AppendQueue {
  std::vector<workload::RawRecord> sending;  ///< Of the append in flight.
  /// Those that follow it, the next one last.
  std::vector<std::vector<workload::RawRecord>> later;
  std::set<std::string> refused;  ///< Keys of records refused alone.
  bool any_taken = false;         ///< The store has taken some of the plan.
};

AppendQueue MakeAppendQueue(std::vector<workload::RawRecord> records);

/// @brief Called when the store has taken the append in flight.
/// @return Whether another one is to be sent.
bool OnTaken(AppendQueue& queue);

/// @brief Called when the store has refused the append in flight for good.
/// @return Whether another one is to be sent.
bool OnRefused(AppendQueue& queue);

/// @brief Whether the store seems to refuse all records, whatever they hold.
bool RefusesAll(const AppendQueue& queue);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_APPEND_QUEUE_H_
