#include <algorithm>
#include <string>

#include "platform.h"

/// Three small jobs that last, one in each rack, and then a gang that would run
/// faster in one rack.
namespace {

using review::Record;
using review::SleepMs;

constexpr int kRacks = 3;
constexpr int kGang = 3;
constexpr int kWaitS = 45;
const std::string kGangJob = "00000000000000a9";

bool Started(const std::string& job) {
  const auto events = review::Worker::Events();
  return std::any_of(events.begin(), events.end(), [&](const auto& it) {
    return it.how == "start" && it.task.starts_with(job);
  });
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
  const review::TaskPlan small{1'000, 1'000, 1, 0};
  for (int n = 0; n < kRacks && !review::Untroubled(); ++n) {
    const std::string id = "00000000000000a" + std::to_string(n + 1);
    if (!client.Submit(id,
                       {{"spec", review::SpecOf(small)},
                        {"steps", review::json::array{review::json::object{
                                      {"count", 1},
                                      {"cpu", small.cpu},
                                      {"mem_mb", small.mem_mb},
                                      {"gpu", small.gpu},
                                      {"estimate_ms", 10'000},
                                      {"affinity", "r" + std::to_string(n)},
                                      {"long_running", true}}}}},
                       10)) {
      return 2;
    }
  }
  SleepMs(3'000);
  const review::TaskPlan large{100'000, 200'000, 8, 10'000};
  if (!client.Submit(kGangJob,
                     {{"spec", review::SpecOf(large)},
                      {"steps", review::json::array{review::json::object{
                                    {"count", kGang},
                                    {"cpu", large.cpu},
                                    {"mem_mb", large.mem_mb},
                                    {"gpu", large.gpu},
                                    {"estimate_ms", large.work_ms},
                                    {"gang", true},
                                    {"rack_local", true}}}}},
                     10)) {
    return 2;
  }
  const std::int64_t until = review::NowMs() + 1'000L * kWaitS;
  while (!Started(kGangJob) && review::NowMs() < until) {
    SleepMs(200);
  }
  int empty = 0;
  for (const review::AgentProcess& it : deployment.Agents()) {
    empty += it.worker->ActiveRuns() == 0 ? 1 : 0;
  }
  Record("the gang is shown as " + client.State(kGangJob) + "; it has " +
         (Started(kGangJob) ? "" : "not ") +
         "started; workers with nothing "
         "at work: " +
         std::to_string(empty));
  return Started(kGangJob) ? 0 : 1;
}

}  // namespace

int main(int, char** argv) {
  review::RunScript(argv[1], argv[2], Run);
}
