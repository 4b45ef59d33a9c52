#ifndef SHALLOTLUG_PROTOCOL_SRC_CAPNP_TEXT_H_
#define SHALLOTLUG_PROTOCOL_SRC_CAPNP_TEXT_H_

#include <string>

#include <capnp/blob.h>

/// Conversions between strings and the blobs of Cap'n Proto.
namespace shallotlug::detail {

inline capnp::Text::Reader ToText(const std::string& text) {
  return {text.c_str(), text.size()};
}

inline capnp::Data::Reader ToData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

inline std::string ToString(capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

inline std::string ToString(capnp::Data::Reader bytes) {
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

}  // namespace shallotlug::detail

#endif  // SHALLOTLUG_PROTOCOL_SRC_CAPNP_TEXT_H_
