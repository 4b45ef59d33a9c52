#ifndef SHALLOTLUG_JOBLOG_AUTHORITY_H_
#define SHALLOTLUG_JOBLOG_AUTHORITY_H_

#include <cstdint>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/workload/record.h"

/// Which entry is the scheduler. The log's order decides: a claim is appended
/// on the condition that nothing was appended since the claimant read the end.
namespace shallotlug::joblog {

/// @brief The producer name of all schedulers. The store fences by name, so it
/// must be the same for each of them.
inline constexpr const char* kSchedulerProducer = "scheduler";

/// @brief The scheduler appends at least this often.
inline constexpr Millis kAuthorityInterval{250};
/// @brief A scheduler that was not heard on the log for so long has lost its
/// place, although the log can be read.
inline constexpr Millis kAuthorityTimeout{900};
/// @brief What an entry knows of the scheduler from the log.
struct AuthorityView {
  workload::SchedulerClaim claim;  ///< Newest.
  TimePoint heard_at{};  ///< When a record of the scheduler was last read.
};

/// @brief Whether an entry that is not the scheduler should claim now.
/// @param current_at When the log was last read to its end.
bool ShouldClaim(const AuthorityView& view,
                 const EntryName& self,
                 TimePoint current_at,
                 TimePoint now);

}  // namespace shallotlug::joblog

#endif  // SHALLOTLUG_JOBLOG_AUTHORITY_H_
