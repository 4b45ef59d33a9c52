#include <algorithm>
#include <string>

#include "platform.h"

/// A job whose start orders for one worker take more than 4 MiB.
namespace {

using review::Record;
using review::SleepMs;

constexpr int kTasks = 1'500;
constexpr int kFewTasks = 400;
constexpr std::size_t kPadding = 3'900;  // With it a `spec` has 3,981 bytes.
constexpr int kWaitS = 40;
const std::string kJob = "00000000000000c1";

int Starts() {
  const auto events = review::Worker::Events();
  return static_cast<int>(
      std::count_if(events.begin(), events.end(), [](const auto& it) {
        return it.how == "start" && it.task.starts_with(kJob);
      }));
}

int Run() {
  review::DeploymentSetup setup;
  setup.workers = 11;
  setup.worker.cpu = 128'000;
  setup.worker.mem_mb = 262'144;
  setup.worker.gpu = 8;
  review::Deployment deployment(setup);
  if (!deployment.WaitUntilReady(20)) {
    return 2;
  }
  review::Client client(deployment);
  const review::TaskPlan plan{50, 100, 0, 5'000, false, kPadding};
  const std::string spec = review::SpecOf(plan);
  Record("the spec has " + std::to_string(spec.size()) + " bytes");
  if (!client.Submit(
          kJob,
          {{"spec", spec},
           {"steps",
            review::json::array{review::json::object{
                {"count", review::Untroubled() ? kFewTasks : kTasks},
                {"cpu", plan.cpu},
                {"mem_mb", plan.mem_mb},
                {"estimate_ms", plan.work_ms}}}}},
          10)) {
    return 2;
  }
  const std::int64_t until = review::NowMs() + 1'000L * kWaitS;
  while (Starts() == 0 && review::NowMs() < until) {
    SleepMs(500);
  }
  Record("the job is shown as " + client.State(kJob) + "; " +
         std::to_string(Starts()) + " of its tasks have started");
  return Starts() > 0 ? 0 : 1;
}

}  // namespace

int main(int, char** argv) {
  review::RunScript(argv[1], Run);
}
