#include "shallotlug/decision/run_times.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace shallotlug::decision {
namespace {

/// Runs kept for each class; enough for a p99, and old behaviour is forgotten.
constexpr std::size_t kWindow = 128;
/// Number of runs at which the observations weigh as much as the declaration.
constexpr double kPriorRuns = 4;

template <class T>
T Quantile(std::vector<T> values, double q) {
  const auto rank = static_cast<std::size_t>(
      std::ceil(q * static_cast<double>(values.size())));
  const std::size_t n = rank == 0 ? 0 : rank - 1;
  std::nth_element(values.begin(), values.begin() + static_cast<long>(n),
                   values.end());
  return values[n];
}

template <class T>
void AppendToWindow(std::vector<T>& window, std::size_t& next, T value) {
  if (window.size() < kWindow) {
    window.push_back(value);
    return;
  }
  window[next % kWindow] = value;
  ++next;
}

double LogRatio(double a, double b) {
  return std::abs(std::log(std::max(a, 1.0) / std::max(b, 1.0)));
}

/// Tracks which predictor has been closer lately: the class median or the
/// corrected declaration.
void UpdateErrors(RunTimeEstimate& row, Millis declared, Millis actual) {
  constexpr double kDecay = 0.9;
  if (row.samples == 0 || declared.count() <= 0) {
    return;
  }
  const auto took = static_cast<double>(actual.count());
  const double corrected =
      static_cast<double>(declared.count()) * row.declared_factor;
  const auto median = static_cast<double>(row.median.count());
  row.median_error =
      kDecay * row.median_error + (1 - kDecay) * LogRatio(took, median);
  row.declared_error =
      kDecay * row.declared_error + (1 - kDecay) * LogRatio(took, corrected);
}

}  // namespace

void Learn(RunTimes& run_times,
           const ClassName& name,
           Millis declared,
           Millis actual) {
  RunTimeEstimate& row = run_times.classes[name];
  UpdateErrors(row, declared, actual);
  AppendToWindow(row.recent, row.next_recent, actual);
  if (declared.count() > 0) {
    AppendToWindow(row.recent_factors, row.next_factor,
                   static_cast<double>(actual.count()) /
                       static_cast<double>(declared.count()));
    row.declared_factor = Quantile(row.recent_factors, 0.5);
  }
  ++row.samples;
  row.median = Quantile(row.recent, 0.5);
  row.p90 = Quantile(row.recent, 0.9);
  row.p99 = Quantile(row.recent, 0.99);
}

Millis ExpectedRunTime(const RunTimes& run_times,
                       const ClassName& name,
                       Millis declared) {
  const auto it = run_times.classes.find(name);
  if (it == run_times.classes.end() || it->second.samples == 0) {
    return declared;
  }
  const RunTimeEstimate& row = it->second;
  if (declared.count() <= 0) {
    return row.median;
  }
  const auto prior = static_cast<double>(declared.count());
  const double learned = row.declared_error < row.median_error
                             ? prior * row.declared_factor
                             : static_cast<double>(row.median.count());
  const auto runs = static_cast<double>(row.samples);
  const double weight = runs / (runs + kPriorRuns);
  // Errors are factors rather than differences, so the mean is geometric.
  const double blended =
      std::exp((1 - weight) * std::log(std::max(prior, 1.0)) +
               weight * std::log(std::max(learned, 1.0)));
  return Millis(std::llround(blended));
}

}  // namespace shallotlug::decision
