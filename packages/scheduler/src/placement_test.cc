#include "placement.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace shallotlug::scheduler {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

Candidate MakeCandidate(int worker, int rack, std::int64_t free) {
  return {worker, rack, {8'000, 8'000, 8}, {8'000, 8'000, free}, 100};
}

Demand MakeDemand(int count, std::int64_t accelerators) {
  Demand demand;
  demand.count = count;
  demand.need = {1'000, 1'000, accelerators};
  return demand;
}

TEST(PlacementTest, FillsTheFullestWorkerFirst) {
  const std::vector<Candidate> all = {MakeCandidate(0, 1, 8),
                                      MakeCandidate(1, 1, 3)};
  EXPECT_THAT(FitInto(all, MakeDemand(3, 1)), ElementsAre(1, 1, 1));
}

TEST(PlacementTest, PlacesNoneWhenNotAllFit) {
  const std::vector<Candidate> all = {MakeCandidate(0, 1, 3)};
  EXPECT_THAT(FitInto(all, MakeDemand(2, 2)), IsEmpty());
}

TEST(PlacementTest, RespectsTheLimitOfEachWorker) {
  std::vector<Candidate> all = {MakeCandidate(0, 1, 8), MakeCandidate(1, 1, 8)};
  all[0].limit = 1;
  all[1].limit = 1;
  EXPECT_THAT(FitInto(all, MakeDemand(2, 1)), ElementsAre(0, 1));
  EXPECT_THAT(FitInto(all, MakeDemand(3, 1)), IsEmpty());
}

// Guards against a start on a worker whose capacity has shrunk below its use,
// by a task that needs nothing of the resource that it lacks.
TEST(PlacementTest, PlacesNothingOnAnOverfullWorker) {
  const std::vector<Candidate> all = {MakeCandidate(0, 1, -2)};
  EXPECT_EQ(Slots(all[0].free, {1'000, 1'000, 0}, 8), 0);
  EXPECT_THAT(FitInto(all, MakeDemand(1, 0)), IsEmpty());
}

TEST(PlacementTest, PrefersTheRackOfTheData) {
  const std::vector<Candidate> all = {MakeCandidate(0, 1, 1),
                                      MakeCandidate(1, 2, 8)};
  Demand demand = MakeDemand(1, 1);
  demand.data_rack = 2;
  EXPECT_THAT(FitInto(all, demand), ElementsAre(1));
}

TEST(PlacementTest, AvoidsTheRackWithMostFreeCapacity) {
  const std::vector<Candidate> all = {
      MakeCandidate(0, 1, 8), MakeCandidate(1, 1, 8), MakeCandidate(2, 2, 8)};
  EXPECT_THAT(FitIntoRack(all, MakeDemand(2, 4)), ElementsAre(2, 2));
}

TEST(PlacementTest, DetectsDemandThatNoRackCanHold) {
  const std::vector<Candidate> all = {MakeCandidate(0, 1, 0),
                                      MakeCandidate(1, 2, 8)};
  EXPECT_TRUE(AnyRackCanHold(all, MakeDemand(2, 4)));
  EXPECT_FALSE(AnyRackCanHold(all, MakeDemand(3, 4)));
}

}  // namespace
}  // namespace shallotlug::scheduler
