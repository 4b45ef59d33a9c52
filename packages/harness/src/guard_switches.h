#ifndef SHALLOTLUG_HARNESS_SRC_GUARD_SWITCHES_H_
#define SHALLOTLUG_HARNESS_SRC_GUARD_SWITCHES_H_

#include <string>

#include "shallotlug/harness/world.h"

namespace shallotlug::harness {

/// @brief Switches off the safeguard of that name; an unknown name changes
/// nothing.
void DisableGuard(const std::string& guard, WorldOptions& options);

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_SRC_GUARD_SWITCHES_H_
