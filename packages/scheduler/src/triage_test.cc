#include "triage.h"

#include <map>
#include <string>
#include <utility>

#include <gtest/gtest.h>

#include "test_scheduler.h"

namespace shallotlug::scheduler {
namespace {

constexpr workload::Resources kEight{64'000, 64'000, 8};
constexpr Millis kRound{50};

// Like workers in racks of eight, with too little room for all jobs.
class Room {
 public:
  Room(int workers, bool weigh_lateness) : scheduler({false, weigh_lateness}) {
    scheduler.AddQueue("urgent", 0);
    scheduler.AddQueue("batch", 1);
    for (workload::Queue& it : scheduler.Policy().queues) {
      it.terms.slack_factor = it.name == "urgent" ? 1.5 : 3;
      it.terms.target = Millis(it.name == "urgent" ? 250 : 1'000);
    }
    scheduler.AddCustomer("acme", 0);
    for (int n = 0; n < workers; ++n) {
      scheduler.AddWorker("a" + std::to_string(100 + n),
                          "r" + std::to_string(n / 8), kEight);
    }
    scheduler.Run(2);
  }

  // A gang of whole workers. `late`: for how long its caller has waited.
  void Submit(const std::string& id,
              const std::string& queue,
              int tasks,
              Millis work,
              Millis late = Millis(0)) {
    workload::Job job = scheduler.Job(id, queue, "acme", tasks, 8);
    job.steps[0].gang = true;
    job.steps[0].estimate = work;
    job.accepted_at -= late;
    scheduler.SetWork(id, work);
    const int slack = queue == "urgent" ? 3 : 6;
    due[id] =
        scheduler.Clock().local - late + work * slack / 2 + job.terms.target;
    scheduler.Submit(job);
  }

  bool IsRunning(const std::string& id) const {
    return !scheduler.Running(id).empty();
  }

  void Pass(Millis time) { scheduler.Run(static_cast<int>(time / kRound)); }

  // Jobs of a kind that ended within their objective.
  int InTime(const std::string& kind) const {
    int n = 0;
    for (const auto& [id, at] : due) {
      const auto end = scheduler.EndOf(id);
      n += id.starts_with(kind) && end && *end <= at ? 1 : 0;
    }
    return n;
  }

  TestScheduler scheduler;
  std::map<std::string, TimePoint> due;
};

// Guards against a job that can still be in time and waits for one that is late
// anyway, because that one's objective is earlier.
TEST(TriageTest, PlacesJobsThatCanBeInTimeFirst) {
  for (const bool weigh : {false, true}) {
    Room room(1, weigh);
    room.Submit("late", "urgent", 1, Millis(2'000), Millis(3'000));
    room.Submit("fresh", "urgent", 1, Millis(2'000));
    room.Pass(Millis(200));
    EXPECT_EQ(room.IsRunning("fresh"), weigh);
  }
}

// Guards against late jobs that never run: they have the room that those in
// time leave.
TEST(TriageTest, RunsLateJobsInTheEnd) {
  Room room(1, true);
  room.Submit("late", "urgent", 1, Millis(2'000), Millis(3'000));
  room.Submit("fresh", "urgent", 1, Millis(2'000));
  room.Pass(Millis(5'000));
  EXPECT_TRUE(room.scheduler.EndOf("late"));
}

// Guards against an urgent gang that is late beside batch work which has time
// enough to begin anew, because that has done too much.
TEST(TriageTest, StopsBatchWorkThatCanBeRepeatedInTime) {
  for (const bool weigh : {false, true}) {
    Room room(4, weigh);
    room.Submit("batch", "batch", 4, Millis(10'000));
    // It keeps the reserve free for 2 s.
    room.Pass(Millis(3'000));
    ASSERT_TRUE(room.IsRunning("batch"));
    room.Submit("live", "urgent", 4, Millis(4'000));
    room.Pass(Millis(800));
    EXPECT_EQ(room.IsRunning("live"), weigh);
  }
}

// Guards against batch work whose caller pays for an urgent job: it would miss
// its objective if it had to begin anew.
TEST(TriageTest, LeavesBatchWorkThatWouldBeLate) {
  Room room(4, true);
  room.Submit("batch", "batch", 4, Millis(10'000), Millis(19'500));
  room.Pass(Millis(1'000));
  ASSERT_TRUE(room.IsRunning("batch"));
  room.Submit("live", "urgent", 4, Millis(4'000));
  room.Pass(Millis(800));
  EXPECT_TRUE(room.IsRunning("batch"));
  EXPECT_FALSE(room.IsRunning("live"));
}

// Guards against room that is lost to work done twice: an urgent job may cost
// others a part of what it needs itself.
TEST(TriageTest, LeavesBatchWorkThatHasDoneMuch) {
  Room room(4, true);
  room.Submit("batch", "batch", 4, Millis(10'000));
  room.Pass(Millis(5'000));
  ASSERT_TRUE(room.IsRunning("batch"));
  room.Submit("live", "urgent", 4, Millis(4'000));
  room.Pass(Millis(800));
  EXPECT_TRUE(room.IsRunning("batch"));
}

// Guards against the wrong one of two runs: the one with less work done would
// be late, the other one would not.
TEST(TriageTest, ChoosesTheRunWhoseCallerLosesNothing) {
  Room room(2, true);
  room.Submit("patient", "batch", 1, Millis(8'000));
  room.Pass(Millis(800));
  room.Submit("pressed", "batch", 1, Millis(8'000), Millis(15'500));
  room.Pass(Millis(300));
  ASSERT_TRUE(room.IsRunning("patient") && room.IsRunning("pressed"));
  room.Submit("live", "urgent", 1, Millis(4'000));
  room.Pass(Millis(800));
  EXPECT_TRUE(room.IsRunning("live"));
  EXPECT_TRUE(room.IsRunning("pressed"));
  EXPECT_FALSE(room.IsRunning("patient"));
}

// Two to three times the urgent work that the room bears for ten seconds,
// beside wide batch gangs. Guards against urgent callers who wait for batch
// work with time to spare, and against batch callers who pay for it.
TEST(TriageTest, ServesMoreUrgentCallersInABurstAndNoFewerBatchCallers) {
  std::map<bool, std::pair<int, int>> in_time;
  for (const bool weigh : {false, true}) {
    Room room(24, weigh);
    for (int n = 0; n < 80; ++n) {
      const std::string id = std::to_string(n);
      const bool burst = n >= 20 && n < 40;
      if (n % 5 == 0) {
        room.Submit("batch" + id, "batch", 6, Millis(8'000));
      }
      for (int k = 0; k < (burst ? 2 : n % 2); ++k) {
        room.Submit("urgent" + id + "." + std::to_string(k), "urgent",
                    1 + (n + k) % 6, Millis(2'500));
      }
      room.Pass(Millis(500));
    }
    room.Pass(Millis(40'000));
    in_time[weigh] = {room.InTime("urgent"), room.InTime("batch")};
  }
  RecordProperty("urgent_before", in_time[false].first);
  RecordProperty("urgent_after", in_time[true].first);
  RecordProperty("batch_before", in_time[false].second);
  RecordProperty("batch_after", in_time[true].second);
  EXPECT_GT(in_time[true].first, in_time[false].first);
  EXPECT_GE(in_time[true].second, in_time[false].second);
}

TEST(TriageTest, CountsWhatAStopCosts) {
  const workload::WallTime due(Millis(100'000));
  const Deadlines deadlines{due, due + Millis(20'000)};
  const workload::WallTime now = due - Millis(10'000);
  EXPECT_FALSE(LosesCredit(deadlines, {Millis(4'000), Millis(9'000)}, now));
  EXPECT_TRUE(LosesCredit(deadlines, {Millis(4'000), Millis(11'000)}, now));
  // It is late in any case.
  EXPECT_FALSE(LosesCredit(deadlines, {Millis(11'000), Millis(20'000)}, now));
  EXPECT_TRUE(LosesCredit(deadlines, {Millis(11'000), Millis(31'000)}, now));
}

}  // namespace
}  // namespace shallotlug::scheduler
