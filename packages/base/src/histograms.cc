#include "shallotlug/base/histograms.h"

namespace shallotlug {
namespace {

std::string LabelText(const std::vector<Label>& labels) {
  std::string text;
  for (const Label& it : labels) {
    text += it.name + "=\"" + it.value + "\",";
  }
  return text;
}

std::string Seconds(std::int64_t millis) {
  std::string fraction = std::to_string(1'000 + millis % 1'000).substr(1);
  return std::to_string(millis / 1'000) + "." + fraction;
}

// Labels end in a comma, so that another label can follow.
std::string WithoutComma(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels.substr(0, labels.size() - 1) + "}";
}

}  // namespace

void HistogramTable::Observe(std::string_view name,
                             const std::vector<Label>& labels,
                             Millis value) {
  Series& series = metrics_[std::string(name)][LabelText(labels)];
  ++series.count;
  series.sum_ms += value.count();
  for (std::size_t n = 0; n < kBounds.size(); ++n) {
    if (value.count() <= kBounds[n]) {
      ++series.buckets[n];
      return;
    }
  }
}

std::string HistogramTable::ToPrometheusText() const {
  std::string text;
  for (const auto& [name, all] : metrics_) {
    text += "# TYPE " + name + " histogram\n";
    for (const auto& [labels, series] : all) {
      std::int64_t below = 0;
      for (std::size_t n = 0; n < kBounds.size(); ++n) {
        below += series.buckets[n];
        text += name + "_bucket{" + labels + "le=\"" + Seconds(kBounds[n]) +
                "\"} " + std::to_string(below) + "\n";
      }
      text += name + "_bucket{" + labels + "le=\"+Inf\"} " +
              std::to_string(series.count) + "\n";
      text += name + "_sum" + WithoutComma(labels) + " " +
              Seconds(series.sum_ms) + "\n";
      text += name + "_count" + WithoutComma(labels) + " " +
              std::to_string(series.count) + "\n";
    }
  }
  return text;
}

}  // namespace shallotlug
