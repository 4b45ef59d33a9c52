#include "../standins-3/system.h"

/// The only worker of a kind fails all that it starts for a few seconds. Jobs
/// that need this kind wait on when it is sound again.
namespace {

using review::Clock;
using review::Millis;
using review::System;
using review::Task;
using review::Verdict;

// Longest in the site file for workers that fail.
constexpr Millis kFailing{5'700};
// Bounds of the small deployments.
constexpr Millis kContact{3'000};
constexpr Millis kFinish{14'000};
constexpr Millis kIdle{3'000};
constexpr Millis kWatched{20'000};
constexpr Millis kPoll{50};
constexpr std::size_t kWorker = 10;
constexpr const char* kFirst = "3a5e0c7a21d94b01";
constexpr const char* kSecond = "3a5e0c7a21d94b02";

std::string Body(int tasks) {
  return R"({"spec":"2500","steps":[{"count":)" + std::to_string(tasks) +
         R"(,"cpu":2800,"mem_mb":15000,"gpu":1,"estimate_ms":2500,)" +
         R"("requirements":"b"}]})";
}

bool HasEnded(const System& system, const std::string& job, int tasks) {
  int done = 0;
  for (const review::RunEvent& it : system.Runs()) {
    done += it.task.starts_with(job) && it.what == "done" ? 1 : 0;
  }
  return done >= tasks;
}

/// @brief The longest time in which a job has nothing running and has not
/// ended.
Task<Millis> LongestIdleTime(System& system,
                             const std::string& job,
                             int tasks) {
  Millis longest{0};
  auto idle_since = Clock::now();
  const auto until = Clock::now() + kWatched;
  while (Clock::now() < until && !HasEnded(system, job, tasks)) {
    if (system.GetWorker(kWorker).Runs(job)) {
      idle_since = Clock::now();
    }
    longest = std::max(
        longest, std::chrono::duration_cast<Millis>(Clock::now() - idle_since));
    co_await review::Sleep(kPoll);
  }
  co_return longest;
}

Task<Verdict> Scenario(System& system) {
  if (!co_await system.WaitUntilReady(Millis(15'000))) {
    co_return Verdict::kCouldNotRun;
  }
  co_await review::Sleep(Millis(3'000));
  constexpr int kFirstTasks = 2;
  constexpr int kSecondTasks = 6;
  review::Worker& worker = system.GetWorker(kWorker);
  if (review::HasTrouble()) {
    system.Record("worker " + worker.Id() + " fails all that it starts");
    worker.SetFailing(true);
  }
  const std::string first = std::string("/queue-1/") + kFirst;
  const std::string second = std::string("/queue-1/") + kSecond;
  const std::string first_body = Body(kFirstTasks);
  const std::string second_body = Body(kSecondTasks);
  const auto one = co_await system.Ask(0, "POST", first, first_body);
  const auto two = co_await system.Ask(1, "POST", second, second_body);
  if (one.status != 200 || two.status != 200) {
    co_return Verdict::kCouldNotRun;
  }
  co_await review::Sleep(kFailing);
  worker.SetFailing(false);
  system.Record("worker " + worker.Id() + " is sound");
  // finish_s after the traffic, and calm for contact_ms.
  co_await review::Sleep(std::max(kFinish - kFailing, kContact));
  system.Record("finish_s after the last submission");
  const Millis idle = co_await LongestIdleTime(system, kSecond, kSecondTasks);
  co_await system.Ask(2, "GET", first, "");
  co_await system.Ask(2, "GET", second, "");
  system.Record("the second job had nothing running for " +
                std::to_string(idle.count()) + " ms, on an idle worker");
  co_return idle >= kIdle ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace

int main(int count, char** arguments) {
  System::Options options;
  for (int n = 0; n < 11; ++n) {
    review::Worker::Options worker;
    worker.name = "worker-" + std::to_string(n + 1);
    worker.service = "service-1";
    worker.rack = "r1-" + std::to_string(n / 3 + 1);
    worker.kind = n == kWorker ? "b" : "a";
    options.workers.push_back(worker);
  }
  return review::RunScenario(count, arguments, options, Scenario);
}
