#include "shallotlug/harness/scenario.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "shallotlug/harness/random.h"

namespace shallotlug::harness {
namespace {

std::vector<std::string> Corpus() {
  std::vector<std::string> texts;
  for (const auto& it : std::filesystem::directory_iterator(
           SHALLOTLUG_SOURCE_DIR "/scenarios")) {
    std::ifstream in(it.path());
    std::stringstream text;
    text << in.rdbuf();
    texts.push_back(text.str());
  }
  return texts;
}

// Guards against an author having to mend a scenario one error at a time.
TEST(ScenarioParserTest, ReportsAllErrorsWithLineAndColumn) {
  const ParsedScenario parsed = ParseScenario("x.scenario",
                                              "cluster entries=2 agents=many\n"
                                              "at 2 kill entry 1\n"
                                              "kill balancer 1\n"
                                              "cut agent 1 from entry\n"
                                              "  dance\n"
                                              "freeze agent 1 for 6s now\n");
  EXPECT_EQ(ToString(parsed.findings),
            "x.scenario:1:19: expected a number after agents\n"
            "x.scenario:2:4: expected a duration such as '300ms', '2s' or "
            "'5min'\n"
            "x.scenario:3:6: expected a process such as 'entry 1' or 'agent "
            "all'\n"
            "x.scenario:4:18: expected a process such as 'entry 1' or 'agent "
            "all'\n"
            "x.scenario:5:3: unknown step; docs/scenarios.md lists the steps\n"
            "x.scenario:6:23: unexpected text\n");
}

// Guards against a long duration that is printed with more seconds than the
// parser reads.
TEST(ScenarioParserTest, PrintsLongDurationsThatParse) {
  for (const char* text : {"999999ms", "1000000s", "16667min", "1000000min"}) {
    const auto duration = ParseDuration(text);
    ASSERT_TRUE(duration) << text;
    EXPECT_EQ(ParseDuration(ToString(*duration)), duration) << text;
  }
}

// Guards against a failing fuzz case that cannot be run again from its print.
TEST(ScenarioParserTest, PrintsWhatItParses) {
  for (const std::string& text : Corpus()) {
    const ParsedScenario parsed = ParseScenario("", text);
    const std::string printed = ToString(parsed.scenario);
    const ParsedScenario again = ParseScenario("", printed);
    EXPECT_TRUE(again.findings.empty()) << ToString(again.findings) << printed;
    EXPECT_EQ(ToString(again.scenario), printed);
  }
}

// Guards against a parser that crashes or hangs on damaged text.
TEST(ScenarioParserTest, SurvivesFlippedBits) {
  Random random(20261204);
  for (const std::string& text : Corpus()) {
    for (int round = 0; round < 20; ++round) {
      std::string damaged = text;
      for (int flip = 0; flip <= random.Below(4); ++flip) {
        const auto at = static_cast<std::size_t>(
            random.Below(static_cast<int>(damaged.size())));
        damaged[at] = static_cast<char>(damaged[at] ^ (1 << random.Below(8)));
      }
      const ParsedScenario parsed = ParseScenario("x", damaged);
      for (const Finding& finding : parsed.findings) {
        EXPECT_GT(finding.line, 0);
        EXPECT_GT(finding.column, 0);
      }
    }
  }
}

}  // namespace
}  // namespace shallotlug::harness
