#ifndef SHALLOTLUG_CLI_SRC_JSON_FIELDS_H_
#define SHALLOTLUG_CLI_SRC_JSON_FIELDS_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace shallotlug::cli {

/// @brief Parses the body of a reply; nothing when it is not an object.
std::optional<boost::json::object> ParseObject(std::string_view text);

/// @brief Members of a reply; a missing member or one of another type reads as
/// empty, 0 or false, so that replies of newer versions stay readable.
std::string TextField(const boost::json::object& from, std::string_view key);
std::int64_t IntegerField(const boost::json::object& from,
                          std::string_view key);
double NumberField(const boost::json::object& from, std::string_view key);
bool BoolField(const boost::json::object& from, std::string_view key);
const boost::json::array& ArrayField(const boost::json::object& from,
                                     std::string_view key);
const boost::json::object& ObjectField(const boost::json::object& from,
                                       std::string_view key);

}  // namespace shallotlug::cli

#endif  // SHALLOTLUG_CLI_SRC_JSON_FIELDS_H_
