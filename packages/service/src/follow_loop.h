#ifndef SHALLOTLUG_SERVICE_SRC_FOLLOW_LOOP_H_
#define SHALLOTLUG_SERVICE_SRC_FOLLOW_LOOP_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "shallotlug/joblog/follower.h"
#include "shallotlug/joblog/response_timer.h"
#include "shallotlug/platform/store_client.h"

namespace shallotlug::service {

struct FollowOptions {
  std::string store;
  std::string topic;
  Millis wait{400};  ///< Long-poll time of one read.
};

/// @brief Reads a topic continuously into a follower until destroyed.
class FollowLoop {
 public:
  /// @param on_page Called after each read that the store has answered.
  FollowLoop(boost::asio::io_context& context,
             const FollowOptions& options,
             joblog::Follower::OnRecord on_record,
             std::function<void()> on_page);

  void Start();

  /// @brief Reads no sooner than this after the former read was sent.
  void SetInterval(Millis interval) { interval_ = interval; }

  /// @brief Calls the handler once all records that are in the log now have
  /// been read, or a read has failed: at once, unless the loop waits for its
  /// interval, which this ends.
  void Refresh(std::function<void()> handler);

  /// @brief Calls the handler after the first read that was sent after this
  /// call: `true` if it has reached the end of the log, so that all records
  /// appended before this call are known; `false` if the read has failed.
  void ReadToEnd(std::function<void(bool current)> handler);

  const joblog::Follower& GetFollower() const { return follower_; }

  /// @brief Whether the store was unavailable for the last read.
  bool StoreUnavailable() const { return store_unavailable_; }

  /// @brief For how long all reads have failed; 0 if the last one has not.
  Millis UnavailableFor(TimePoint now) const {
    return store_unavailable_ ? now - unavailable_since_ : Millis{0};
  }

 private:
  /// @brief A call of ReadToEnd().
  struct EndWaiter {
    std::uint64_t after = 0;  ///< Number of the last read sent before it.
    std::function<void(bool)> handler;
  };

  void ReadNext();
  void RecordLatency(joblog::ReadStatus status, Millis wait, TimePoint began);
  void ReadAfter(Millis delay);
  void CallRefreshed();
  void CallEndWaiters(bool failed);
  bool HasCallersWaiting() const;
  void OnReadDone(joblog::ReadStatus status, const std::string& detail);

  boost::asio::steady_timer timer_;
  platform::StoreClient client_;
  FollowOptions options_;
  joblog::Follower follower_;
  joblog::ResponseTimer response_timer_;
  std::function<void()> on_page_;
  bool reading_ = false;
  bool waiting_ = false;  ///< For the interval.
  std::vector<std::function<void()>> refreshing_;
  std::vector<EndWaiter> end_waiters_;
  bool at_end_ = false;  ///< The last answer has reached the end of the log.
  std::uint64_t reads_sent_ = 0;
  bool store_unavailable_ = false;
  TimePoint unavailable_since_{};  ///< While the store is unavailable.
  Millis interval_{0};
  TimePoint read_at_{};  ///< When the last read was sent.
};

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_FOLLOW_LOOP_H_
