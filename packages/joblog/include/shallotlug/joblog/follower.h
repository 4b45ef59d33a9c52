#ifndef SHALLOTLUG_JOBLOG_FOLLOWER_H_
#define SHALLOTLUG_JOBLOG_FOLLOWER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "shallotlug/joblog/log_calls.h"

namespace shallotlug::joblog {

/// @brief The next call that a follower needs.
struct FollowCall {
  enum class Kind { kNewest, kRead };
  Kind kind = Kind::kNewest;
  std::string after_key;   ///< Of kNewest.
  std::uint64_t from = 0;  ///< Of kRead.
  int max_kilobytes = 0;   ///< Of kRead: limit of the page.
};

/// @brief Reads a keyed topic: first the newest record of each key, then the
/// records that follow. Starts over when the store has trimmed unread records.
///
/// The pages of newest records are not a snapshot, so the follower continues at
/// the end offset of the first page; records may be delivered twice.
///
/// A read without an answer halves the next page, and a full page raises the
/// limit by a quarter: a page that does not arrive within the timeout on a slow
/// machine or link would otherwise be read again, and larger, while the log
/// grows.
class Follower {
 public:
  using OnRecord = std::function<void(const StoredRecord&)>;

  /// @param on_record Called for each record, in order of the calls.
  explicit Follower(OnRecord on_record);

  FollowCall Next() const;
  void OnNewest(const NewestResult& result, TimePoint now);
  void OnRead(const ReadResult& result, TimePoint now);

  /// @brief Whether the log was read to its end at least once.
  bool Loaded() const { return loaded_; }
  /// @brief When the log was last known to be read to its end.
  TimePoint CurrentAt() const { return current_at_; }
  /// @brief All records before this offset were read.
  std::uint64_t NextOffset() const { return next_offset_; }
  /// @brief How often the store had trimmed unread records.
  std::uint64_t Restarts() const { return restarts_; }
  /// @brief Records without a readable key.
  std::uint64_t Malformed() const { return malformed_; }

 private:
  OnRecord on_record_;
  bool paging_ = true;
  bool first_page_ = true;
  std::string after_key_;
  std::uint64_t next_offset_ = 0;
  int page_kilobytes_;
  bool loaded_ = false;
  TimePoint current_at_{};
  std::uint64_t restarts_ = 0;
  std::uint64_t malformed_ = 0;
};

}  // namespace shallotlug::joblog

#endif  // SHALLOTLUG_JOBLOG_FOLLOWER_H_
