#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "platform.h"

/// A wave of cancels reaches eight jobs that are due each hour for a year.
namespace {

using review::Record;
using review::SleepMs;

constexpr int kHourlyJobs = 8;
constexpr int kOtherJobs = 24;
constexpr int kHoursOfYear = 8'760;
constexpr std::int64_t kHourMs = 3'600'000;
constexpr int kWaitS = 45;
const std::string kPlainJob = "00000000000000b2";

bool Started(const std::string& job) {
  const auto events = review::Worker::Events();
  return std::any_of(events.begin(), events.end(), [&](const auto& it) {
    return it.how == "start" && it.task.starts_with(job);
  });
}

review::json::object JobOf(int repeats) {
  const review::TaskPlan plan{1'000, 1'000, 0, 2'000};
  review::json::object job{{"spec", review::SpecOf(plan)},
                           {"steps", review::json::array{review::json::object{
                                         {"count", 1},
                                         {"cpu", plan.cpu},
                                         {"mem_mb", plan.mem_mb},
                                         {"estimate_ms", plan.work_ms}}}}};
  if (repeats > 0) {
    job["repeat_count"] = repeats;
    job["first_run_ms"] = review::UnixMs() + kHourMs;
    job["interval_ms"] = kHourMs;
  }
  return job;
}

std::string IdOf(int n) {
  return "00000000000001" + std::to_string(10 + n);
}

int Run() {
  review::DeploymentSetup setup;
  setup.entries = 3;
  setup.workers = 3;
  setup.worker.cpu = 128'000;
  setup.worker.mem_mb = 262'144;
  setup.worker.gpu = 8;
  review::Deployment deployment(setup);
  if (!deployment.WaitUntilReady(20)) {
    return 2;
  }
  review::Client client(deployment);
  for (int n = 0; n < kHourlyJobs + kOtherJobs; ++n) {
    if (!client.Submit(IdOf(n), JobOf(n < kHourlyJobs ? kHoursOfYear : 0),
                       10)) {
      return 2;
    }
  }
  SleepMs(4'000);
  std::vector<std::thread> cancels;
  for (int n = 0; n < kHourlyJobs && !review::Untroubled(); ++n) {
    cancels.emplace_back([&deployment, n] {
      review::Client other(deployment);
      other.Cancel(IdOf(n));
    });
  }
  for (std::thread& it : cancels) {
    it.join();
  }
  SleepMs(2'000);
  if (!client.Submit(kPlainJob, JobOf(0), 10)) {
    return 2;
  }
  const std::int64_t until = review::NowMs() + 1'000L * kWaitS;
  while (!Started(kPlainJob) && review::NowMs() < until) {
    SleepMs(200);
  }
  Record("the plain job is shown as " + client.State(kPlainJob) + "; it has " +
         (Started(kPlainJob) ? "" : "not ") + "started");
  return Started(kPlainJob) ? 0 : 1;
}

}  // namespace

int main(int, char** argv) {
  review::RunScript(argv[1], argv[2], Run);
}
