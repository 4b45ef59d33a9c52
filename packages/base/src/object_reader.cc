#include "shallotlug/base/object_reader.h"

#include <algorithm>
#include <utility>

namespace shallotlug {
namespace {

constexpr Millis kLongestDuration = std::chrono::hours(24 * 365);

std::string ListWords(std::span<const std::string_view> words) {
  std::string text;
  for (const std::string_view word : words) {
    text += text.empty() ? "" : ", ";
    text += "\"" + std::string(word) + "\"";
  }
  return text;
}

}  // namespace

ObjectReader::ObjectReader(const JsonNode& node,
                           std::string path,
                           std::string file,
                           Findings& findings)
    : object_(std::get_if<JsonObject>(&node.value)),
      line_(node.line),
      path_(std::move(path)),
      file_(std::move(file)),
      findings_(findings) {
  if (!object_) {
    Report(line_, path_, "must be an object");
  }
}

void ObjectReader::Required(std::string_view key, std::string& to) {
  ReadString(key, to, true);
}

void ObjectReader::Optional(std::string_view key, std::string& to) {
  ReadString(key, to, false);
}

void ObjectReader::Optional(std::string_view key, bool& to) {
  const JsonNode* node = Find(key);
  if (!node) {
    return;
  }
  if (const bool* it = std::get_if<bool>(&node->value)) {
    to = *it;
    return;
  }
  Fault(key, "must be true or false");
}

void ObjectReader::Optional(std::string_view key,
                            double& to,
                            double min,
                            double max) {
  const JsonNode* node = Find(key);
  if (!node) {
    return;
  }
  const double* it = std::get_if<double>(&node->value);
  const std::int64_t* n = std::get_if<std::int64_t>(&node->value);
  const double value = it ? *it : n ? static_cast<double>(*n) : max + 1;
  // Also refuses NaN, which the JSON parser makes of numbers such as 0e999.
  if (!(value >= min && value <= max)) {
    Fault(key, "must be a number from " + std::to_string(min) + " to " +
                   std::to_string(max));
    return;
  }
  to = value;
}

void ObjectReader::Required(std::string_view key, Millis& to, Millis min) {
  ReadMillis(key, to, min, true);
}

void ObjectReader::Optional(std::string_view key, Millis& to, Millis min) {
  ReadMillis(key, to, min, false);
}

void ObjectReader::Optional(std::string_view key,
                            std::vector<std::string>& to) {
  const JsonNode* node = Find(key);
  if (!node) {
    return;
  }
  const auto* items = std::get_if<JsonArray>(&node->value);
  if (!items) {
    Fault(key, "must be an array of strings");
    return;
  }
  std::vector<std::string> texts;
  for (std::size_t n = 0; n < items->size(); ++n) {
    const auto* it = std::get_if<std::string>(&(*items)[n].value);
    if (!it) {
      Report((*items)[n].line, PathOf(key) + "/" + std::to_string(n),
             "must be a string");
      continue;
    }
    texts.push_back(*it);
  }
  to = std::move(texts);
}

std::optional<std::size_t> ObjectReader::Word(
    std::string_view key,
    std::span<const std::string_view> words,
    bool required) {
  const JsonNode* node = FindOrReport(key, required);
  if (!node) {
    return std::nullopt;
  }
  if (const auto* text = std::get_if<std::string>(&node->value)) {
    const auto it = std::find(words.begin(), words.end(), *text);
    if (it != words.end()) {
      return it - words.begin();
    }
  }
  Fault(key, "must be one of " + ListWords(words));
  return std::nullopt;
}

const JsonNode* ObjectReader::Find(std::string_view key) {
  known_.emplace_back(key);
  if (!object_) {
    return nullptr;
  }
  for (const auto& [name, node] : *object_) {
    if (name == key) {
      return &node;
    }
  }
  return nullptr;
}

std::string ObjectReader::PathOf(std::string_view key) const {
  return path_ + "/" + std::string(key);
}

void ObjectReader::Fault(std::string_view key, std::string message) {
  int line = line_;
  if (object_) {
    for (const auto& [name, node] : *object_) {
      if (name == key) {
        line = node.line;
      }
    }
  }
  Report(line, PathOf(key), std::move(message));
}

void ObjectReader::Finish() {
  if (!object_) {
    return;
  }
  std::vector<std::string_view> seen;
  for (const auto& [name, node] : *object_) {
    if (std::find(known_.begin(), known_.end(), name) == known_.end()) {
      Report(node.line, PathOf(name), "unknown key");
    } else if (std::find(seen.begin(), seen.end(), name) != seen.end()) {
      Report(node.line, PathOf(name), "appears more than once");
    }
    seen.push_back(name);
  }
}

std::optional<std::int64_t> ObjectReader::Integral(std::string_view key,
                                                   Range range,
                                                   bool required) {
  const JsonNode* node = FindOrReport(key, required);
  if (!node) {
    return std::nullopt;
  }
  const auto* n = std::get_if<std::int64_t>(&node->value);
  if (!n || *n < range.min || *n > range.max) {
    Fault(key, "must be a whole number from " + std::to_string(range.min) +
                   " to " + std::to_string(range.max));
    return std::nullopt;
  }
  return *n;
}

const JsonNode* ObjectReader::FindOrReport(std::string_view key,
                                           bool required) {
  const JsonNode* node = Find(key);
  if (!node && required && object_) {
    Fault(key, "is missing");
  }
  return node;
}

void ObjectReader::ReadString(std::string_view key,
                              std::string& to,
                              bool required) {
  const JsonNode* node = FindOrReport(key, required);
  if (!node) {
    return;
  }
  const auto* it = std::get_if<std::string>(&node->value);
  if (!it || (required && it->empty())) {
    Fault(key,
          required ? "must be a string that is not empty" : "must be a string");
    return;
  }
  to = *it;
}

void ObjectReader::ReadMillis(std::string_view key,
                              Millis& to,
                              Millis min,
                              bool required) {
  if (const auto n =
          Integral(key, {min.count(), kLongestDuration.count()}, required)) {
    to = Millis(*n);
  }
}

void ObjectReader::Report(int line, std::string path, std::string message) {
  Finding finding;
  finding.file = file_;
  finding.line = line;
  finding.path = path.empty() ? "/" : std::move(path);
  finding.message = std::move(message);
  findings_.push_back(std::move(finding));
}

}  // namespace shallotlug
