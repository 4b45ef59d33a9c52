#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

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

// Each file says in its first lines which failure it guards against.
class ScenarioTest : public testing::Test {
 public:
  explicit ScenarioTest(std::string name) : name_(std::move(name)) {}

  void TestBody() override {
    const std::string file = "scenarios/" + name_ + ".scenario";
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

 private:
  std::string name_;
};

// Registered by hand, because ctest appends the value of a parameter to the
// name of a test, and KNOWN-RED.txt needs plain names.
[[maybe_unused]] const bool registered = [] {
  for (const std::string& name : ScenarioFiles()) {
    testing::RegisterTest(
        "ScenarioTest", name.c_str(), nullptr, nullptr, __FILE__, __LINE__,
        [name]() -> testing::Test* { return new ScenarioTest(name); });
  }
  return true;
}();

}  // namespace
}  // namespace shallotlug::harness
