#ifndef SHALLOTLUG_JOBLOG_RESPONSE_TIMER_H_
#define SHALLOTLUG_JOBLOG_RESPONSE_TIMER_H_

#include "shallotlug/base/clock.h"
#include "shallotlug/joblog/log_calls.h"

namespace shallotlug::joblog {

/// @brief Computes the timeout of calls to the log store.
///
/// The retransmission timer of RFC 6298: smoothed response time and variation,
/// doubled after each call without an answer. A call that times out too early
/// costs only a retry.
class ResponseTimer {
 public:
  /// @brief Timeout of the next call.
  Millis Timeout() const;

  /// @brief A call was answered after `took`.
  void OnAnswer(Millis took);

  /// @brief A call was not answered within the timeout.
  void OnTimeout();

  /// @brief An append has ended; its status tells whether it was answered.
  void OnAppend(AppendStatus status, Millis took);

 private:
  bool has_sample_ = false;
  Millis smoothed_{0};
  Millis variation_{0};
  int timeouts_ = 0;  ///< Consecutive.
};

}  // namespace shallotlug::joblog

#endif  // SHALLOTLUG_JOBLOG_RESPONSE_TIMER_H_
