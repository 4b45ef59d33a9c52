#include <algorithm>
#include <atomic>
#include <cstdio>
#include <string>
#include <thread>

#include "platform.h"

/// A job that is due each hour for a year is accepted. The platform kills each
/// process that exceeds its memory and starts it again.
namespace {

using review::Record;
using review::SleepMs;

constexpr double kMemoryMb = 260;
constexpr int kRestartMs = 500;
constexpr int kWatchMs = 20;
constexpr int kTasks = 256;
constexpr int kHoursOfYear = 8'760;
constexpr int kFewTimes = 8;
constexpr std::int64_t kHourMs = 3'600'000;
constexpr int kWaitS = 40;
const std::string kHourlyJob = "00000000000000b1";
const std::string kPlainJob = "00000000000000b2";

// As the platform does: a process over the limit is killed and started again.
void Watch(review::Deployment& deployment,
           const std::atomic<bool>& ended,
           std::atomic<int>& kills) {
  double peak = 0;
  while (!ended) {
    for (review::EntryProcess& it : deployment.Entries()) {
      const double memory = it.process->MemoryMb();
      peak = std::max(peak, memory);
      if (memory > kMemoryMb || !it.process->Running()) {
        Record(it.name +
               (memory > kMemoryMb
                    ? " holds " + std::to_string(memory) + " MB and is killed"
                    : " has ended by itself"));
        it.process->Kill();
        ++kills;
        SleepMs(kRestartMs);
        it.process->Start();
      }
    }
    SleepMs(kWatchMs);
  }
  Record("most memory of an entry: " + std::to_string(peak) + " MB");
}

bool Started(const std::string& job) {
  const auto events = review::Worker::Events();
  return std::any_of(events.begin(), events.end(), [&](const auto& it) {
    return it.how == "start" && it.task.starts_with(job);
  });
}

int Check(review::Deployment& deployment, const std::atomic<int>& kills) {
  if (!deployment.WaitUntilReady(20)) {
    return 2;
  }
  review::Client client(deployment);
  const review::TaskPlan plan{1'000, 1'000, 0, 2'000};
  const int times = review::Untroubled() ? kFewTimes : kHoursOfYear;
  const review::json::object hourly{
      {"spec", review::SpecOf(plan)},
      {"steps", review::json::array{review::json::object{
                    {"count", kTasks},
                    {"cpu", plan.cpu},
                    {"mem_mb", plan.mem_mb},
                    {"estimate_ms", plan.work_ms}}}},
      {"repeat_count", times},
      {"first_run_ms", review::UnixMs() + kHourMs},
      {"interval_ms", kHourMs}};
  Record("the job: " + review::json::serialize(hourly));
  if (!client.Submit(kHourlyJob, hourly, 10)) {
    return 2;
  }
  SleepMs(2'000);
  const review::json::object plain{
      {"spec", review::SpecOf(plan)},
      {"steps", review::json::array{
                    review::json::object{{"count", 1},
                                         {"cpu", plan.cpu},
                                         {"mem_mb", plan.mem_mb},
                                         {"estimate_ms", plan.work_ms}}}}};
  const bool accepted = client.Submit(kPlainJob, plain, kWaitS);
  const std::int64_t until = review::NowMs() + 1'000L * kWaitS;
  while (accepted && !Started(kPlainJob) && review::NowMs() < until) {
    SleepMs(500);
  }
  Record("the plain job was " + std::string(accepted ? "" : "not ") +
         "accepted; it is shown as " + client.State(kPlainJob) + "; it has " +
         (Started(kPlainJob) ? "" : "not ") + "started");
  Record("entries killed or ended: " + std::to_string(kills));
  return Started(kPlainJob) && kills == 0 ? 0 : 1;
}

int Run() {
  review::DeploymentSetup setup;
  setup.entries = 3;
  setup.workers = 3;
  setup.worker.cpu = 128'000;
  setup.worker.mem_mb = 262'144;
  setup.worker.gpu = 8;
  review::Deployment deployment(setup);
  std::atomic<bool> ended{false};
  std::atomic<int> kills{0};
  std::thread watch([&] { Watch(deployment, ended, kills); });
  const int status = Check(deployment, kills);
  ended = true;
  watch.join();
  return status;
}

}  // namespace

int main(int, char** argv) {
  review::RunScript(argv[1], Run);
}
