#ifndef SHALLOTLUG_JOBLOG_LOG_CALLS_H_
#define SHALLOTLUG_JOBLOG_LOG_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/workload/record.h"

/// Calls to the log store.
namespace shallotlug::joblog {

/// @brief Sizes that the store accepts.
struct StoreLimits {
  std::size_t record_bytes = 262'144;     ///< Of a key and its value.
  std::size_t request_bytes = 2'097'152;  ///< Of all records of one append.
};

/// @brief Bytes of a record within an append, with its length.
std::size_t AppendedBytes(const workload::RawRecord& record);
std::size_t AppendedBytes(const std::vector<workload::RawRecord>& records);

/// @brief Identifies a writer whose appends are ordered and fenced.
struct Producer {
  std::string name;
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;  ///< Of this append; increments by one.
};

struct AppendOptions {
  /// Append only if the log ends at this offset.
  std::optional<std::uint64_t> at;
  std::optional<Producer> producer;
  Millis timeout{2'000};
};

enum class AppendStatus {
  kDone,
  kNotDone,         ///< Refused by the store, or never sent.
  kOutcomeUnknown,  ///< It may have taken effect, or still may.
  kFenced,          ///< A higher epoch has written.
  kOutOfSequence,
  kMoved,  ///< The log does not end at `at`.
  kFull,
  kInvalid,
};

struct AppendResult {
  AppendStatus status = AppendStatus::kNotDone;
  std::uint64_t first_offset = 0;
  std::uint64_t end_offset = 0;  ///< Also set with kMoved.
  std::string detail;            ///< For the log.
};

struct StoredRecord {
  std::uint64_t offset = 0;
  workload::RawRecord record;
};

/// @brief A read of the records from an offset on.
struct ReadOptions {
  std::uint64_t from = 0;
  int max_kilobytes = 1'024;  ///< Limit of the page.
  Millis wait{0};             ///< For a record, if the log ends at `from`.
  Millis timeout{1'000};      ///< On top of `wait`.
};

enum class ReadStatus {
  kDone,
  kTrimmed,  ///< The requested records were removed.
  kUnavailable,
};

struct ReadResult {
  ReadStatus status = ReadStatus::kUnavailable;
  std::vector<StoredRecord> records;
  std::uint64_t next_offset = 0;  ///< Where the next read starts.
  std::uint64_t end_offset = 0;   ///< Of the log.
  std::uint64_t malformed = 0;    ///< Records without a readable key.
  std::string detail;
};

struct NewestResult {
  ReadStatus status = ReadStatus::kUnavailable;
  std::vector<StoredRecord> records;
  bool has_more = false;
  std::uint64_t end_offset = 0;
  std::uint64_t malformed = 0;
  std::string detail;
};

}  // namespace shallotlug::joblog

#endif  // SHALLOTLUG_JOBLOG_LOG_CALLS_H_
