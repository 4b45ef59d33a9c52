#ifndef SHALLOTLUG_STREAM_APPEND_QUEUE_H_
#define SHALLOTLUG_STREAM_APPEND_QUEUE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/stream/log_io.h"

namespace shallotlug::stream {

struct AppendQueueOptions {
  std::string stream;
  std::size_t queue_limit = 50'000;
  std::size_t records_per_append = 200;
  std::size_t bytes_per_append = 524'288;
  Millis retry_delay{250};
  /// An append without a result for this long counts as ambiguous.
  Millis result_timeout{6000};
};

/// @brief A record that waits for its append.
struct QueuedRecord {
  NewRecord record;
  /// After this time it is not sent (again). The default means never.
  TimePoint give_up_at = TimePoint::max();
  bool sent = false;  ///< At least once with an unknown outcome.
};

enum class AppendNoticeKind {
  kAppended,
  kNotAppended,  ///< Proven: it was never sent, or was refused.
  kUnknown,      ///< Given up after an ambiguous append.
};

/// @brief What became of a record.
struct AppendNotice {
  std::string record_id;
  AppendNoticeKind kind = AppendNoticeKind::kUnknown;
};

/// @brief Appends to one stream: batched, one append open at a time, and an
/// ambiguous append is looked up in the stream before it is sent again.
struct AppendQueue {
  AppendQueueOptions options;
  std::deque<QueuedRecord> queue;
  std::vector<QueuedRecord> open;  ///< The append whose result is awaited.
  std::uint64_t open_token = 0;
  TimePoint open_since{};
  /// Ambiguous records; sent again once a read that began after the ambiguity
  /// reached the end of the stream without them.
  std::vector<QueuedRecord> ambiguous;
  TimePoint ambiguous_since{};
  std::unordered_set<std::string> read_back;
  TimePoint not_before{};
  /// No record is given up before this time.
  TimePoint earliest_give_up = TimePoint::max();
};

/// @brief Adds a record; false when the queue is full.
bool Add(AppendQueue& queue, QueuedRecord record);

/// @brief Records that are queued, open or ambiguous.
std::size_t Depth(const AppendQueue& queue);

/// @brief The next append, when none is open and nothing is being looked up.
std::optional<LogAppend> NextAppend(AppendQueue& queue,
                                    std::uint64_t token,
                                    TimePoint now);

/// @brief Takes in a result; results of other tokens are ignored.
void OnAppendResult(AppendQueue& queue,
                    const LogAppendResult& result,
                    TimePoint now,
                    std::vector<AppendNotice>& notices);

/// @brief Takes in what was read; `caught_up` means that the read began at
/// `read_started` and reached the end of the stream.
void OnReadBack(AppendQueue& queue,
                const std::vector<LogRecord>& records,
                bool caught_up,
                TimePoint read_started,
                std::vector<AppendNotice>& notices);

/// @brief Drops records whose time to give up has come.
void Expire(AppendQueue& queue,
            TimePoint now,
            std::vector<AppendNotice>& notices);

}  // namespace shallotlug::stream

#endif  // SHALLOTLUG_STREAM_APPEND_QUEUE_H_
