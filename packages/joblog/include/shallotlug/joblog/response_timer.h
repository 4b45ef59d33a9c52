#ifndef SHALLOTLUG_JOBLOG_RESPONSE_TIMER_H_
#define SHALLOTLUG_JOBLOG_RESPONSE_TIMER_H_

#include "shallotlug/base/clock.h"
#include "shallotlug/joblog/log_calls.h"

namespace shallotlug::joblog {

/// @brief How long to wait for the store's next answer.
///
/// The retransmission timer of RFC 6298: smoothed response time and variation,
/// doubled after each call without an answer. A call that is given up too
/// early costs only its repetition.
class ResponseTimer {
 public:
  /// @brief Time after which a call is given up.
  Millis Timeout() const;

  /// @brief A call was answered after `took`.
  void OnAnswer(Millis took);

  /// @brief A call was not answered within the timeout.
  void OnTimeout();

  /// @brief An append has ended; tells by its status whether it was answered.
  void OnAppend(AppendStatus status, Millis took);

 private:
  bool sampled_ = false;
  Millis smoothed_{0};
  Millis variation_{0};
  int timeouts_ = 0;  ///< In a row.
};

}  // namespace shallotlug::joblog

#endif  // SHALLOTLUG_JOBLOG_RESPONSE_TIMER_H_
