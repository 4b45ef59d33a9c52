#ifndef SHALLOTLUG_HARNESS_SRC_STEP_OPTIONS_H_
#define SHALLOTLUG_HARNESS_SRC_STEP_OPTIONS_H_

#include <string>

#include "shallotlug/harness/scenario.h"

namespace shallotlug::harness {

/// @brief The text of option `key`; `fallback` when the step lacks it.
std::string TextOption(const Step& step, const char* key, const char* fallback);
/// @brief The number of option `key`; `fallback` when the step lacks it.
int NumberOption(const Step& step, const char* key, int fallback);
/// @brief The duration of option `key`; `fallback` when the step lacks it.
Millis DurationOption(const Step& step, const char* key, Millis fallback);
/// @brief Whether option `key` is `yes`; `fallback` when the step lacks it.
bool FlagOption(const Step& step, const char* key, bool fallback);

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_SRC_STEP_OPTIONS_H_
