#ifndef SHALLOTLUG_SERVICE_JOB_AGENT_H_
#define SHALLOTLUG_SERVICE_JOB_AGENT_H_

#include "shallotlug/settings/job_settings.h"

namespace shallotlug::service {

/// @brief Runs the agent beside a worker until a graceful shutdown has
/// finished.
/// @return 0, or 1 when a listener cannot be opened.
int RunJobAgent(const settings::JobAgentSettings& settings);

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_JOB_AGENT_H_
