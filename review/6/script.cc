#include <map>
#include <string>

#include "platform.h"

/// A job of equal tasks, more than 500 of which end on one worker at once.
namespace {

using review::Record;
using review::SleepMs;

constexpr int kTasks = 2'400;
constexpr int kFewTasks = 400;
const std::string kJob = "00000000000000d1";

struct Task {
  bool done = false;   ///< A run has ended `done`.
  bool noted = false;  ///< `last_seen` has reached that end.
  int starts_after_done = 0;
};

// A task counts if it has started after an end `done` that is taken note of.
int TasksRunAgain() {
  std::map<std::string, Task> tasks;
  for (const review::RunEvent& it : review::Worker::Events()) {
    Task& task = tasks[it.task];
    task.done = task.done || it.how == "done";
    task.noted = task.noted || it.how == "noted done";
    task.starts_after_done += it.how == "start" && task.done ? 1 : 0;
  }
  int again = 0;
  for (const auto& [name, it] : tasks) {
    if (it.noted && it.starts_after_done > 0) {
      ++again;
      Record("TWICE: " + name + " was started after a run had ended done");
    }
  }
  return again;
}

int Run() {
  review::DeploymentSetup setup;
  setup.workers = 3;
  setup.worker.cpu = 128'000;
  setup.worker.mem_mb = 262'144;
  setup.worker.gpu = 8;
  review::Deployment deployment(setup);
  if (!deployment.WaitUntilReady(20)) {
    return 2;
  }
  review::Client client(deployment);
  const review::TaskPlan plan{50, 100, 0, 5'000};
  if (!client.Submit(
          kJob,
          {{"spec", review::SpecOf(plan)},
           {"steps", review::json::array{review::json::object{
                         {"count", review::Untroubled() ? kFewTasks : kTasks},
                         {"cpu", plan.cpu},
                         {"mem_mb", plan.mem_mb},
                         {"estimate_ms", plan.work_ms}}}}},
          10)) {
    return 2;
  }
  for (int n = 0; n < 60 && client.State(kJob) != "completed"; ++n) {
    SleepMs(1'000);
  }
  SleepMs(2'000);
  Record("the job is shown as " + client.State(kJob));
  const int again = TasksRunAgain();
  Record("tasks that ran again: " + std::to_string(again));
  return again > 0 ? 1 : 0;
}

}  // namespace

int main(int, char** argv) {
  review::RunScript(argv[1], argv[2], Run);
}
