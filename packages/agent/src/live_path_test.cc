#include <gtest/gtest.h>

#include "shallotlug/agent/agent.h"

namespace shallotlug::agent {
namespace {

// Guards against a live request that never reaches the backend server or whose
// answer never reaches the entry.
TEST(LivePathTest, AnswersARequest) {
  const TimePoint now{Millis{1000}};
  Options options;
  options.self = {AgentName("a1"), Incarnation{7}};
  options.entry_seeds = {"127.0.0.1:1"};
  StatePtr state = MakeState(options, now);
  Outbox out = Step(*state, {}, now);
  ASSERT_EQ(out.dials.size(), 1U);

  Inbox inbox;
  inbox.links_up = {{LinkId{1}, PeerRole::kEntry, "127.0.0.1:1"}};
  inbox.backend_reports = {{PeerTime{Millis{50}}, 1, false, {}, {}}};
  out = Step(*state, inbox, now);
  ASSERT_FALSE(out.sends.empty());
  EXPECT_TRUE(std::holds_alternative<AgentHello>(out.sends[0].message));

  StartRequest start;
  start.id = {options.self, AsPeerTime(now + Millis{60'000}), {1, 2}};
  start.start_before = AsPeerTime(now + Millis{1000});
  start.finish_before = AsPeerTime(now + Millis{2000});
  start.body = "match";
  inbox = {};
  inbox.received = {{LinkId{1}, start}};
  out = Step(*state, inbox, now);
  ASSERT_EQ(out.backend_commands.size(), 1U);
  const auto& command = std::get<StartTask>(out.backend_commands[0]);
  EXPECT_EQ(command.body, "match");
  EXPECT_LE(command.lease_until, PeerTime{Millis{6050}});

  inbox = {};
  inbox.backend_reports = {
      {PeerTime{Millis{60}},
       1,
       false,
       {},
       {{command.task, TaskEventKind::kFinished, "card", 4, ""}}}};
  out = Step(*state, inbox, now + Millis{10});
  ASSERT_FALSE(out.sends.empty());
  const auto& outcome = std::get<RequestOutcome>(out.sends[0].message);
  EXPECT_EQ(outcome.result, RequestResult::kAnswered);
  EXPECT_EQ(outcome.answer, "card");
}

}  // namespace
}  // namespace shallotlug::agent
