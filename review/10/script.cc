#include <algorithm>
#include <string>

#include "platform.h"

/// A job of many small tasks that save checkpoints is at work when a second job
/// of one task is handed in.
namespace {

using review::Record;
using review::SleepMs;

constexpr int kTasks = 7'000;
constexpr int kFewTasks = 700;
constexpr int kWaitS = 40;
const std::string kWideJob = "00000000000000c1";
const std::string kPlainJob = "00000000000000c2";

int Count(const std::string& job, const std::string& how) {
  const auto events = review::Worker::Events();
  return static_cast<int>(
      std::count_if(events.begin(), events.end(), [&](const auto& it) {
        return it.how == how && it.task.starts_with(job);
      }));
}

review::json::object JobOf(const review::TaskPlan& plan, int count) {
  return {{"spec", review::SpecOf(plan)},
          {"steps", review::json::array{review::json::object{
                        {"count", count},
                        {"cpu", plan.cpu},
                        {"mem_mb", plan.mem_mb},
                        {"estimate_ms", plan.work_ms},
                        {"checkpointing", plan.saves}}}}};
}

int Run() {
  review::DeploymentSetup setup;
  setup.entries = 3;
  setup.workers = 11;
  setup.worker.cpu = 128'000;
  setup.worker.mem_mb = 262'144;
  setup.worker.gpu = 8;
  review::Deployment deployment(setup);
  if (!deployment.WaitUntilReady(20)) {
    return 2;
  }
  review::Client client(deployment);
  const int tasks = review::Untroubled() ? kFewTasks : kTasks;
  if (!client.Submit(kWideJob, JobOf({50, 100, 0, 15'000, true}, tasks), 10)) {
    return 2;
  }
  for (int n = 0; n < 20 && Count(kWideJob, "start") < tasks; ++n) {
    SleepMs(1'000);
  }
  Record("tasks of the wide job started: " +
         std::to_string(Count(kWideJob, "start")));
  SleepMs(8'000);
  if (!client.Submit(kPlainJob, JobOf({1'000, 1'000, 0, 2'000}, 1), 10)) {
    return 2;
  }
  const std::int64_t until = review::NowMs() + 1'000L * kWaitS;
  while (Count(kPlainJob, "done") == 0 && review::NowMs() < until) {
    SleepMs(500);
  }
  const bool started = Count(kPlainJob, "start") > 0;
  Record("the plain job is shown as " + client.State(kPlainJob) +
         ", the wide one as " + client.State(kWideJob) +
         "; the plain job has " + (started ? "" : "not ") + "started; " +
         std::to_string(Count(kWideJob, "done")) +
         " tasks of the wide job are done");
  return started ? 0 : 1;
}

}  // namespace

int main(int, char** argv) {
  review::OpenRecord(argv[1]);
  const int status = Run();
  Record("exit status " + std::to_string(status));
  return status;
}
