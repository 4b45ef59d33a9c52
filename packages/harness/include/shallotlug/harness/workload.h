#ifndef SHALLOTLUG_HARNESS_WORKLOAD_H_
#define SHALLOTLUG_HARNESS_WORKLOAD_H_

#include <cstdint>
#include <string>

#include "shallotlug/base/clock.h"

namespace shallotlug::harness {

/// @brief What a fake worker does with a task, carried in the task's body.
struct Workload {
  std::string name;  ///< Unique; the oracle recognises the work by it.
  Millis run_time{};
  bool fails = false;
};

std::string ToBody(const Workload& work);
Workload FromBody(const std::string& body);

/// @brief A body with the number of the attempt that it was sent for.
struct StampedBody {
  std::string body;
  std::uint32_t attempt = 0;  ///< 0: not stamped.
};

/// @brief Marks a job's body with its attempt, so that a worker can tell which
/// tasks belong to one gang: task ids do not say so. Replaces an older mark.
std::string Stamp(const std::string& body, std::uint32_t attempt);
StampedBody RemoveStamp(const std::string& body);

/// @brief The only right answer to a body.
std::string AnswerTo(const std::string& body);

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_WORKLOAD_H_
