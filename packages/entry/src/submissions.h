#ifndef SHALLOTLUG_ENTRY_SRC_SUBMISSIONS_H_
#define SHALLOTLUG_ENTRY_SRC_SUBMISSIONS_H_

#include <string>

#include "state.h"

namespace shallotlug::entry {

void OnSubmitJob(State& state, CallId call, const api::SubmitJobCall& submit);
void OnGetJob(State& state, CallId call, const api::GetJobCall& get);
void OnCancelJobs(State& state, CallId call, const api::CancelJobsCall& cancel);

/// @brief Answers the pending submissions of a job that has been read back.
void AnswerReadBackSubmits(State& state, const stream::JobRow& row);

/// @brief Handles the completion of a submission's append.
void OnSubmitNotice(State& state, const stream::AppendNotice& notice);

/// @brief Answers submissions whose append was acknowledged but that could not
/// be read back in time.
void AnswerAcknowledgedSubmits(State& state);

/// @brief Handles a cancellation record that was read back or whose append
/// failed.
void OnCancelRecord(State& state,
                    const std::string& record_id,
                    stream::AppendNoticeKind kind);

}  // namespace shallotlug::entry

#endif  // SHALLOTLUG_ENTRY_SRC_SUBMISSIONS_H_
