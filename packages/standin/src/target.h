#ifndef SHALLOTLUG_STANDIN_SRC_TARGET_H_
#define SHALLOTLUG_STANDIN_SRC_TARGET_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace shallotlug::standin {

/// @brief A request target in parts. Percent-encoding is left as it is.
struct Target {
  std::vector<std::string> path;
  std::map<std::string, std::string> query;

  /// @brief A number of the query; `otherwise` when it is missing or none.
  std::uint64_t Number(const std::string& key, std::uint64_t otherwise) const;
};

Target ParseTarget(std::string_view text);

}  // namespace shallotlug::standin

#endif  // SHALLOTLUG_STANDIN_SRC_TARGET_H_
