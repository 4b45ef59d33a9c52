#include "shallotlug/protocol/request_id.h"

#include <gtest/gtest.h>

namespace shallotlug {
namespace {

// Guards against two spellings of one id, which would run a request twice.
TEST(RequestIdTest, HasOneSpelling) {
  RequestId id;
  id.agent = {AgentName("agent.1"), Incarnation{0xabc}};
  id.expires = PeerTime(Millis(4096));
  id.random = {1, 0xfedcba9876543210};
  const std::string text = ToString(id);
  EXPECT_EQ(text, "r1.abc.1000.0000000000000001fedcba9876543210.agent.1");
  EXPECT_EQ(ParseRequestId(text), id);
  for (const char* bad :
       {"", "r1.", "r2.abc.1000.0000000000000001fedcba9876543210.a",
        "r1.ABC.1000.0000000000000001fedcba9876543210.a",
        "r1.0abc.1000.0000000000000001fedcba9876543210.a",
        "r1.abc.1000.1fedcba9876543210.a",
        "r1.abc.1000.0000000000000001fedcba9876543210."}) {
    EXPECT_EQ(ParseRequestId(bad), std::nullopt) << bad;
  }
}

}  // namespace
}  // namespace shallotlug
