#include "shallotlug/base/counters.h"

namespace shallotlug {
namespace {

std::string EscapeLabelValue(std::string_view value) {
  std::string text;
  for (const char c : value) {
    if (c == '\\' || c == '"') {
      text += '\\';
    }
    if (c == '\n') {
      text += "\\n";
      continue;
    }
    text += c;
  }
  return text;
}

std::string FormatLabels(const std::vector<Label>& labels) {
  if (labels.empty()) {
    return "";
  }
  std::string text = "{";
  for (const Label& label : labels) {
    if (text.size() > 1) {
      text += ",";
    }
    text += label.name + "=\"" + EscapeLabelValue(label.value) + "\"";
  }
  return text + "}";
}

}  // namespace

CounterHandle CounterTable::Define(std::string_view name,
                                   const std::vector<Label>& labels,
                                   CounterKind kind) {
  const std::string label_text = FormatLabels(labels);
  const auto [it, inserted] =
      index_.try_emplace(std::string(name) + label_text, series_.size());
  if (inserted) {
    series_.push_back({std::string(name), label_text, kind, 0});
  }
  return CounterHandle{it->second};
}

void CounterTable::Add(CounterHandle handle, std::int64_t amount) {
  series_[static_cast<std::size_t>(handle)].value += amount;
}

void CounterTable::Set(CounterHandle handle, std::int64_t value) {
  series_[static_cast<std::size_t>(handle)].value = value;
}

std::int64_t CounterTable::Value(CounterHandle handle) const {
  return series_[static_cast<std::size_t>(handle)].value;
}

std::int64_t CounterTable::Sum(std::string_view name) const {
  std::int64_t sum = 0;
  for (const Series& it : series_) {
    if (it.name == name) {
      sum += it.value;
    }
  }
  return sum;
}

void CounterTable::AddTo(std::string_view name,
                         const std::vector<Label>& labels,
                         std::int64_t amount) {
  Add(Define(name, labels), amount);
}

std::string CounterTable::ToPrometheusText() const {
  std::string text;
  std::string_view last_name;
  for (const auto& [key, n] : index_) {
    const Series& it = series_[n];
    if (it.name != last_name) {
      text += "# TYPE " + it.name +
              (it.kind == CounterKind::kCounter ? " counter\n" : " gauge\n");
      last_name = it.name;
    }
    text += it.name + it.labels + " " + std::to_string(it.value) + "\n";
  }
  return text;
}

}  // namespace shallotlug
