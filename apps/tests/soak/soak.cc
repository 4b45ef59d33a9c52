// A randomized soak: the real programs as separate processes against stand-ins
// of the platform, with faults that are injected from outside. Usage:
//   soak [--seed=N] [--seconds=S] [--entries=E] [--agents=A]
//        [--longest_work_ms=W] [--job_interval_ms=I] [--cancel_percent=C]
//        [--rounds=R] [--store_only] [--nosevere] [--logs=FOLDER]

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <string>
#include <system_error>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/io_context.hpp>

#include "callers.h"
#include "deployment.h"
#include "faults.h"
#include "shallotlug/net/role_loop.h"

ABSL_FLAG(std::uint64_t, seed, 1, "Draws the faults and the jobs.");
ABSL_FLAG(int, seconds, 30, "Time with faults.");
ABSL_FLAG(int, entries, 3, "Entries.");
ABSL_FLAG(int, agents, 6, "Agents, each with a worker.");
ABSL_FLAG(int, longest_work_ms, 12'000, "Work of the longest tasks.");
ABSL_FLAG(int, job_interval_ms, 500, "Longest time between two submissions.");
ABSL_FLAG(int, cancel_percent, 10, "Share of the jobs that is cancelled.");
ABSL_FLAG(int, rounds, 1, "Times with faults, each with a calm time after it.");
ABSL_FLAG(bool, store_only, false, "All faults are losses of the store.");
ABSL_FLAG(bool, severe, true, "With series of faults and late calls.");
ABSL_FLAG(std::string, logs, "", "Keeps the programs' output here.");

namespace shallotlug::soak {
namespace {

using net::ReadClock;

constexpr Millis kTick{5};
// All faults are over for this long before jobs must have ended.
constexpr Millis kSettle{60'000};
// After the end of a fault all parts are in contact again.
constexpr Millis kContact{3'000};
// Long enough to judge what goes on although it was cancelled.
constexpr Millis kCalmTime{8'000};
constexpr Millis kStartTime{1'500};
constexpr int kShortestPause = 100;
constexpr int kLongestPause = 2'000;

DeploymentOptions DeploymentFromFlags() {
  return {absl::GetFlag(FLAGS_entries), absl::GetFlag(FLAGS_agents),
          absl::GetFlag(FLAGS_logs)};
}

CallerOptions CallersFromFlags() {
  return {Millis(absl::GetFlag(FLAGS_longest_work_ms)),
          Millis(absl::GetFlag(FLAGS_job_interval_ms)),
          absl::GetFlag(FLAGS_cancel_percent)};
}

class Soak {
 public:
  Soak()
      : random_(absl::GetFlag(FLAGS_seed)),
        deployment_(context_, random_, oracle_, DeploymentFromFlags()),
        faults_(deployment_,
                random_,
                {absl::GetFlag(FLAGS_severe), absl::GetFlag(FLAGS_store_only)}),
        callers_(context_,
                 oracle_,
                 deployment_.Fleet(),
                 random_,
                 deployment_.CallerAddresses(),
                 CallersFromFlags()) {
    oracle_.AllowIncompleteGangs();
  }

  int Run() {
    for (int n = 0; n < absl::GetFlag(FLAGS_rounds); ++n) {
      PlayFaults();
      faults_.End();
      calm_since_ = ReadClock() + kContact;
      in_faults_ = false;
      const TimePoint calm_until = ReadClock() + kCalmTime;
      while (ReadClock() < calm_until) {
        Tick();
      }
    }
    callers_.StopSubmitting();
    const TimePoint end = ReadClock() + kSettle;
    while (ReadClock() < end && !callers_.AllFinal()) {
      Tick();
    }
    return Report();
  }

 private:
  void PlayFaults() {
    in_faults_ = true;
    const TimePoint faults_until =
        ReadClock() + Millis(1'000 * absl::GetFlag(FLAGS_seconds));
    TimePoint next_fault = ReadClock() + kStartTime;
    while (ReadClock() < faults_until) {
      Tick();
      if (ReadClock() >= next_fault) {
        next_fault = ReadClock() + RandomPause();
        faults_.Inject();
      }
    }
  }

  Millis RandomPause() {
    return Millis(std::uniform_int_distribution<>(kShortestPause,
                                                  kLongestPause)(random_));
  }

  void Tick() {
    const TimePoint now = ReadClock();
    context_.restart();
    context_.run_for(kTick);
    if (deployment_.Tick(now)) {
      calm_since_ = std::max(calm_since_, now + kContact);
    }
    if (!in_faults_) {
      oracle_.CheckCancelled(calm_since_, now);
    }
    callers_.Tick(now);
    faults_.Tick(now);
  }

  int Report() {
    oracle_.Finish();
    std::vector<std::string> findings = callers_.Findings();
    findings.insert(findings.end(), oracle_.Violations().begin(),
                    oracle_.Violations().end());
    for (const std::string& it : findings) {
      std::printf("broken: %s\n", it.c_str());
    }
    std::printf(
        "seed %llu: %d jobs accepted, %d not, %d cancelled, %d starts, "
        "%zu broken\n",
        static_cast<unsigned long long>(absl::GetFlag(FLAGS_seed)),
        callers_.Accepted(), callers_.Refused(), callers_.Cancelled(),
        oracle_.Starts(), findings.size());
    return findings.empty() && callers_.Accepted() > 0 ? 0 : 1;
  }

  boost::asio::io_context context_;
  std::mt19937_64 random_;
  jobharness::JobOracle oracle_;
  Deployment deployment_;
  Faults faults_;
  Callers callers_;
  bool in_faults_ = true;
  TimePoint calm_since_{};  ///< Outside times with faults.
};

}  // namespace
}  // namespace shallotlug::soak

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  const std::string logs = absl::GetFlag(FLAGS_logs);
  std::error_code ec;
  if (!logs.empty() && !std::filesystem::create_directories(logs, ec) && ec) {
    std::fprintf(stderr, "soak: --logs=%s: the folder cannot be made: %s\n",
                 logs.c_str(), ec.message().c_str());
    return 2;
  }
  shallotlug::soak::Soak soak;
  return soak.Run();
}
