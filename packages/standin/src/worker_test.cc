#include "shallotlug/standin/worker.h"

#include <gtest/gtest.h>

namespace shallotlug::standin {
namespace {

constexpr TimePoint kStart{Millis(1'000'000)};

WorkerStart Task(const std::string& id, AcceleratorMask mask, int run_ms) {
  return {id,
          false,
          mask,
          kStart + Millis(10'000),
          "{\"run_ms\":" + std::to_string(run_ms) + "}",
          ""};
}

std::string KindOf(const Worker& worker, const std::string& task) {
  for (const WorkerEvent& it : worker.EventsAfter(0)) {
    if (it.task == task) {
      return it.kind;
    }
  }
  return "";
}

class WorkerTest : public testing::Test {
 protected:
  StartOutcome Start(const WorkerStart& start) {
    reason.clear();
    return worker.Start(start, reason);
  }

  Worker worker{WorkerOptions(), kStart};
  std::string reason;
};

// Guards against evidence that misses a mix-up of bodies.
TEST_F(WorkerTest, AnswersWithTheDigestOfItsBody) {
  EXPECT_EQ(Start(Task("a", 1, 100)), StartOutcome::kStarted);
  worker.Advance(kStart + Millis(99));
  EXPECT_EQ(KindOf(worker, "a"), "");
  worker.Advance(kStart + Millis(100));
  ASSERT_EQ(worker.EventsAfter(0).size(), 1U);
  EXPECT_NE(worker.EventsAfter(0)[0].answer.find(DigestOf("{\"run_ms\":100}")),
            std::string::npos);
}

// Guards against a stand-in that hides a double start from the tests.
TEST_F(WorkerTest, StartsAnIdOnce) {
  Start(Task("a", 1, 10));
  worker.Advance(kStart + Millis(10));
  EXPECT_EQ(Start(Task("a", 1, 10)), StartOutcome::kKnown);
  EXPECT_TRUE(worker.Tasks().empty());
}

// Guards against two tasks on one accelerator, except where one yields.
TEST_F(WorkerTest, RefusesAcceleratorsInUse) {
  Start(Task("a", 3, 1000));
  EXPECT_EQ(Start(Task("b", 2, 10)), StartOutcome::kRejected);
  EXPECT_EQ(reason, "accelerators_in_use");
  EXPECT_EQ(worker.Control("a", "throttle"), "");
  EXPECT_EQ(Start(Task("c", 2, 10)), StartOutcome::kStarted);
  EXPECT_EQ(worker.Control("a", "resume"), "accelerators_in_use");
  worker.Advance(kStart + Millis(10));
  EXPECT_EQ(worker.Control("a", "resume"), "");
}

// Guards against tasks that outlive the lease of a dead agent.
TEST_F(WorkerTest, StopsATaskWhenItsLeaseEnds) {
  Start(Task("a", 1, 100'000));
  EXPECT_TRUE(worker.Renew("a", kStart + Millis(12'000)));
  EXPECT_EQ(worker.NextDue(), kStart + Millis(12'000));
  worker.Advance(kStart + Millis(12'000));
  EXPECT_EQ(KindOf(worker, "a"), "lapsed");
}

// Guards against work that a checkpoint loses.
TEST_F(WorkerTest, ContinuesFromACheckpoint) {
  Start(Task("a", 1, 1000));
  worker.Advance(kStart + Millis(600));
  worker.Control("a", "checkpoint");
  worker.Advance(kStart + Millis(800));
  ASSERT_EQ(KindOf(worker, "a"), "checkpointed");
  WorkerStart next = Task("b", 1, 1000);
  next.checkpoint = worker.EventsAfter(0)[0].answer;
  Start(next);
  worker.Advance(kStart + Millis(1199));
  EXPECT_EQ(KindOf(worker, "b"), "");
  worker.Advance(kStart + Millis(1200));
  EXPECT_EQ(KindOf(worker, "b"), "finished");
}

}  // namespace
}  // namespace shallotlug::standin
