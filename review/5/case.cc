// The workers of a rack crash one after the other, and each comes back. A job
// that only they can run is handed in after the first crash. Is it given up?

#include <string>
#include <thread>
#include <vector>

#include "deployment.h"

namespace {

using review::Clock;
using review::Deployment;
using review::Millis;

constexpr int kEntries = 2;
constexpr int kWorkers = 12;
constexpr int kWorkersARack = 3;
constexpr Millis kTimeout{3'000};
// How long a worker is away after its crash; up to 5 s in the site file.
constexpr Millis kDown{2'400};
// From one crash to the next.
constexpr Millis kBetween{2'000};
// From the first crash to the job.
constexpr Millis kUntilJob{700};
constexpr Millis kEarlierJob{6'000};
constexpr Millis kObservation{25'000};
constexpr const char* kJob = "00000000000000e1";

std::string Body(int tasks) {
  return R"({"spec":"run_ms=2000","steps":[{"count":)" + std::to_string(tasks) +
         R"(,"cpu":1000,"mem_mb":256,"gpu":1,"estimate_ms":2000,)"
         R"("requirements":"rack-1"}]})";
}

int RunCase(Deployment& deployment, review::Record& record) {
  std::this_thread::sleep_for(Millis(2'000));
  const std::string path = Deployment::JobPath(kJob);
  review::HttpClient client(deployment.Entry(0).callers);
  // The workers have served before.
  const std::string earlier = Deployment::JobPath("00000000000000e0");
  client.Call(Deployment::ClientCall("POST", earlier, Body(24)), kTimeout);
  std::this_thread::sleep_for(kEarlierJob);
  std::vector<std::thread> crashes;
  if (review::WithTrouble()) {
    int crashed = 0;
    for (const int n : {0, 1, 2}) {
      crashes.emplace_back([&deployment, n, after = crashed++ * kBetween] {
        std::this_thread::sleep_for(after);
        deployment.WorkerAt(n).Crash(kDown);
      });
    }
    std::this_thread::sleep_for(kUntilJob);
  }
  const auto accepted =
      client.Call(Deployment::ClientCall("POST", path, Body(1)), kTimeout);
  record.Line(std::string("POST ") + kJob + ": " +
              std::to_string(accepted ? accepted->status : 0));
  for (std::thread& it : crashes) {
    it.join();
  }
  if (!accepted || accepted->status != 200) {
    return review::kCouldNotRun;
  }
  const auto until = Clock::now() + kObservation;
  std::string state;
  while (Clock::now() < until && state.find("failed") == std::string::npos &&
         state.find("completed") == std::string::npos) {
    std::this_thread::sleep_for(Millis(200));
    const auto answer =
        client.Call(Deployment::ClientCall("GET", path), kTimeout);
    state = answer ? answer->body : "";
  }
  record.Line(std::string("GET ") + kJob + ": " + state);
  int starts = 0;
  int failures = 0;
  int gone = 0;
  for (const review::Start& it : deployment.Starts()) {
    if (it.task.starts_with(kJob)) {
      ++starts;
      failures += it.how == "failed" ? 1 : 0;
      gone += it.how == "gone" ? 1 : 0;
    }
  }
  record.Line("the task has been started " + std::to_string(starts) +
              " times, has ended failed " + std::to_string(failures) +
              " times and was on a worker that crashed " +
              std::to_string(gone) + " times; max_attempts is 4");
  // A task under which two workers have crashed may be given up.
  return state.find("failed") != std::string::npos && failures == 0 && gone < 2
             ? review::kBroken
             : review::kHeld;
}

}  // namespace

int main(int count, char** words) {
  return review::Main(count, words, kEntries, kWorkers, kWorkersARack, RunCase);
}
