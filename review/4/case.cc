// A client hands a job in. The store carries out the append and goes down, and
// its connections are reset. The client gets 503 only; does the job run?

#include <atomic>
#include <string>
#include <thread>

#include "deployment.h"

namespace {

using review::Clock;
using review::Deployment;
using review::Millis;

constexpr int kEntries = 3;
constexpr int kWorkers = 3;
constexpr int kWorkersARack = 3;
// As in the site file: 4 retries, and 3 s until the client gives up.
constexpr int kAttempts = 5;
constexpr Millis kPatience{3'000};
// As Retry-After asks for.
constexpr Millis kRetryAfter{1'000};
// `platform_down` of the site file lasts for up to 4.5 s.
constexpr Millis kOutage{4'200};
constexpr Millis kObservation{20'000};
constexpr const char* kJob = "00000000000000a1";

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
  std::atomic<bool> is_down{false};
  deployment.Store().SetAppendHook(
      [&](const std::string& caller,
          const std::vector<review::KeyedRecord>& records) {
        for (const review::KeyedRecord& it : records) {
          if (it.key != std::string("j/") + kJob) {
            continue;
          }
          record.Line("the store has appended the job for " + caller);
          if (review::WithTrouble() && !is_down.exchange(true)) {
            record.Line("the store goes down: connections are reset");
            for (int n = 0; n < kEntries; ++n) {
              deployment.StoreLink(n).SetMode(review::LinkMode::kRefused);
            }
          }
        }
      });
  const std::string body =
      R"({"spec":"run_ms=1000","steps":[{"count":1,"cpu":1000,"mem_mb":256,)"
      R"("gpu":1,"estimate_ms":1000}]})";
  const auto began = Clock::now();
  bool all_rejected = true;
  int attempts = 0;
  while (attempts < kAttempts && Clock::now() - began < kPatience) {
    const int entry = attempts++ % kEntries;
    review::HttpClient client(deployment.Entry(entry).callers);
    const auto answer = client.Call(
        Deployment::ClientCall("POST", Deployment::JobPath(kJob), body),
        kPatience);
    record.Line("attempt " + std::to_string(attempts) + " at entry-" +
                std::to_string(entry + 1) + ": " +
                (answer ? std::to_string(answer->status) + " " + answer->body
                        : "no answer"));
    all_rejected &= answer && (answer->status == 503 || answer->status == 429);
    if (answer && answer->status == 200) {
      break;
    }
    std::this_thread::sleep_for(kRetryAfter);
  }
  if (is_down) {
    std::this_thread::sleep_until(began + kOutage);
    for (int n = 0; n < kEntries; ++n) {
      deployment.StoreLink(n).SetMode(review::LinkMode::kOpen);
    }
    record.Line("the store is back");
  }
  const auto until = Clock::now() + kObservation;
  while (!HasRun(deployment) && Clock::now() < until) {
    std::this_thread::sleep_for(Millis(100));
  }
  const bool has_run = HasRun(deployment);
  record.Line(std::string("all attempts were rejected: ") +
              (all_rejected ? "yes" : "no") +
              "; a task of the job has started: " + (has_run ? "yes" : "no"));
  if (!all_rejected && !has_run) {
    return review::kCouldNotRun;
  }
  return all_rejected && has_run ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int count, char** words) {
  return review::Main(count, words, kEntries, kWorkers, kWorkersARack, RunCase);
}
