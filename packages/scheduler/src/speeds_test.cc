#include "speeds.h"

#include <cmath>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace shallotlug::scheduler {
namespace {

constexpr double kSlow = 1.7;
constexpr double kFast = 0.7;
constexpr Millis kEstimate{10'000};

AgentName Agent(int n) {
  return AgentName("a" + std::to_string(n));
}

// A fleet of which each third worker is slow.
class SpeedsTest : public testing::Test {
 protected:
  static double FactorOf(int worker) { return worker % 3 == 2 ? kSlow : kFast; }

  // Tasks of one step, a task on each of the workers, after half of their work.
  // `length` is the true length of the work against its estimate.
  void Measure(const std::vector<int>& workers,
               double length,
               double task_spread = 0) {
    const JobId job("j" + std::to_string(jobs++));
    std::uniform_real_distribution<double> spread(1 - task_spread,
                                                  1 + task_spread);
    int index = 0;
    for (const int it : workers) {
      const double ms = static_cast<double>(kEstimate.count()) * length *
                        spread(random) * factor(it) / 2;
      NoteProgress(table, {{job, 0, 0, index++}, 1}, Agent(it), kEstimate,
                   {50, Millis(static_cast<std::int64_t>(ms))});
    }
    now += Millis(500);
    UpdateSpeeds(table, now);
    DropOccurrence(table, job, 0);
  }

  double Learnt(int worker) const {
    return std::exp(LogFactor(table, Agent(worker), now));
  }

  SpeedTable table;
  TimePoint now{Millis(100'000)};
  std::function<double(int)> factor = FactorOf;
  std::mt19937 random{7};
  int jobs = 0;
};

// Guards against estimates that are taken for the speed of the workers: they
// are wrong by up to 0.9 of their size.
TEST_F(SpeedsTest, TellsWorkersApartWhateverTheEstimate) {
  for (const double length : {0.55, 1.0, 1.9}) {
    table = {};
    Measure({0, 1, 2, 3, 4, 5}, length);
    EXPECT_GT(Learnt(2) / Learnt(0), 1.7) << length;
    EXPECT_GT(SpeedClass(LogFactor(table, Agent(5), now)),
              SpeedClass(LogFactor(table, Agent(4), now)))
        << length;
  }
}

// Guards against choices by nothing: a worker without evidence is a usual one.
TEST_F(SpeedsTest, TakesAnUnknownWorkerForAUsualOne) {
  EXPECT_EQ(LogFactor(table, Agent(0), now), 0);
  EXPECT_EQ(NoteOf(table, Agent(0)).weight, 0);
}

// Guards against workers that are told apart where they are alike, because the
// tasks of a step differ.
TEST_F(SpeedsTest, TakesLikeWorkersForAlikeAlthoughTasksDiffer) {
  factor = [](int) { return 1.0; };
  for (int n = 0; n < 12; ++n) {
    Measure({0, 1, 2, 3, 4, 5}, 1.4, 0.3);
  }
  for (int n = 0; n < 6; ++n) {
    EXPECT_NEAR(std::log(Learnt(n)), 0, 0.15) << n;
  }
}

// The error of the learnt factors after each step of four tasks that differ by
// 30 %, with estimates off by up to 0.9, on a fleet of 12.
TEST_F(SpeedsTest, LearnsAThirdOfSlowWorkersFromAFewSteps) {
  std::uniform_real_distribution<double> length(0.55, 1.9);
  std::uniform_int_distribution<int> first(0, 11);
  for (int n = 0; n < 30; ++n) {
    const int at = first(random);
    Measure({at, (at + 1) % 12, (at + 5) % 12, (at + 6) % 12}, length(random),
            0.3);
  }
  for (int slow = 2; slow < 12; slow += 3) {
    for (int fast = 0; fast < 12; fast += 3) {
      EXPECT_GT(Learnt(slow), 1.5 * Learnt(fast)) << slow << " " << fast;
    }
  }
}

// Guards against a belief that outlives what it is about: a new life of a
// worker may be another machine.
TEST_F(SpeedsTest, ForgetsAWorkerWithItsLife) {
  NoteLife(table, Agent(2), {"w", 1}, {});
  Measure({0, 1, 2}, 1);
  ASSERT_GT(Learnt(2), 1.1);
  NoteLife(table, Agent(2), {"w", 1}, {});
  EXPECT_GT(Learnt(2), 1.1);
  NoteLife(table, Agent(2), {"w", 2}, {});
  EXPECT_EQ(Learnt(2), 1);
}

// Guards against rates of a former life that are counted for the next one.
TEST_F(SpeedsTest, DropsTheRatesOfAFormerLife) {
  NoteLife(table, Agent(0), {"w0", 1}, {});
  NoteLife(table, Agent(2), {"w2", 1}, {});
  const JobId job("j");
  NoteProgress(table, {{job, 0, 0, 0}, 1}, Agent(0), kEstimate,
               {50, Millis(3'500)});
  NoteProgress(table, {{job, 0, 0, 1}, 1}, Agent(2), kEstimate,
               {50, Millis(8'500)});
  NoteLife(table, Agent(2), {"w2", 2}, {});
  UpdateSpeeds(table, now);
  EXPECT_EQ(table.workers.at(Agent(2)).weight, 0);
}

// Guards against a successor that begins from nothing, and against a note that
// replaces what is measured.
TEST_F(SpeedsTest, AdoptsWhatAnEarlierSchedulerNoted) {
  NoteLife(table, Agent(0), {"w", 1}, {0.5, 40});
  EXPECT_GT(Learnt(0), 1.5);
  NoteLife(table, Agent(0), {"w", 1}, {-0.5, 40});
  EXPECT_GT(Learnt(0), 1.5);
}

// Guards against a belief that is drawn towards a usual worker with each change
// of the scheduler.
TEST_F(SpeedsTest, KeepsItsBeliefOverChangesOfTheScheduler) {
  Measure({0, 1, 2}, 1);
  const double learnt = Learnt(2);
  for (int n = 0; n < 3; ++n) {
    const Belief note = NoteOf(table, Agent(2));
    table = {};
    NoteLife(table, Agent(2), {"w", 1}, {note.mean, note.weight});
  }
  EXPECT_NEAR(Learnt(2), learnt, 1e-9);
}

// Guards against a new process of an agent that has the scheduler forget what
// it knows of the worker.
TEST_F(SpeedsTest, KeepsItsBeliefWhileTheAgentKnowsNoWorker) {
  NoteLife(table, Agent(2), {"w", 1}, {});
  Measure({0, 1, 2}, 1);
  const double learnt = Learnt(2);
  NoteLife(table, Agent(2), {}, {});
  NoteLife(table, Agent(2), {"w", 1}, {});
  EXPECT_EQ(Learnt(2), learnt);
}

// Guards against a slowdown of seconds that is taken for the worker's speed.
TEST_F(SpeedsTest, ForgetsASlowdownThatIsNotNotedAgain) {
  const TimePoint until = now + Millis(3'000);
  NoteSlowdown(table, Agent(0), std::log(5), until);
  EXPECT_NEAR(Learnt(0), 5, 0.1);
  EndSlowdown(table, Agent(0));
  EXPECT_EQ(Learnt(0), 1);
  NoteSlowdown(table, Agent(0), std::log(5), until);
  now += Millis(4'000);
  EXPECT_EQ(Learnt(0), 1);
}

// Guards against a belief that is never given up.
TEST_F(SpeedsTest, LearnsALastingChange) {
  for (int n = 0; n < 10; ++n) {
    Measure({0, 1, 2, 3}, 1);
  }
  ASSERT_GT(Learnt(2), 1.3);
  factor = [](int) { return kFast; };
  for (int n = 0; n < 10; ++n) {
    Measure({0, 1, 2, 3}, 1);
  }
  EXPECT_NEAR(std::log(Learnt(2) / Learnt(0)), 0, 0.2);
}

}  // namespace
}  // namespace shallotlug::scheduler
