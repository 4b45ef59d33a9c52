#ifndef SHALLOTLUG_HARNESS_SCENARIO_H_
#define SHALLOTLUG_HARNESS_SCENARIO_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shallotlug/base/findings.h"
#include "shallotlug/harness/process.h"

/// The scenario language; docs/scenarios.md describes it.
namespace shallotlug::harness {

enum class Verb {
  kCluster,
  kWithout,
  // Faults of processes.
  kKill,
  kRestart,
  kDestroy,
  kFreeze,
  kShutdown,
  // Faults of links.
  kCut,
  kSilence,
  kBreak,
  kDelay,
  kLose,
  kReplay,
  kDamageAnswers,
  // Faults of the log service.
  kLogOutage,
  kLogSlow,
  kLogLosesAnswers,
  // Backend servers.
  kLeave,
  kStay,
  kFail,
  kMend,
  kCutAnswers,
  kRestartWorker,
  kCheckpointTime,
  // Callers.
  kMint,
  kSend,
  kRepeat,
  kAsk,
  kResolve,
  kCancelRequest,
  kSubmit,
  kCancelJob,
  kCancelAll,
  kSubmitMany,
  // Operators.
  kSetTarget,
  kRemoveTarget,
  // Time and checks.
  kWait,
  kCalm,
  kSettle,
  kExpectRequest,
  kExpectJob,
  kExpectChange,
  kExpectStarts,
  kExpectBurst,
  kExpectReclaimed,
};

/// @brief One line of a scenario.
struct Step {
  int line = 0;
  std::optional<Millis> at;  ///< After the cluster became ready.
  Verb verb = Verb::kWait;
  ProcessRef a;
  ProcessRef b;
  std::string name;
  std::string word;
  Millis duration{};
  Millis within{};
  int number = 0;
  std::map<std::string, std::string> options;
};

struct Scenario {
  std::string file;
  std::vector<Step> steps;
};

struct ParsedScenario {
  Scenario scenario;
  Findings findings;  ///< All errors, each with its line and column.
};

ParsedScenario ParseScenario(const std::string& file, std::string_view text);

/// @brief The line that parses to this step.
std::string ToString(const Step& step);
std::string ToString(const Scenario& scenario);

/// @brief Parses `300ms`, `2s` or `5min`.
std::optional<Millis> ParseDuration(std::string_view text);
std::string ToString(Millis duration);

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_SCENARIO_H_
