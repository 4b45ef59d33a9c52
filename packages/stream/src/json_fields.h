#ifndef SHALLOTLUG_STREAM_SRC_JSON_FIELDS_H_
#define SHALLOTLUG_STREAM_SRC_JSON_FIELDS_H_

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <boost/json.hpp>

#include "shallotlug/base/work.h"
#include "shallotlug/stream/parse_fault.h"

namespace shallotlug::stream {

namespace json = boost::json;

/// @brief Version of the record formats. Readers skip other versions.
inline constexpr int kRecordVersion = 1;

/// @brief Reads fields of an object; a missing or mistyped one clears `ok`.
struct FieldReader {
  const json::object& object;
  bool ok = true;

  const json::value* Find(std::string_view key);
  std::string Text(std::string_view key);
  std::int64_t Integer(std::string_view key);
  std::uint64_t Unsigned(std::string_view key);
  double Real(std::string_view key);
  bool Flag(std::string_view key);
  json::array Array(std::string_view key);
  json::object Object(std::string_view key);
  int Choice(std::string_view key, std::initializer_list<std::string_view>);
};

/// @brief Parses an object; nothing when the text is not one.
std::optional<json::object> ParseObject(std::string_view data);

/// @brief A record of this version whose fields have not been read.
struct RecordObject {
  json::object object;
  std::string kind;
};

/// @brief Parses what every record begins with. Another version is
/// kUnknownKind.
std::variant<RecordObject, ParseFault> ParseRecordObject(std::string_view data);

/// @brief Starts a record of a kind.
json::object NewRecordObject(std::string_view kind);

json::object ToJson(const ClassTarget& target);
ClassTarget ReadTarget(const json::object& object, bool& ok);

json::object ToJson(const JobSpec& spec);
JobSpec ReadJobSpec(const json::object& object, bool& ok);

}  // namespace shallotlug::stream

#endif  // SHALLOTLUG_STREAM_SRC_JSON_FIELDS_H_
