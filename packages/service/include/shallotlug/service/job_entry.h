#ifndef SHALLOTLUG_SERVICE_JOB_ENTRY_H_
#define SHALLOTLUG_SERVICE_JOB_ENTRY_H_

#include "shallotlug/settings/job_settings.h"

namespace shallotlug::service {

/// @brief Runs an entry that accepts jobs and may become the scheduler, until a
/// graceful shutdown has finished.
/// @return 0, or 1 when a listener cannot be opened.
int RunJobEntry(const settings::JobEntrySettings& settings);

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_JOB_ENTRY_H_
