#include "shallotlug/base/json_node.h"

#include <gtest/gtest.h>

#include "shallotlug/base/object_reader.h"

namespace shallotlug {
namespace {

// Guards against a syntax error without its line.
TEST(ParseJsonTest, ReportsTheLineOfASyntaxError) {
  for (const auto& [text, line] :
       std::vector<std::pair<std::string, int>>{{"{\n  \"a\": 1,\n  ]\n}", 3},
                                                {"", 1},
                                                {"{\n", 1},
                                                {"1 2", 1},
                                                {"{}\n{}", 2}}) {
    const auto parsed = ParseJson(text, "f.json");
    const auto* findings = std::get_if<Findings>(&parsed);
    ASSERT_NE(findings, nullptr) << text;
    ASSERT_EQ(findings->size(), 1U);
    EXPECT_EQ(findings->front().line, line) << text;
  }
}

// Guards against settings that are accepted in part: all faults are reported
// at once, each with its line and path.
TEST(ObjectReaderTest, CollectsAllFaults) {
  const auto parsed = ParseJson(
      "{\n\"name\": 3,\n\"slots\": 99,\n\"colour\": \"red\",\n"
      "\"kind\": \"other\",\n\"slots\": 1}",
      "f.json");
  Findings findings;
  ObjectReader reader(std::get<JsonNode>(parsed), "", "f.json", findings);
  std::string name;
  int slots = 8;
  Millis wait{5};
  reader.Required("name", name);
  reader.Optional("slots", slots, {1, 64});
  reader.Required("wait_ms", wait, Millis(1));
  static constexpr std::string_view kWords[] = {"live", "batch"};
  reader.Word("kind", kWords, true);
  reader.Finish();
  EXPECT_EQ(ToString(findings),
            "f.json:2: /name: must be a string that is not empty\n"
            "f.json:6: /slots: must be a whole number from 1 to 64\n"
            "f.json:1: /wait_ms: is missing\n"
            "f.json:5: /kind: must be one of \"live\", \"batch\"\n"
            "f.json:4: /colour: unknown key\n"
            "f.json:6: /slots: appears more than once\n");
  EXPECT_EQ(slots, 8);
}

}  // namespace
}  // namespace shallotlug
