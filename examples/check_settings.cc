// Reports every fault of a settings text with its line.
#include <iostream>

#include "shallotlug/settings/settings.h"

int main() {
  const auto parsed = shallotlug::settings::ParseAgentSettings(
      "{\n  \"name\": \"agent-1\",\n  \"slotz\": 8\n}\n", "agent.json");
  std::cout << ToString(std::get<shallotlug::Findings>(parsed));
}
