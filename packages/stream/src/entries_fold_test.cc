#include "shallotlug/stream/entries_fold.h"

#include <gtest/gtest.h>

namespace shallotlug::stream {
namespace {

LogReadResult Read(std::uint64_t offset, const EntryAnnouncement& record) {
  return {kEntryStream, true, 0, offset + 1, {{offset, "r", Format(record)}}};
}

// Guards against an entry that died staying responsible for a data centre.
TEST(EntriesFoldTest, AnnouncementLapses) {
  const TimePoint now(Millis(1000));
  EntriesFold fold;
  const EntryAnnouncement e1{{EntryName("e1"), Incarnation{1}},
                             DataCentreName("dc"),
                             "p",
                             "o",
                             Millis(30'000)};
  Apply(fold, Read(0, e1), now, Millis(0));
  Expire(fold, now + Millis(29'999));
  EXPECT_EQ(fold.rows.size(), 1U);
  EXPECT_EQ(fold.rows.at(EntryName("e1")).announcement, e1);
  Expire(fold, now + Millis(30'000));
  EXPECT_TRUE(fold.rows.empty());
}

// Guards against the farewell of an earlier life removing the present one.
TEST(EntriesFoldTest, FarewellOfAnEarlierLifeIsIgnored) {
  const TimePoint now(Millis(1000));
  EntriesFold fold;
  EntryAnnouncement it{{EntryName("e1"), Incarnation{2}},
                       DataCentreName("dc"),
                       "p",
                       "o",
                       Millis(30'000)};
  Apply(fold, Read(0, it), now, Millis(0));
  it.expires_in = Millis(0);
  it.entry.incarnation = Incarnation{1};
  Apply(fold, Read(1, it), now, Millis(0));
  EXPECT_EQ(fold.rows.size(), 1U);
  it.entry.incarnation = Incarnation{2};
  Apply(fold, Read(2, it), now, Millis(0));
  EXPECT_TRUE(fold.rows.empty());
}

// Guards against the loss of one entry moving the duties of the others.
TEST(EntriesFoldTest, RendezvousMovesOnlyTheDutiesOfTheLostEntry) {
  const std::vector<EntryName> all = {EntryName("e1"), EntryName("e2"),
                                      EntryName("e3")};
  const std::vector<EntryName> rest = {EntryName("e1"), EntryName("e3")};
  int moved = 0;
  for (int n = 0; n < 300; ++n) {
    const std::string key = "k" + std::to_string(n);
    const EntryName before = Rendezvous(all, key);
    if (before == EntryName("e2")) {
      ++moved;
    } else {
      EXPECT_EQ(Rendezvous(rest, key), before);
    }
  }
  EXPECT_GT(moved, 50);
  EXPECT_LT(moved, 150);
}

}  // namespace
}  // namespace shallotlug::stream
