#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include "shallotlug/harness/runner.h"

namespace shallotlug::harness {
namespace {

std::vector<std::string> ScenarioFiles() {
  std::vector<std::string> files;
  for (const auto& it : std::filesystem::directory_iterator(
           SHALLOTLUG_SOURCE_DIR "/scenarios")) {
    if (it.path().extension() == ".scenario") {
      files.push_back(it.path().stem().string());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

class ScenariosTest : public testing::TestWithParam<std::string> {};

// Each file says in its first lines which failure it guards against.
TEST_P(ScenariosTest, KeepsEveryPromise) {
  const std::string file = "scenarios/" + GetParam() + ".scenario";
  std::ifstream in(SHALLOTLUG_SOURCE_DIR "/" + file);
  std::stringstream text;
  text << in.rdbuf();
  const ParsedScenario parsed = ParseScenario(file, text.str());
  ASSERT_TRUE(parsed.findings.empty()) << ToString(parsed.findings);
  // SHALLOTLUG_TRACE=1 prints what every process did.
  const RunReport report = RunScenario(
      parsed.scenario,
      std::getenv("SHALLOTLUG_TRACE") != nullptr ? &std::cerr : nullptr);
  EXPECT_TRUE(report.violations.empty()) << report.ToString();
}

INSTANTIATE_TEST_SUITE_P(Files,
                         ScenariosTest,
                         testing::ValuesIn(ScenarioFiles()),
                         [](const auto& it) { return it.param; });

}  // namespace
}  // namespace shallotlug::harness
