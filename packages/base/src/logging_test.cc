#include "shallotlug/base/logging.h"

#include <gtest/gtest.h>

namespace shallotlug {
namespace {

// Guards against a value that forges further fields or lines of the log.
TEST(LoggingTest, QuotesValues) {
  const LogLine line{LogLevel::kWarning,
                     "link_closed",
                     {{"peer", "a b\nx=\"1\""}, {"n", "1"}}};
  EXPECT_EQ(ToText(line), R"(link_closed peer="a b\nx=\"1\"" n=1)");
  EXPECT_EQ(
      ToJson(line),
      R"({"level":"warning","event":"link_closed","peer":"a b\nx=\"1\"","n":"1"})");
}

}  // namespace
}  // namespace shallotlug
