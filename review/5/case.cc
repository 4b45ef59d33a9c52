// A worker crashes four times and comes back each time. A job that only this
// worker can run is handed in after the first crash. Is it given up?

#include <string>
#include <thread>

#include "deployment.h"

namespace {

using review::Clock;
using review::Deployment;
using review::Millis;

constexpr int kEntries = 2;
constexpr int kWorkers = 6;
constexpr int kCrashes = 4;
constexpr Millis kTimeout{3'000};
// How long the worker is away after a crash; up to 5 s in the site file.
constexpr Millis kDown{2'400};
// How long it is up before it crashes again.
constexpr Millis kUp{800};
constexpr Millis kEarlierJob{6'000};
constexpr Millis kObservation{25'000};
constexpr const char* kJob = "00000000000000e1";

int RunCase(Deployment& deployment, review::Record& record) {
  std::this_thread::sleep_for(Millis(2'000));
  const std::string path = Deployment::JobPath(kJob);
  const std::string body =
      R"({"spec":"run_ms=4000","steps":[{"count":1,"cpu":1000,"mem_mb":256,)"
      R"("gpu":1,"estimate_ms":4000,"requirements":"rack-1"}]})";
  review::HttpClient client(deployment.Entry(0).callers);
  // The worker has served before.
  const std::string earlier = Deployment::JobPath("00000000000000e0");
  client.Call(Deployment::ClientCall("POST", earlier, body), kTimeout);
  std::this_thread::sleep_for(kEarlierJob);
  std::thread crashes;
  if (review::WithTrouble()) {
    crashes = std::thread([&] {
      for (int n = 0; n < kCrashes; ++n) {
        deployment.WorkerAt(0).Crash(kDown);
        std::this_thread::sleep_for(kUp);
      }
    });
    std::this_thread::sleep_for(Millis(700));
  }
  const auto accepted =
      client.Call(Deployment::ClientCall("POST", path, body), kTimeout);
  if (!accepted || accepted->status != 200) {
    record.Line("the job was not accepted");
    if (crashes.joinable()) {
      crashes.join();
    }
    return review::kCouldNotRun;
  }
  record.Line(std::string("POST ") + kJob + ": 200");
  if (crashes.joinable()) {
    crashes.join();
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
  for (const review::Start& it : deployment.Starts()) {
    if (it.task.starts_with(kJob)) {
      ++starts;
      failures += it.how == "failed" ? 1 : 0;
    }
  }
  record.Line("the task has been started " + std::to_string(starts) +
              " times and has ended failed " + std::to_string(failures) +
              " times; max_attempts is 4");
  return state.find("failed") != std::string::npos && failures == 0
             ? review::kBroken
             : review::kHeld;
}

}  // namespace

int main(int count, char** words) {
  return review::Main(count, words, kEntries, kWorkers, RunCase);
}
