#ifndef SHALLOTLUG_PROTOCOL_CODEC_H_
#define SHALLOTLUG_PROTOCOL_CODEC_H_

#include <string>
#include <string_view>
#include <system_error>

#include <boost/outcome/std_result.hpp>

#include "shallotlug/protocol/messages.h"

namespace shallotlug {

/// @brief Why bytes are no message.
enum class CodecError {
  /// Out of bounds, too deep, or larger when read than its bytes justify.
  kMalformed = 1,
  /// A kind of message that only a newer version knows; may be skipped.
  kUnknownMessage,
  /// An enumerator or number that only a newer version can mean.
  kUnknownValue,
};

const std::error_category& CodecCategory();
std::error_code make_error_code(CodecError error);  // NOLINT(*-naming)

template <class T>
using DecodeResult = boost::outcome_v2::std_result<T>;

/// @brief Encodes a message as one Cap'n Proto stream, without a frame.
std::string Encode(const Message& message);

/// @brief Decodes what Encode made. Any bytes are safe to pass; faults are
/// CodecError.
DecodeResult<Message> Decode(std::string_view bytes);

}  // namespace shallotlug

template <>
struct std::is_error_code_enum<shallotlug::CodecError> : std::true_type {};

#endif  // SHALLOTLUG_PROTOCOL_CODEC_H_
