#include "placement.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace shallotlug::scheduler {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

Candidate MakeCandidate(const std::string& agent,
                        const std::string& rack,
                        std::int64_t free) {
  return {AgentName(agent), rack, {8'000, 8'000, 8}, {8'000, 8'000, free}, 100};
}

Demand MakeDemand(int count, std::int64_t accelerators) {
  Demand demand;
  demand.count = count;
  demand.need = {1'000, 1'000, accelerators};
  return demand;
}

TEST(PlacementTest, FillsTheFullestWorkerFirst) {
  const std::vector<Candidate> all = {MakeCandidate("a", "r1", 8),
                                      MakeCandidate("b", "r1", 3)};
  EXPECT_THAT(FitInto(all, MakeDemand(3, 1)),
              ElementsAre(AgentName("b"), AgentName("b"), AgentName("b")));
}

TEST(PlacementTest, PlacesNoneWhenNotAllFit) {
  const std::vector<Candidate> all = {MakeCandidate("a", "r1", 3)};
  EXPECT_THAT(FitInto(all, MakeDemand(2, 2)), IsEmpty());
}

TEST(PlacementTest, RespectsTheLimitOfEachWorker) {
  std::vector<Candidate> all = {MakeCandidate("a", "r1", 8),
                                MakeCandidate("b", "r1", 8)};
  all[0].limit = 1;
  all[1].limit = 1;
  EXPECT_THAT(FitInto(all, MakeDemand(2, 1)),
              ElementsAre(AgentName("a"), AgentName("b")));
  EXPECT_THAT(FitInto(all, MakeDemand(3, 1)), IsEmpty());
}

TEST(PlacementTest, PrefersTheRackOfTheData) {
  const std::vector<Candidate> all = {MakeCandidate("a", "r1", 1),
                                      MakeCandidate("b", "r2", 8)};
  Demand demand = MakeDemand(1, 1);
  demand.data_rack = "r2";
  EXPECT_THAT(FitInto(all, demand), ElementsAre(AgentName("b")));
}

TEST(PlacementTest, AvoidsTheRackWithMostFreeCapacity) {
  const std::vector<Candidate> all = {MakeCandidate("a", "r1", 8),
                                      MakeCandidate("b", "r1", 8),
                                      MakeCandidate("c", "r2", 8)};
  EXPECT_THAT(FitIntoRack(all, MakeDemand(2, 4)),
              ElementsAre(AgentName("c"), AgentName("c")));
}

TEST(PlacementTest, DetectsDemandThatNoRackCanHold) {
  const std::vector<Candidate> all = {MakeCandidate("a", "r1", 0),
                                      MakeCandidate("b", "r2", 8)};
  EXPECT_TRUE(AnyRackCanHold(all, MakeDemand(2, 4)));
  EXPECT_FALSE(AnyRackCanHold(all, MakeDemand(3, 4)));
}

}  // namespace
}  // namespace shallotlug::scheduler
