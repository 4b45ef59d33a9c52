#include "shallotlug/stream/config_fold.h"

#include <gtest/gtest.h>

namespace shallotlug::stream {
namespace {

ClassTarget Target(const std::string& name, int finish_ms) {
  ClassTarget target;
  target.name = ClassName(name);
  target.customer = CustomerName("c");
  target.finish_within = Millis(finish_ms);
  return target;
}

LogRecord Change(std::uint64_t offset,
                 const std::string& id,
                 const std::string& name,
                 std::uint64_t base,
                 int finish_ms = 1000) {
  return {offset, id,
          Format(TargetChangeRecord{id, Target(name, finish_ms), base, false})};
}

LogReadResult Read(std::uint64_t start, std::vector<LogRecord> records) {
  const std::uint64_t end = records.empty() ? start : records.back().offset + 1;
  return {kConfigStream, true, start, end, std::move(records)};
}

int FinishMs(const ConfigFold& fold, const std::string& name) {
  const VersionedTarget* it = FindTarget(Current(fold), ClassName(name));
  return it == nullptr ? -1
                       : static_cast<int>(it->target.finish_within.count());
}

// Guards against a number outside the range of double that is read as infinity
// or NaN and makes the next snapshot unreadable.
TEST(ConfigRecordTest, RefusesNumbersThatAreNotFinite) {
  const std::string valid =
      Format(TargetChangeRecord{"a", Target("x", 1000), 0, false});
  const std::string key = R"("objective":)";
  const std::size_t from = valid.find(key) + key.size();
  const std::size_t length = valid.find(',', from) - from;
  for (const std::string number : {"0e999", "1e999", "-1e999"}) {
    std::string damaged = valid;
    damaged.replace(from, length, number);
    EXPECT_EQ(ParseConfigRecord(damaged), ConfigRecord(ParseFault::kMalformed))
        << number;
  }
}

// Guards against two operators' changes of one version both being accepted.
TEST(ConfigFoldTest, FirstChangeInOffsetOrderWins) {
  ConfigFold fold;
  Apply(fold, Read(0, {Change(0, "a", "x", 0, 100), Change(1, "b", "x", 0, 200),
                       Change(2, "c", "x", 1, 300)}));
  EXPECT_TRUE(fold.changes.at("a").accepted);
  EXPECT_FALSE(fold.changes.at("b").accepted);
  EXPECT_EQ(fold.changes.at("b").version, 1U);
  EXPECT_EQ(FinishMs(fold, "x"), 300);
  EXPECT_EQ(Current(fold).revision, 3U);
  EXPECT_EQ(fold.history.at(ClassName("x")).size(), 3U);
}

// Guards against a lost append that is repeated being judged a second time.
TEST(ConfigFoldTest, RepeatedChangeKeepsItsVerdict) {
  ConfigFold fold;
  Apply(fold, Read(0, {Change(0, "a", "x", 0), Change(1, "a", "x", 0)}));
  EXPECT_TRUE(fold.changes.at("a").accepted);
  EXPECT_EQ(Current(fold).revision, 1U);
}

// Guards against an accepted change being undone by a snapshot that its writer
// made earlier and that was appended late.
TEST(ConfigFoldTest, LateOldSnapshotIsIgnored) {
  ConfigFold fold;
  Apply(fold, Read(0, {Change(0, "a", "x", 0, 100)}));
  const std::string old = Format(MakeSnapshot(fold));
  Apply(fold, Read(0, {Change(1, "b", "x", 1, 200), {2, "s", old}}));
  EXPECT_EQ(FinishMs(fold, "x"), 200);
  EXPECT_EQ(Current(fold).revision, 2U);
}

// Guards against a start from the middle of the stream: changes are applied
// only on top of a snapshot, and none between its making and its append is
// lost.
TEST(ConfigFoldTest, DroppedStartWaitsForSnapshot) {
  ConfigFold writer;
  Apply(writer, Read(0, {Change(0, "a", "x", 0, 100), Change(1, "b", "y", 0)}));
  const std::string snapshot = Format(MakeSnapshot(writer));
  ConfigFold fold;
  Apply(fold, Read(2, {Change(2, "c", "x", 1, 300)}));
  EXPECT_FALSE(fold.complete);
  EXPECT_EQ(FinishMs(fold, "x"), -1);
  Apply(fold, Read(2, {{3, "s", snapshot}, Change(4, "d", "y", 2, 400)}));
  EXPECT_TRUE(fold.complete);
  EXPECT_EQ(FinishMs(fold, "x"), 300);
  EXPECT_EQ(FinishMs(fold, "y"), 400);
}

// Guards against records of a newer version, or damaged ones, stopping the
// fold.
TEST(ConfigFoldTest, UnknownAndMalformedRecordsAreSkippedAndCounted) {
  ConfigFold fold;
  Apply(fold, Read(0, {{0, "a", R"({"v":2,"kind":"change"})"},
                       {1, "b", "{nonsense"},
                       {2, "c", R"({"v":1,"kind":"change","change_id":"c"})"},
                       Change(3, "d", "x", 0, 100)}));
  EXPECT_EQ(fold.unknown_kinds, 1);
  EXPECT_EQ(fold.malformed, 2);
  EXPECT_EQ(FinishMs(fold, "x"), 100);
}

// Guards against an agent's configuration going back, and against a log that
// returns with older records reverting it.
TEST(ConfigFoldTest, NewerConfigurationOfAnAgentStaysInForce) {
  ConfigFold log;
  Apply(log,
        Read(0, {Change(0, "a", "x", 0, 100), Change(1, "b", "x", 1, 200)}));
  ConfigFold fold;
  EXPECT_TRUE(Adopt(fold, MakeConfigUpdate(Current(log), 0)));
  EXPECT_FALSE(Adopt(fold, MakeConfigUpdate(Current(log), 0)));
  EXPECT_EQ(FinishMs(fold, "x"), 200);
  Apply(fold, Read(0, {Change(0, "a", "x", 0, 100)}));
  EXPECT_EQ(FinishMs(fold, "x"), 200);
  Apply(fold,
        Read(0, {Change(1, "b", "x", 1, 200), Change(2, "c", "x", 2, 300)}));
  EXPECT_EQ(FinishMs(fold, "x"), 300);
}

// Guards against a delta that leaves out a change or undoes a removal.
TEST(ConfigFoldTest, DeltaBringsACopyUpToDate) {
  ConfigFold fold;
  Apply(fold, Read(0, {Change(0, "a", "x", 0, 100), Change(1, "b", "y", 0)}));
  Targets copy;
  ASSERT_TRUE(ApplyConfigUpdate(copy, MakeConfigUpdate(Current(fold), 0)));
  Apply(fold,
        Read(0, {{2, "c",
                  Format(TargetChangeRecord{"c", Target("y", 1), 2, true})}}));
  const ConfigUpdate delta = MakeConfigUpdate(Current(fold), 2);
  EXPECT_EQ(delta.entries.size(), 1U);
  ASSERT_TRUE(ApplyConfigUpdate(copy, delta));
  EXPECT_EQ(copy, Current(fold));
  EXPECT_EQ(FindTarget(copy, ClassName("y")), nullptr);
}

}  // namespace
}  // namespace shallotlug::stream
