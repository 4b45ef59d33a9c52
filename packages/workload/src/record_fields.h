#ifndef SHALLOTLUG_WORKLOAD_SRC_RECORD_FIELDS_H_
#define SHALLOTLUG_WORKLOAD_SRC_RECORD_FIELDS_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "shallotlug/workload/job.h"

/// Fields of records in JSON. A field that cannot be read throws.
namespace shallotlug::workload::detail {

// Of runs, failures and attempts of one task.
inline constexpr std::int64_t kMaxRuns = 1'000'000'000;

inline std::int64_t GetInt(const boost::json::object& from,
                           std::string_view key) {
  const auto* it = from.if_contains(key);
  return it == nullptr ? 0 : it->to_number<std::int64_t>();
}

inline std::int64_t Checked(std::int64_t n,
                            std::int64_t min,
                            std::int64_t max) {
  if (n < min || n > max) {
    throw std::out_of_range("number out of range");
  }
  return n;
}

/// @brief A number from 0 to `max`; 0 if there is none.
inline std::int64_t GetAmount(const boost::json::object& from,
                              std::string_view key,
                              std::int64_t max = kMaxAmount) {
  return Checked(GetInt(from, key), 0, max);
}

/// @brief A number from 0 to `max` at this place of a row.
inline int GetCell(const boost::json::array& row,
                   std::size_t n,
                   std::int64_t max) {
  return static_cast<int>(Checked(row.at(n).to_number<std::int64_t>(), 0, max));
}

inline bool GetBool(const boost::json::object& from, std::string_view key) {
  const auto* it = from.if_contains(key);
  return it != nullptr && it->as_bool();
}

inline std::string GetString(const boost::json::object& from,
                             std::string_view key) {
  const auto* it = from.if_contains(key);
  return it == nullptr ? "" : std::string(it->as_string());
}

}  // namespace shallotlug::workload::detail

#endif  // SHALLOTLUG_WORKLOAD_SRC_RECORD_FIELDS_H_
