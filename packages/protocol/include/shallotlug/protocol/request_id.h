#ifndef SHALLOTLUG_PROTOCOL_REQUEST_ID_H_
#define SHALLOTLUG_PROTOCOL_REQUEST_ID_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"

namespace shallotlug {

/// @brief Identity of a live request. It can only ever run at the agent
/// incarnation that it names.
struct RequestId {
  AgentRef agent;
  /// On the agent's clock; the agent never starts the id after this time and
  /// may then forget it.
  PeerTime expires{};
  std::array<std::uint64_t, 2> random{};

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive in std::pair.
  auto operator<=>(const RequestId&) const = default;
};

/// @brief Formats an id for use in a URL path:
/// `r1.<incarnation>.<expires>.<random><random>.<agent name>`, numbers in
/// lowercase hexadecimal, the random words 16 digits each.
std::string ToString(const RequestId& id);

/// @brief Parses what ToString made; nothing else is accepted.
std::optional<RequestId> ParseRequestId(std::string_view text);

}  // namespace shallotlug

#endif  // SHALLOTLUG_PROTOCOL_REQUEST_ID_H_
