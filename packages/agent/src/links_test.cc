#include <gtest/gtest.h>

#include <algorithm>

#include "state.h"

namespace shallotlug::agent {
namespace {

constexpr const char* kSeed = "127.0.0.1:1";

class LinksTest : public ::testing::Test {
 protected:
  LinksTest() {
    Options options;
    options.self = {AgentName("a"), Incarnation{1}};
    options.entry_seeds = {kSeed};
    state = MakeState(options, now);
  }

  Outbox After(Millis time, const Inbox& inbox = {}) {
    now += time;
    return Step(*state, inbox, now);
  }

  Outbox Up(LinkId link, const std::string& address) {
    Inbox inbox;
    inbox.links_up = {{link, PeerRole::kEntry, address}};
    return After(Millis{1}, inbox);
  }

  Outbox Hello(LinkId link,
               const std::string& entry,
               const std::vector<std::string>& known = {}) {
    Inbox inbox;
    inbox.received = {
        {link, EntryHello{{EntryName(entry), Incarnation{1}}, {}, 0, known}}};
    return After(Millis{1}, inbox);
  }

  Outbox Heartbeat(Millis time, LinkId link) {
    Inbox inbox;
    inbox.received = {{link, EntryHeartbeat{}}};
    return After(time, inbox);
  }

  static bool Dials(const Outbox& out, const std::string& address) {
    return std::any_of(
        out.dials.begin(), out.dials.end(),
        [&](const Dial& dial) { return dial.address == address; });
  }

  TimePoint now{Millis{50'000}};
  StatePtr state;
};

// Guards against an agent that does not report to entries.
TEST_F(LinksTest, IntroducesItselfAndReportsEverySecond) {
  EXPECT_TRUE(Dials(After(Millis{1}), kSeed));
  // A hello before the entry's would replace a working link at the entry.
  EXPECT_TRUE(Up(LinkId{1}, kSeed).sends.empty());
  const Outbox out = Hello(LinkId{1}, "e1");
  ASSERT_GE(out.sends.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<AgentHello>(out.sends[0].message));
  EXPECT_TRUE(std::get<AgentReport>(out.sends[1].message).has_attempts);
  const Outbox later = Heartbeat(Millis{1000}, LinkId{1});
  ASSERT_EQ(later.sends.size(), 1U);
  EXPECT_FALSE(std::get<AgentReport>(later.sends[0].message).has_attempts);
}

// Guards against an agent that never finds an entry that is not a seed.
TEST_F(LinksTest, DialsLearnedEntries) {
  After(Millis{1});
  Up(LinkId{1}, kSeed);
  const Outbox out = Hello(LinkId{1}, "e1", {"127.0.0.1:2"});
  EXPECT_TRUE(Dials(out, "127.0.0.1:2"));
}

// Guards against a balancer that hides new entries during a log outage, and
// against two links to one entry.
TEST_F(LinksTest, RedialsABalancerAndClosesDuplicates) {
  After(Millis{1});
  Up(LinkId{1}, kSeed);
  Hello(LinkId{1}, "e1");
  bool dialled = false;
  for (int i = 0; i < 6; ++i) {
    dialled = Dials(Heartbeat(Millis{1000}, LinkId{1}), kSeed) || dialled;
  }
  EXPECT_TRUE(dialled);
  Up(LinkId{2}, kSeed);
  const Outbox out = Hello(LinkId{2}, "e1");
  ASSERT_EQ(out.closes.size(), 1U);
  EXPECT_EQ(out.closes[0].link, LinkId{2});
  EXPECT_TRUE(out.sends.empty());
}

// Guards against a silent link that is kept, or is preferred to a new one that
// works.
TEST_F(LinksTest, ClosesSilentLinksAndRedials) {
  After(Millis{1});
  Up(LinkId{1}, kSeed);
  Hello(LinkId{1}, "e1", {kSeed});
  After(Millis{1600});
  Up(LinkId{2}, kSeed);
  const Outbox out = Hello(LinkId{2}, "e1", {kSeed});
  ASSERT_EQ(out.closes.size(), 1U);
  EXPECT_EQ(out.closes[0].link, LinkId{1});
  EXPECT_FALSE(Dials(Heartbeat(Millis{1500}, LinkId{2}), kSeed));
  const Outbox silent = After(Millis{3100});
  ASSERT_EQ(silent.closes.size(), 1U);
  EXPECT_EQ(silent.closes[0].reason, "silent");
  EXPECT_TRUE(Dials(silent, kSeed));
}

// Guards against a seed that is dialled again only after the first failure.
TEST_F(LinksTest, RedialsAfterFailures) {
  After(Millis{1});
  for (int i = 0; i < 3; ++i) {
    Inbox inbox;
    inbox.links_down = {{LinkId{}, kSeed}};
    EXPECT_FALSE(Dials(After(Millis{50}, inbox), kSeed));
    // 1 s is enough: a slow redial would keep the agent without any entry.
    EXPECT_TRUE(Dials(After(Millis{1000}), kSeed));
  }
}

}  // namespace
}  // namespace shallotlug::agent
