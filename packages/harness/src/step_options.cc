#include "step_options.h"

namespace shallotlug::harness {

std::string TextOption(const Step& step,
                       const char* key,
                       const char* fallback) {
  const auto it = step.options.find(key);
  return it == step.options.end() ? fallback : it->second;
}

int NumberOption(const Step& step, const char* key, int fallback) {
  const auto it = step.options.find(key);
  return it == step.options.end() ? fallback : std::stoi(it->second);
}

Millis DurationOption(const Step& step, const char* key, Millis fallback) {
  const auto it = step.options.find(key);
  return it == step.options.end() ? fallback
                                  : ParseDuration(it->second).value();
}

bool FlagOption(const Step& step, const char* key, bool fallback) {
  const auto it = step.options.find(key);
  return it == step.options.end() ? fallback : it->second == "yes";
}

}  // namespace shallotlug::harness
