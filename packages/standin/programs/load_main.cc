#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/time/time.h>

#include <fstream>
#include <iostream>

#include "shallotlug/standin/load.h"

ABSL_FLAG(std::vector<std::string>, entries, {}, "Callers' listeners.");
ABSL_FLAG(std::string, customer, "fargekort", "Customer.");
ABSL_FLAG(std::string, class_name, "match", "Live class.");
ABSL_FLAG(double, rate, 50, "Arrivals a second.");
ABSL_FLAG(absl::Duration, duration, absl::Seconds(10), "Length of the run.");
ABSL_FLAG(absl::Duration,
          run_time,
          absl::Milliseconds(40),
          "Run time of each request.");
ABSL_FLAG(absl::Duration,
          target,
          absl::Seconds(2),
          "Latency target of the summary.");
ABSL_FLAG(int, threads, 64, "Bound on requests under way.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the arrivals.");
ABSL_FLAG(std::string, html, "", "File for a plot of latency over time.");

int main(int argc, char** argv) {
  using namespace shallotlug::standin;
  absl::SetProgramUsageMessage("Sends live requests and sums up the replies.");
  absl::ParseCommandLine(argc, argv);
  LoadOptions options;
  options.entries = absl::GetFlag(FLAGS_entries);
  options.customer = absl::GetFlag(FLAGS_customer);
  options.request_class = absl::GetFlag(FLAGS_class_name);
  options.rate = absl::GetFlag(FLAGS_rate);
  options.duration = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_duration));
  options.run_time = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_run_time));
  options.target = absl::ToChronoMilliseconds(absl::GetFlag(FLAGS_target));
  options.threads = absl::GetFlag(FLAGS_threads);
  options.seed = absl::GetFlag(FLAGS_seed);
  if (options.entries.empty() || options.rate <= 0 || options.threads < 1) {
    std::cerr << "--entries, a positive --rate and --threads are needed\n";
    return 1;
  }
  const std::vector<LoadSample> samples = RunLoad(options);
  std::cout << ToJsonText(Summarize(samples, options.target));
  if (const std::string file = absl::GetFlag(FLAGS_html); !file.empty()) {
    std::ofstream(file) << ToHtml(samples, options.target);
  }
}
