#ifndef SHALLOTLUG_STREAM_LOG_IO_H_
#define SHALLOTLUG_STREAM_LOG_IO_H_

#include <cstdint>
#include <string>
#include <vector>

/// Requests to the platform's log service and their results, exchanged between
/// the logic and its shell.
namespace shallotlug::stream {

struct LogRecord {
  std::uint64_t offset = 0;
  std::string id;
  std::string data;
};

/// @brief A read that ended.
struct LogReadResult {
  std::string stream;
  bool ok = false;
  std::uint64_t start = 0;  ///< First retained offset.
  std::uint64_t end = 0;    ///< One past the last offset.
  std::vector<LogRecord> records;
};

enum class AppendOutcome {
  kAppended,
  kNotAppended,  ///< Proven: the request was never sent, or was refused.
  kUnknown,      ///< The answer was lost; the record may appear.
};

struct LogAppendResult {
  std::uint64_t token = 0;
  AppendOutcome outcome = AppendOutcome::kUnknown;
};

struct NewRecord {
  std::string id;  ///< Unique; a reader finds a lost append by it.
  std::string data;
};

struct LogAppend {
  std::uint64_t token = 0;
  std::string stream;
  std::vector<NewRecord> records;
};

struct LogRead {
  std::string stream;
  std::uint64_t from = 0;
};

}  // namespace shallotlug::stream

#endif  // SHALLOTLUG_STREAM_LOG_IO_H_
