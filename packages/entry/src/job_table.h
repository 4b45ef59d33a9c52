#ifndef SHALLOTLUG_ENTRY_SRC_JOB_TABLE_H_
#define SHALLOTLUG_ENTRY_SRC_JOB_TABLE_H_

#include <string>

#include "state.h"

namespace shallotlug::entry {

/// @brief The job with this entry's own records that are not read back yet;
/// null when it is unknown.
const stream::JobRow* ViewJob(const State& state, const JobId& job);

/// @brief The state that this entry keeps for a live job; null when there is
/// none.
JobTrack* FindTrack(State& state, const JobId& job);

/// @brief A record id that no other process makes.
std::string MakeRecordId(State& state);

/// @brief Queues a record about a job and applies it to the view. Returns its
/// id, which is empty when the queue is full.
std::string QueueJobRecord(State& state,
                           const JobId& job,
                           stream::JobRecord record,
                           TimePoint give_up_at = TimePoint::max());

/// @brief Takes in what a read of the stream changed.
void OnJobsRead(State& state, const std::vector<stream::LogRecord>& records);

/// @brief Takes in the end of an append of a record about a job.
void OnJobNotice(State& state, const stream::AppendNotice& notice);

/// @brief Whether the fold has read the whole stream at least once.
bool JobsKnown(const State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_JOB_TABLE_H_
