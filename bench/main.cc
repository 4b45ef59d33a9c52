#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <cstdio>
#include <string>
#include <vector>

#include "event_loop.h"
#include "guarantee_cells.h"
#include "job_scheduler.h"
#include "measurement.h"
#include "scale.h"
#include "test_state.h"

namespace shallotlug::bench {
namespace {

constexpr std::uint64_t kSeeds[] = {1, 2, 3};

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(std::llround(q * last))];
}

double InTarget(const RunResult& it) {
  return 100.0 * static_cast<double>(it.live_in_target) /
         static_cast<double>(std::max(it.live_latency.size(), std::size_t{1}));
}

void AddRun(Measurements& out,
            const std::string& prefix,
            Deployment deployment,
            std::uint64_t seed) {
  const Workload workload = MakeWorkload(deployment, 0.9, seed);
  const RunResult a = Run(workload, Policy::kPlanner, {}, seed);
  const RunResult b = Run(workload, Policy::kFirstFit, {}, seed);
  const RunResult strict = Run(workload, Policy::kStrictFifo, {}, seed);
  const auto add = [&](const std::string& name, double value,
                       const std::string& unit, double baseline) {
    out.push_back({prefix + name, value, unit, baseline, seed});
  };
  add("live_in_target", InTarget(a), "%", InTarget(b));
  add("live_p99", Quantile(a.live_latency, 0.99), "ms",
      Quantile(b.live_latency, 0.99));
  add("batch_done", a.batch_done / 1000, "s", b.batch_done / 1000);
  add("batch_mean_completion", a.mean_completion / 1000, "s",
      b.mean_completion / 1000);
  add("stranded_share", 100 * a.stranded_share, "%", 100 * b.stranded_share);
  add("stranded_accelerators", a.stranded_accelerators, "acc",
      b.stranded_accelerators);
  add("gang16_wait_p99", Quantile(a.gang16_wait, 0.99) / 1000, "s",
      Quantile(b.gang16_wait, 0.99) / 1000);
  add("gang16_wait_median", Quantile(a.gang16_wait, 0.5) / 1000, "s",
      Quantile(b.gang16_wait, 0.5) / 1000);
  add("gang16_wait_p99_strict_fifo", Quantile(a.gang16_wait, 0.99) / 1000, "s",
      Quantile(strict.gang16_wait, 0.99) / 1000);
  add("batch_done_strict_fifo", a.batch_done / 1000, "s",
      strict.batch_done / 1000);
  add("stranded_share_strict_fifo", 100 * a.stranded_share, "%",
      100 * strict.stranded_share);
  add("reclaim_start_max", Quantile(a.guaranteed_start, 1), "ms", 1700);
  add("finished", static_cast<double>(a.finished), "jobs",
      static_cast<double>(b.finished));
  add("failed", static_cast<double>(a.failed), "jobs",
      static_cast<double>(b.failed));
  add("preempted", static_cast<double>(a.preempted), "jobs", 0);
  add("migrated", static_cast<double>(a.migrated), "jobs", 0);
}

Measurements MeasureDeployments() {
  Measurements out;
  for (const std::uint64_t seed : kSeeds) {
    AddRun(out, "fargekort_", Deployment::kFargekort, seed);
    AddRun(out, "authority_", Deployment::kAuthority, seed);
  }
  return out;
}

/// 10,000 random states; the baseline is the same without kept guarantees.
Measurements MeasureGuarantees() {
  const auto missed = [](bool keep) {
    double count = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
      decision::TestState state(seed);
      state.options.keep_guarantees = keep;
      for (int n = 0; n < 20; ++n) {
        state.Advance();
        count += static_cast<double>(state.RequestWholeGuarantee().size());
      }
    }
    return count;
  };
  return {{"guaranteed_requests_missed_in_10000_states", missed(true), "jobs",
           missed(false), 1}};
}

void PrintText(const Measurements& figures) {
  for (const Measurement& it : figures) {
    const double ratio = it.baseline != 0 ? it.value / it.baseline : 0;
    std::printf("%-44s %12.3f %-5s baseline %12.3f ratio %8.4f seed %llu\n",
                it.name.c_str(), it.value, it.unit.c_str(), it.baseline, ratio,
                static_cast<unsigned long long>(it.seed));
  }
}

void PrintJson(const Measurements& figures) {
  boost::json::array rows;
  for (const Measurement& it : figures) {
    boost::json::object row{{"name", it.name},
                            {"value", it.value},
                            {"unit", it.unit},
                            {"baseline", it.baseline},
                            {"seed", it.seed}};
    if (it.baseline != 0) {
      row["ratio"] = it.value / it.baseline;
    }
    rows.push_back(std::move(row));
  }
  std::puts(boost::json::serialize(rows).c_str());
}

int Main(const std::vector<std::string>& arguments) {
  std::string name;
  bool json = false;
  for (const std::string& it : arguments) {
    if (it == "--output=json") {
      json = true;
    } else {
      name = it;
    }
  }
  const auto wants = [&](const std::string& it) {
    return name.empty() || name == it;
  };
  Measurements figures;
  const auto append = [&](const Measurements& more) {
    figures.insert(figures.end(), more.begin(), more.end());
  };
  if (wants("deployments")) {
    append(MeasureDeployments());
  }
  if (wants("guarantees")) {
    append(MeasureGuarantees());
    append(MeasureGuaranteeCells(1));
  }
  if (wants("scale")) {
    append(MeasureScale(1));
  }
  if (wants("waves")) {
    append(MeasureWaves(1));
  }
  if (wants("jobs")) {
    append(MeasureJobScheduler(1));
  }
  if (figures.empty()) {
    std::fputs(
        "usage: bench [deployments|guarantees|scale|waves|jobs] "
        "[--output=json]\n",
        stderr);
    return 2;
  }
  json ? PrintJson(figures) : PrintText(figures);
  return 0;
}

}  // namespace
}  // namespace shallotlug::bench

int main(int argc, char** argv) {
  return shallotlug::bench::Main({argv + 1, argv + argc});
}
