#include "../standins-3/system.h"

/// A heartbeat of another writer reaches the agent of the only worker of a
/// kind, once. A job that needs this kind is handed in afterwards.
namespace {

using review::Clock;
using review::Millis;
using review::System;
using review::Task;
using review::Verdict;

// Bounds of the small deployments.
constexpr Millis kFinish{14'000};
constexpr Millis kIdle{3'000};
constexpr Millis kWatched{20'000};
constexpr Millis kPoll{50};
constexpr std::size_t kWorker = 10;
constexpr const char* kJob = "c90e47b1d2a85f36";

/// @brief All fields are there; the service is none of the configuration's.
Task<void> SendForeignHeartbeat(System& system) {
  const auto now = std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch());
  const review::json::object body{
      {"service", "backup-7c1"},
      {"address", "127.0.0.1:9"},
      {"zone", "zone-1"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_left_ms", 0},
      {"capacity",
       review::json::object{{"cpu", 1'000}, {"mem_mb", 1'024}, {"gpu", 0}}},
      {"labels", review::json::array{"c", "r9-1"}},
      {"clock_ms", 1'000},
      {"born", now.count()},
      {"sequence", 1}};
  const review::Request request{
      "PUT", "/api/instances/i-5b21d09e", review::json::serialize(body), {}};
  system.Record("another writer -> agent 11: " + request.target + " " +
                request.body);
  const review::Response response = co_await review::Call(
      system.GetWorker(kWorker).AgentPort(), request, Millis(1'000));
  system.Record("agent 11 -> another writer: " +
                std::to_string(response.status));
}

bool HasEnded(const System& system) {
  for (const review::RunEvent& it : system.Runs()) {
    if (it.task.starts_with(kJob) && it.what == "done") {
      return true;
    }
  }
  return false;
}

/// @brief The longest time in which the job has nothing running and has not
/// ended.
Task<Millis> LongestIdleTime(System& system) {
  Millis longest{0};
  auto idle_since = Clock::now();
  const auto until = Clock::now() + kWatched;
  while (Clock::now() < until && !HasEnded(system)) {
    if (system.GetWorker(kWorker).Runs(kJob)) {
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
  if (review::HasTrouble()) {
    co_await SendForeignHeartbeat(system);
  }
  co_await review::Sleep(Millis(3'000));
  const std::string path = std::string("/queue-1/") + kJob;
  const std::string body =
      R"({"spec":"2500","steps":[{"count":1,"cpu":3700,"mem_mb":11000,)"
      R"("gpu":1,"estimate_ms":2500,"requirements":"b"}]})";
  const auto accepted = co_await system.Ask(0, "POST", path, body);
  if (accepted.status != 200) {
    co_return Verdict::kCouldNotRun;
  }
  co_await review::Sleep(kFinish);
  system.Record("finish_s after the last submission");
  const Millis idle = co_await LongestIdleTime(system);
  co_await system.Ask(1, "GET", path, "");
  system.Record("the job had nothing running for " +
                std::to_string(idle.count()) + " ms, on an idle worker");
  co_return idle >= kIdle ? Verdict::kBroken : Verdict::kHeld;
}

}  // namespace

int main(int count, char** arguments) {
  System::Options options;
  for (std::size_t n = 0; n < 11; ++n) {
    review::Worker::Options worker;
    worker.name = "worker-" + std::to_string(n + 1);
    worker.service = "service-1";
    worker.rack = "r1-" + std::to_string(n / 3 + 1);
    worker.kind = n == kWorker ? "b" : "a";
    options.workers.push_back(worker);
  }
  return review::RunScenario(count, arguments, options, Scenario);
}
