#include "shallotlug/settings/settings.h"

#include <gtest/gtest.h>

namespace shallotlug::settings {
namespace {

constexpr std::string_view kAgent = R"({
  "name": "agent-1",
  "data_centre": "bergen",
  "rack": "r1",
  "peers_listen": "127.0.0.1:7101",
  "metrics_listen": "127.0.0.1:7102",
  "backend_server": "127.0.0.1:7103",
  "entry_seeds": ["[::1]:7001"],
  "shared_key": "0123456789abcdef",
  "log": {"level": "warning", "format": "json"}
})";

// Guards against defaults that differ from the documented ones.
TEST(AgentSettingsTest, ParsesValidSettings) {
  const auto parsed = ParseAgentSettings(kAgent, "a.json");
  ASSERT_TRUE(std::holds_alternative<AgentSettings>(parsed))
      << ToString(std::get<Findings>(parsed));
  const auto& agent = std::get<AgentSettings>(parsed);
  EXPECT_EQ(agent.accelerators, 8);
  EXPECT_EQ(agent.connections, 64);
  EXPECT_EQ(agent.log.level, LogLevel::kWarning);
  EXPECT_EQ(agent.log.format, LogFormat::kJson);
}

// Guards against starting with defaults when the file is invalid: every error
// is reported with its line and path, also in nested objects.
TEST(EntrySettingsTest, ReportsEveryError) {
  const auto parsed = ParseEntrySettings(
      "{\n"
      "\"name\": \"entry 1\",\n"
      "\"data_centre\": \"bergen\",\n"
      "\"callers_listen\": \"localhost:80\",\n"
      "\"operators_listen\": \"127.0.0.1:0\",\n"
      "\"peers_listen\": \"127.0.0.1:70000\",\n"
      "\"metrics_listen\": \"1.2.3:80\",\n"
      "\"log_service\": \"127.0.0.1:7000\",\n"
      "\"operator_token\": \"short\",\n"
      "\"shared_key\": \"0123456789abcdef\",\n"
      "\"http\": {\n"
      "  \"body_byte\": 5}\n"
      "}\n",
      "e.json");
  ASSERT_TRUE(std::holds_alternative<Findings>(parsed));
  std::vector<std::pair<int, std::string>> places;
  for (const Finding& it : std::get<Findings>(parsed)) {
    places.emplace_back(it.line, it.path);
  }
  EXPECT_EQ(places, (std::vector<std::pair<int, std::string>>{
                        {2, "/name"},
                        {4, "/callers_listen"},
                        {5, "/operators_listen"},
                        {6, "/peers_listen"},
                        {7, "/metrics_listen"},
                        {9, "/operator_token"},
                        {12, "/http/body_byte"}}));
}

// Guards against treating a missing file as an empty one.
TEST(EntrySettingsTest, ReportsUnreadableFile) {
  const auto loaded = LoadEntrySettings("/nonexistent/e.json");
  ASSERT_TRUE(std::holds_alternative<Findings>(loaded));
  EXPECT_EQ(std::get<Findings>(loaded).front().message, "cannot be read");
}

}  // namespace
}  // namespace shallotlug::settings
