// A worker leaves the orders to start a job's task unanswered. Meanwhile the
// scheduler is cut off from the store. Is the task ever started?

#include <atomic>
#include <mutex>
#include <string>
#include <thread>

#include "deployment.h"

namespace {

using review::Clock;
using review::Deployment;
using review::Millis;

constexpr int kEntries = 2;
constexpr int kWorkers = 3;
constexpr Millis kTimeout{3'000};
// The worker leaves orders unanswered for this long; `applied_late` lasts for
// up to 5.5 s in the site file.
constexpr Millis kLateOrders{5'000};
// The scheduler is cut off this long after the first of them.
constexpr Millis kCutAfter{1'700};
// `core_cut` lasts for up to 5.5 s in the site file.
constexpr Millis kCut{5'500};
// `finish_s` of SYSTEM.md, and the time for which a task may stand still.
constexpr Millis kFinish{14'000};
constexpr Millis kIdleLimit{3'000};
constexpr const char* kJob = "00000000000000c1";

bool HasRun(Deployment& deployment) {
  for (const review::Start& it : deployment.Starts()) {
    if (it.task.starts_with(kJob)) {
      return true;
    }
  }
  return false;
}

int RunCase(Deployment& deployment, review::Record& record) {
  std::this_thread::sleep_for(Millis(2'000));
  // The scheduler is the one that appends the progress of jobs.
  std::atomic<int> scheduler{-1};
  std::mutex mutex;
  std::string first_order;  // The worker that got the first order.
  Clock::time_point first_at{};
  deployment.Store().SetAppendHook(
      [&](const std::string& caller,
          const std::vector<review::KeyedRecord>& records) {
        for (const review::KeyedRecord& it : records) {
          if (it.key.starts_with("p/")) {
            scheduler = caller.back() - '1';
          }
        }
      });
  if (review::WithTrouble()) {
    for (int n = 0; n < kWorkers; ++n) {
      deployment.WorkerAt(n).SetFate([&, n](const std::string& task, int) {
        if (!task.starts_with(kJob)) {
          return review::Fate::kAnswered;
        }
        const std::lock_guard<std::mutex> lock(mutex);
        if (first_order.empty()) {
          first_order = std::to_string(n);
          first_at = Clock::now();
        }
        return first_order == std::to_string(n) &&
                       Clock::now() - first_at < kLateOrders
                   ? review::Fate::kLate
                   : review::Fate::kAnswered;
      });
    }
  }
  const std::string body =
      R"({"spec":"run_ms=1000","steps":[{"count":1,"cpu":1000,"mem_mb":256,)"
      R"("gpu":1,"estimate_ms":1000}]})";
  review::HttpClient client(deployment.Entry(0).callers);
  const std::string path = Deployment::JobPath(kJob);
  const auto accepted =
      client.Call(Deployment::ClientCall("POST", path, body), kTimeout);
  if (!accepted || accepted->status != 200) {
    record.Line("the job was not accepted");
    return review::kCouldNotRun;
  }
  record.Line(std::string("POST ") + kJob + ": 200");
  if (review::WithTrouble()) {
    std::this_thread::sleep_for(kCutAfter);
    const int cut = scheduler;
    if (cut < 0) {
      return review::kCouldNotRun;
    }
    record.Line("entry-" + std::to_string(cut + 1) +
                ", the scheduler, is cut off from the store");
    deployment.StoreLink(cut).SetMode(review::LinkMode::kSilent);
    std::this_thread::sleep_for(kCut);
    deployment.StoreLink(cut).SetMode(review::LinkMode::kOpen);
    record.Line("the cut has healed");
  }
  // No traffic and no disruption from here on.
  const auto judged = Clock::now() + kFinish + kIdleLimit;
  while (!HasRun(deployment) && Clock::now() < judged) {
    std::this_thread::sleep_for(Millis(100));
  }
  const bool broken = !HasRun(deployment);
  if (broken) {
    record.Line(
        "BROKEN: the task has not been started, and all workers are free");
  }
  const auto state = client.Call(Deployment::ClientCall("GET", path), kTimeout);
  record.Line(std::string("GET ") + kJob + ": " +
              (state ? std::to_string(state->status) + " " + state->body
                     : "no answer"));
  return broken ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int count, char** words) {
  return review::Main(count, words, kEntries, kWorkers, RunCase);
}
