// Clients hand jobs in and cancel each of them as soon as it is accepted, on
// the same connection. Do tasks start after the cancelling was acknowledged?

#include <map>
#include <string>
#include <thread>

#include "deployment.h"

namespace {

using review::Clock;
using review::Deployment;
using review::Millis;

constexpr int kEntries = 2;
constexpr int kWorkers = 3;
constexpr int kJobs = 8;
constexpr Millis kTimeout{3'000};
// Without the disruption a client cancels this long after the acceptance.
constexpr Millis kLaterCancel{2'000};
// `cancel_ms` of SYSTEM.md.
constexpr double kCancelSeconds = 3.0;
constexpr Millis kObservation{10'000};

std::string JobId(int n) {
  return "00000000000000b" + std::to_string(n);
}

int RunCase(Deployment& deployment, review::Record& record) {
  std::this_thread::sleep_for(Millis(2'000));
  // The second step begins when the first has ended.
  const std::string body =
      R"({"spec":"run_ms=4500","steps":[{"count":1,"cpu":1000,"mem_mb":256,)"
      R"("gpu":1,"estimate_ms":4500},{"count":1,"cpu":1000,"mem_mb":256,)"
      R"("gpu":1,"estimate_ms":4500,"depends_on":[0]}]})";
  std::map<std::string, double> acknowledged;
  for (int n = 0; n < kJobs; ++n) {
    const std::string id = JobId(n);
    const std::string path = Deployment::JobPath(id);
    review::HttpClient client(deployment.Entry(n % kEntries).callers);
    const auto accepted =
        client.Call(Deployment::ClientCall("POST", path, body), kTimeout);
    if (!accepted || accepted->status != 200) {
      record.Line("job " + id + " was not accepted");
      return review::kCouldNotRun;
    }
    record.Line("POST " + id + ": 200");
    if (!review::WithTrouble()) {
      std::this_thread::sleep_for(kLaterCancel);
    }
    const auto cancelled =
        client.Call(Deployment::ClientCall("DELETE", path), kTimeout);
    record.Line("DELETE " + id + ": " +
                (cancelled
                     ? std::to_string(cancelled->status) + " " + cancelled->body
                     : "no answer"));
    if (cancelled &&
        (cancelled->status / 100 == 2 || cancelled->status == 410)) {
      acknowledged[id] = record.Seconds();
    }
    std::this_thread::sleep_for(Millis(150));
  }
  if (acknowledged.empty()) {
    return review::kCouldNotRun;
  }
  std::this_thread::sleep_for(kObservation);
  bool broken = false;
  for (const review::Start& it : deployment.Starts()) {
    const auto cancel = acknowledged.find(it.task.substr(0, it.task.find('.')));
    if (cancel != acknowledged.end() &&
        it.at > cancel->second + kCancelSeconds) {
      broken = true;
      record.Line("BROKEN: " + it.task + " started " +
                  std::to_string(it.at - cancel->second) +
                  " s after the cancelling of its job was acknowledged");
    }
  }
  for (int n = 0; n < kJobs; ++n) {
    review::HttpClient client(deployment.Entry(0).callers);
    const auto state = client.Call(
        Deployment::ClientCall("GET", Deployment::JobPath(JobId(n))), kTimeout);
    record.Line("GET " + JobId(n) + ": " +
                (state ? std::to_string(state->status) + " " + state->body
                       : "no answer"));
  }
  return broken ? review::kBroken : review::kHeld;
}

}  // namespace

int main(int count, char** words) {
  return review::Main(count, words, kEntries, kWorkers, RunCase);
}
