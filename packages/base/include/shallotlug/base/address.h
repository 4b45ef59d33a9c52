#ifndef SHALLOTLUG_BASE_ADDRESS_H_
#define SHALLOTLUG_BASE_ADDRESS_H_

#include <string_view>

namespace shallotlug {

/// @brief Whether the text is an IP address and a port, such as
/// `127.0.0.1:7001` or `[::1]:7001`.
bool IsAddress(std::string_view text);

}  // namespace shallotlug

#endif  // SHALLOTLUG_BASE_ADDRESS_H_
