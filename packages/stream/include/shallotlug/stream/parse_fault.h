#ifndef SHALLOTLUG_STREAM_PARSE_FAULT_H_
#define SHALLOTLUG_STREAM_PARSE_FAULT_H_

namespace shallotlug::stream {

/// @brief Why a record is skipped.
enum class ParseFault {
  kUnknownKind,  ///< Written by a newer version.
  kMalformed,
};

}  // namespace shallotlug::stream

#endif  // SHALLOTLUG_STREAM_PARSE_FAULT_H_
