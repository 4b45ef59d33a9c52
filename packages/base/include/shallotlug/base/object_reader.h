#ifndef SHALLOTLUG_BASE_OBJECT_READER_H_
#define SHALLOTLUG_BASE_OBJECT_READER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/findings.h"
#include "shallotlug/base/json_node.h"

namespace shallotlug {

/// @brief Reads the members of one JSON object and collects every fault.
///
/// A member that is missing or has a fault leaves its destination unchanged.
/// Finish() reports the keys that nothing has asked for.
///
///     ObjectReader reader(node, "", file, findings);
///     reader.Required("name", settings.name);
///     reader.Optional("slots", settings.slots, {1, 1024});
///     reader.Finish();
class ObjectReader {
 public:
  /// @brief Inclusive bounds of a number.
  struct Range {
    std::int64_t min = 0;
    std::int64_t max = 0;
  };

  ObjectReader(const JsonNode& node,
               std::string path,
               std::string file,
               Findings& findings);

  void Required(std::string_view key, std::string& to);
  void Optional(std::string_view key, std::string& to);
  void Optional(std::string_view key, bool& to);
  void Optional(std::string_view key, double& to, double min, double max);
  /// @brief A duration in milliseconds, at least `min`.
  void Required(std::string_view key, Millis& to, Millis min);
  void Optional(std::string_view key, Millis& to, Millis min);
  void Optional(std::string_view key, std::vector<std::string>& to);

  template <class Integer>
  void Required(std::string_view key, Integer& to, Range range) {
    if (const auto n = Integral(key, range, true)) {
      to = static_cast<Integer>(*n);
    }
  }
  template <class Integer>
  void Optional(std::string_view key, Integer& to, Range range) {
    if (const auto n = Integral(key, range, false)) {
      to = static_cast<Integer>(*n);
    }
  }

  /// @brief Index of the member's text in `words`.
  std::optional<std::size_t> Word(std::string_view key,
                                  std::span<const std::string_view> words,
                                  bool required);

  /// @brief The member, or null; marks the key as known.
  const JsonNode* Find(std::string_view key);

  /// @brief The path of a member, such as `/http/body_bytes`.
  std::string PathOf(std::string_view key) const;

  /// @brief Adds a finding at a member, or at the object if it is missing.
  void Fault(std::string_view key, std::string message);

  /// @brief Reports unknown and repeated keys.
  void Finish();

 private:
  std::optional<std::int64_t> Integral(std::string_view key,
                                       Range range,
                                       bool required);
  const JsonNode* FindOrReport(std::string_view key, bool required);
  void ReadString(std::string_view key, std::string& to, bool required);
  void ReadMillis(std::string_view key, Millis& to, Millis min, bool required);
  void Report(int line, std::string path, std::string message);

  const JsonObject* object_ = nullptr;
  int line_;
  std::string path_;
  std::string file_;
  Findings& findings_;
  std::vector<std::string> known_;
};

}  // namespace shallotlug

#endif  // SHALLOTLUG_BASE_OBJECT_READER_H_
