#include "guard_switches.h"

#include <utility>

namespace shallotlug::harness {

void DisableGuard(const std::string& guard, WorldOptions& options) {
  agent::Options::Guards& agent = options.agent_guards;
  entry::Options::Guards& entry = options.entry_guards;
  const std::pair<const char*, bool*> guards[] = {
      {"agent.remember_requests", &agent.remember_requests},
      {"agent.check_incarnation", &agent.check_incarnation},
      {"agent.check_start_before", &agent.check_start_before},
      {"agent.run_until", &agent.run_until},
      {"agent.refuse_when_leaving", &agent.refuse_when_leaving},
      {"agent.drain_on_shutdown", &agent.drain_on_shutdown},
      {"agent.monotonic_config", &agent.monotonic_config},
      {"agent.check_pause", &agent.check_pause},
      {"entry.not_run_needs_proof", &entry.not_run_needs_proof},
      {"entry.match_answers", &entry.match_answers},
      {"entry.check_answer_length", &entry.check_answer_length},
      {"entry.never_retry_unrepeatable", &entry.never_retry_unrepeatable},
      {"entry.claim_before_start", &entry.claim_before_start},
      {"entry.drain_on_shutdown", &entry.drain_on_shutdown},
      {"entry.monotonic_config", &entry.monotonic_config},
      {"entry.warm_up", &entry.warm_up},
      {"entry.keep_guarantees", &entry.keep_guarantees},
  };
  for (const auto& [name, value] : guards) {
    if (guard == name) {
      *value = false;
    }
  }
}

}  // namespace shallotlug::harness
