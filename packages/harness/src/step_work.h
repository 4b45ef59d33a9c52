#ifndef SHALLOTLUG_HARNESS_SRC_STEP_WORK_H_
#define SHALLOTLUG_HARNESS_SRC_STEP_WORK_H_

#include <string>

#include "shallotlug/harness/scenario.h"
#include "shallotlug/harness/world.h"

namespace shallotlug::harness {

/// @brief The live request that a caller's step declares, without an id.
CallerRequest RequestOf(const Step& step);
/// @brief The long job that a caller's step declares, under `name`.
CallerJob JobOf(const Step& step, const std::string& name);
/// @brief The target that an operator's step sets or removes.
ClassTarget TargetOf(const Step& step);

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_SRC_STEP_WORK_H_
