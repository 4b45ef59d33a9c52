#ifndef SHALLOTLUG_API_SRC_PATH_H_
#define SHALLOTLUG_API_SRC_PATH_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotlug::api::detail {

/// @brief A request target split into decoded segments. A verb after the last
/// colon of the last segment, such as `:cancel`, is split off.
struct Path {
  std::vector<std::string> segments;
  std::string verb;
};

/// @brief Nothing when the target is not an absolute path, has a broken
/// percent-encoding or a query.
std::optional<Path> ParsePath(std::string_view target);

}  // namespace shallotlug::api::detail

#endif  // SHALLOTLUG_API_SRC_PATH_H_
