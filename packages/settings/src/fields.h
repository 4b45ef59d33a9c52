#ifndef SHALLOTLUG_SETTINGS_SRC_FIELDS_H_
#define SHALLOTLUG_SETTINGS_SRC_FIELDS_H_

#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "shallotlug/base/object_reader.h"
#include "shallotlug/settings/settings.h"

/// Readers of the settings fields that several programs share.
namespace shallotlug::settings::detail {

void ReadName(ObjectReader& reader, std::string_view key, std::string& to);
void ReadAddress(ObjectReader& reader, std::string_view key, std::string& to);
void ReadSecret(ObjectReader& reader, std::string_view key, std::string& to);
void ReadLog(ObjectReader& parent,
             const std::string& file,
             LogSettings& to,
             Findings& findings);
void ReadHttp(ObjectReader& parent,
              const std::string& file,
              HttpLimits& to,
              Findings& findings);

std::variant<std::string, Findings> ReadFile(const std::string& file);

template <class Settings, class Read>
std::variant<Settings, Findings> Parse(std::string_view text,
                                       const std::string& file,
                                       Read read) {
  auto parsed = ParseJson(text, file);
  if (auto* findings = std::get_if<Findings>(&parsed)) {
    return std::move(*findings);
  }
  Findings findings;
  ObjectReader reader(std::get<JsonNode>(parsed), "", file, findings);
  Settings settings = read(reader, file, findings);
  reader.Finish();
  if (!findings.empty()) {
    return findings;
  }
  return settings;
}

template <class Settings, class ParseText>
std::variant<Settings, Findings> Load(const std::string& file,
                                      ParseText parse) {
  auto text = ReadFile(file);
  if (auto* findings = std::get_if<Findings>(&text)) {
    return std::move(*findings);
  }
  return parse(std::get<std::string>(text), file);
}

}  // namespace shallotlug::settings::detail

#endif  // SHALLOTLUG_SETTINGS_SRC_FIELDS_H_
