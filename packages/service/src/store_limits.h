#ifndef SHALLOTLUG_SERVICE_SRC_STORE_LIMITS_H_
#define SHALLOTLUG_SERVICE_SRC_STORE_LIMITS_H_

#include <cstddef>

#include "shallotlug/joblog/log_calls.h"
#include "shallotlug/settings/job_settings.h"

namespace shallotlug::service {

/// @brief The limits of the store, as the settings state them.
inline joblog::StoreLimits LimitsOf(
    const settings::StoreLimitSettings& settings) {
  return {static_cast<std::size_t>(settings.record_bytes),
          static_cast<std::size_t>(settings.request_bytes)};
}

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_STORE_LIMITS_H_
