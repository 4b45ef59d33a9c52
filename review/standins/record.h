#ifndef REVIEW_STANDINS_RECORD_H_
#define REVIEW_STANDINS_RECORD_H_

#include <chrono>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

/// @brief What was sent, answered and run, one line each with its time.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path, std::ios::trunc) {}

  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f  ", Seconds());
    file_ << time << text << std::endl;
  }

  /// @brief Seconds since the case began.
  double Seconds() const {
    return std::chrono::duration<double>(Clock::now() - began_).count();
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  const Clock::time_point began_ = Clock::now();
};

}  // namespace review

#endif  // REVIEW_STANDINS_RECORD_H_
