#include "json_fields.h"

#include <boost/json/parse.hpp>

namespace shallotlug::cli {

namespace json = boost::json;

std::optional<json::object> ParseObject(std::string_view text) {
  json::error_code ec;
  json::value value = json::parse({text.data(), text.size()}, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

std::string TextField(const json::object& from, std::string_view key) {
  const json::value* it = from.if_contains({key.data(), key.size()});
  return it && it->is_string() ? std::string(it->get_string()) : "";
}

std::int64_t IntegerField(const json::object& from, std::string_view key) {
  return static_cast<std::int64_t>(NumberField(from, key));
}

double NumberField(const json::object& from, std::string_view key) {
  const json::value* it = from.if_contains({key.data(), key.size()});
  if (!it || !it->is_number()) {
    return 0;
  }
  return it->to_number<double>();
}

bool BoolField(const json::object& from, std::string_view key) {
  const json::value* it = from.if_contains({key.data(), key.size()});
  return it && it->is_bool() && it->get_bool();
}

const json::array& ArrayField(const json::object& from, std::string_view key) {
  static const json::array empty;
  const json::value* it = from.if_contains({key.data(), key.size()});
  return it && it->is_array() ? it->get_array() : empty;
}

const json::object& ObjectField(const json::object& from,
                                std::string_view key) {
  static const json::object empty;
  const json::value* it = from.if_contains({key.data(), key.size()});
  return it && it->is_object() ? it->get_object() : empty;
}

}  // namespace shallotlug::cli
