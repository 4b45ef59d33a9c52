#ifndef SHALLOTLUG_HARNESS_RUNNER_H_
#define SHALLOTLUG_HARNESS_RUNNER_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "shallotlug/harness/oracle.h"
#include "shallotlug/harness/scenario.h"

namespace shallotlug::harness {

struct RunReport {
  std::vector<Violation> violations;
  Millis simulated{};
  std::uint64_t appends = 0;  ///< Records on the log.

  bool Broke(Promise promise) const;
  std::string ToString() const;
};

/// @brief Runs a scenario from the start of its cluster. After the last step
/// all faults end, and every job and caller must get a final state.
/// @param trace receives what every process did; may be null.
RunReport RunScenario(const Scenario& scenario, std::ostream* trace = nullptr);

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_RUNNER_H_
