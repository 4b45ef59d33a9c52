#include "shallotlug/settings/job_settings.h"

#include <gtest/gtest.h>

namespace shallotlug::settings {
namespace {

TEST(JobEntrySettingsTest, ParsesRenderedTemplate) {
  const auto parsed = ParseJobEntrySettings(R"({
    "name": "frontend-bergen-a-1", "data_centre": "bergen-a",
    "callers_listen": "10.1.0.19:8521", "readiness_listen": "10.1.0.19:8523",
    "peers_listen": "10.1.0.19:7000",
    "metrics_listen": "10.1.0.19:7001", "store": "10.200.1.7:8524",
    "store_record_bytes": 131072, "store_request_bytes": 1048576,
    "http": { "body_bytes": 1048576, "connections": 2048 },
    "timing": { "longest_lease_ms": 6000, "stop_timeout_ms": 900,
                "reclaim_ms": 3400, "state_retention_s": 120 },
    "scheduling": { "learn_speeds": true, "weigh_lateness": true,
                    "remote_factor": 2.5 },
    "log": { "format": "json" } })",
                                            "entry.json");
  ASSERT_TRUE(std::holds_alternative<JobEntrySettings>(parsed))
      << ToString(std::get<Findings>(parsed));
  const auto& entry = std::get<JobEntrySettings>(parsed);
  EXPECT_EQ(entry.timing.longest_lease, Millis(6'000));
  EXPECT_EQ(entry.timing.stop_timeout, Millis(900));
  EXPECT_EQ(entry.timing.state_retention_s, 120.0);
  EXPECT_TRUE(entry.scheduling.learn_speeds);
  EXPECT_TRUE(entry.scheduling.weigh_lateness);
  EXPECT_EQ(entry.scheduling.remote_factor, 2.5);
  EXPECT_EQ(entry.store_limits.record_bytes, 131'072);
  EXPECT_EQ(entry.store_limits.request_bytes, 1'048'576);
}

TEST(JobAgentSettingsTest, ParsesRenderedTemplate) {
  const auto parsed = ParseJobAgentSettings(R"({
    "name": "side-bergen-a-1", "data_centre": "bergen-a",
    "heartbeats_listen": "10.1.0.20:8526", "scheduler_listen": "10.1.0.20:7000",
    "metrics_listen": "10.1.0.20:7001", "worker": "10.1.0.20:8529",
    "store": "10.200.1.7:8524", "timing": { "longest_lease_ms": 6000 },
    "log": { "format": "json" } })",
                                            "agent.json");
  ASSERT_TRUE(std::holds_alternative<JobAgentSettings>(parsed))
      << ToString(std::get<Findings>(parsed));
  EXPECT_EQ(std::get<JobAgentSettings>(parsed).longest_lease, Millis(6'000));
}

// Guards against starting with defaults when the file is invalid.
TEST(JobEntrySettingsTest, ReportsEveryError) {
  const auto parsed = ParseJobEntrySettings(
      R"({"name": "a b", "store": "host:1", "timing": {"reclaim_ms": "x"},
          "store_record_bytes": 200000, "store_request_bytes": 100000,
          "unknown": 1})",
      "entry.json");
  ASSERT_TRUE(std::holds_alternative<Findings>(parsed));
  const std::string text = ToString(std::get<Findings>(parsed));
  for (const char* part :
       {"/name", "/store", "/timing/reclaim_ms", "/store_request_bytes",
        "data_centre", "callers_listen", "readiness_listen", "peers_listen",
        "metrics_listen", "unknown"}) {
    EXPECT_NE(text.find(part), std::string::npos) << part << "\n" << text;
  }
}

TEST(JobEntrySettingsTest, ReportsUnreadableFile) {
  const auto parsed = LoadJobEntrySettings("/nonexistent/entry.json");
  ASSERT_TRUE(std::holds_alternative<Findings>(parsed));
}

}  // namespace
}  // namespace shallotlug::settings
