#ifndef SHALLOTLUG_ENTRY_SRC_JOB_TABLE_H_
#define SHALLOTLUG_ENTRY_SRC_JOB_TABLE_H_

#include <string>

#include "state.h"

namespace shallotlug::entry {

/// @brief The job's row with this entry's pending records applied; null if the
/// job is unknown.
const stream::JobRow* FindProjectedJob(const State& state, const JobId& job);

/// @brief Returns the track of a job that is not final; null if there is none.
JobTrack* FindTrack(State& state, const JobId& job);

/// @brief Returns a globally unique record id.
std::string MakeRecordId(State& state);

/// @brief Queues a job record and applies it to the projected row. Returns the
/// record id, or an empty string if the queue is full.
std::string QueueJobRecord(State& state,
                           const JobId& job,
                           stream::JobRecord record,
                           TimePoint give_up_at = TimePoint::max());

/// @brief Processes the changes from a read of the job stream.
void OnJobsRead(State& state, const std::vector<stream::LogRecord>& records);

/// @brief Handles the completion of a job record's append.
void OnJobNotice(State& state, const stream::AppendNotice& notice);

/// @brief Whether the fold has read the whole stream at least once.
bool JobsKnown(const State& state);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_JOB_TABLE_H_
