#ifndef SHALLOTLUG_HARNESS_SRC_EXPECTATIONS_H_
#define SHALLOTLUG_HARNESS_SRC_EXPECTATIONS_H_

#include <string>

#include "shallotlug/harness/scenario.h"
#include "shallotlug/harness/world.h"

namespace shallotlug::harness {

/// @brief Whether the expectation of the step holds now. The request, job or
/// change that it names must exist.
bool Holds(World& world, const Step& step);
/// @brief What is known of the request, job or change that the step names.
std::string Describe(World& world, const Step& step);

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_SRC_EXPECTATIONS_H_
