#ifndef SHALLOTLUG_SERVICE_SRC_FOLLOW_LOOP_H_
#define SHALLOTLUG_SERVICE_SRC_FOLLOW_LOOP_H_

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "shallotlug/joblog/follower.h"
#include "shallotlug/joblog/response_timer.h"
#include "shallotlug/platform/store_client.h"

namespace shallotlug::service {

struct FollowOptions {
  std::string store;
  std::string topic;
  Millis wait{400};  ///< One read waits so long for a record.
};

/// @brief Keeps a follower of a topic supplied, for as long as it lives.
class FollowLoop {
 public:
  /// @param on_page Called after each answered read.
  FollowLoop(boost::asio::io_context& context,
             const FollowOptions& options,
             joblog::Follower::OnRecord on_record,
             std::function<void()> on_page);

  void Start();

  const joblog::Follower& State() const { return follower_; }

  /// @brief Whether the last read had no answer.
  bool Lost() const { return lost_; }

 private:
  void Call();
  void Measure(joblog::ReadStatus status, Millis wait, TimePoint began);
  void OnAnswer(joblog::ReadStatus status, const std::string& detail);

  boost::asio::steady_timer timer_;
  platform::StoreClient client_;
  FollowOptions options_;
  joblog::Follower follower_;
  joblog::ResponseTimer response_timer_;
  std::function<void()> on_page_;
  bool lost_ = false;
};

}  // namespace shallotlug::service

#endif  // SHALLOTLUG_SERVICE_SRC_FOLLOW_LOOP_H_
