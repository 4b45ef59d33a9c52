#ifndef SHALLOTLUG_SCHEDULER_SRC_BATCH_H_
#define SHALLOTLUG_SCHEDULER_SRC_BATCH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state.h"

/// Records of one plan. One append takes as many as the store accepts; the
/// others wait for the next plan, and what depends on them waits with them.
namespace shallotlug::scheduler {

/// @brief Last recorded end of a worker, and the life that numbered it.
struct BatchEnds {
  workload::WorkerLife life;
  std::uint64_t number = 0;
  TimePoint planned_at{};
};

/// @brief What an agent is told once the batch is durable.
struct BatchNote {
  std::optional<BatchEnds> ends;
  /// Crashes, refusals and ends of former lives that are recorded.
  std::set<workload::RunRef> settled;
  /// The occurrences whose records say so.
  std::set<OccurrenceKey> awaited;
};

struct Batch {
  std::vector<workload::RawRecord> records;
  std::size_t bytes = 0;  ///< Of all records.
  /// The occurrence of each record of progress, by key.
  std::map<std::string, OccurrenceKey> occurrences;
  std::vector<workload::TaskRef> runs;  ///< Planned runs that it records.
  std::map<AgentName, BatchNote> notes;
  TimePoint planned_at{};
};

/// @brief Adds the records if all of them fit into the append. The first ones
/// may take as much as the store accepts. A single first record is always
/// added: the store tells whether it takes it.
bool AddRecords(const State& state,
                Batch& batch,
                std::vector<workload::RawRecord> records);

/// @brief Plans the records of all changes, those first that a start or an
/// acknowledgement waits for.
Batch PlanBatch(State& state, TimePoint now);

/// @brief Carries out what the durable batch allows: orders its runs, and
/// acknowledges ends, crashes and refusals.
/// @param refused Keys of records that the store has refused for good. What
/// depends on them waits until they are sent again.
void CommitBatch(State& state,
                 Batch batch,
                 const std::set<std::string>& refused);

}  // namespace shallotlug::scheduler

#endif  // SHALLOTLUG_SCHEDULER_SRC_BATCH_H_
