#ifndef SHALLOTLUG_STANDIN_LOG_SERVICE_H_
#define SHALLOTLUG_STANDIN_LOG_SERVICE_H_

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/outcome/std_result.hpp>

#include "shallotlug/base/clock.h"

namespace shallotlug::standin {

struct LogServiceOptions {
  std::string listen;   ///< `ip:port` of the log service.
  std::string control;  ///< `ip:port` that serves `/control` in an outage too.
  std::size_t retain_records = 1'000'000;  ///< Per stream.
  Millis retain_for{3'600'000};
  int appends_per_second = 500;  ///< Further ones wait.
};

/// @brief Stand-in for the platform's log service, in memory.
///
/// `POST /control` takes any of
/// `{"outage":"none|refuse|hang|error","delay_ms":n,"lose_answers":n,
/// "retain_records":n,"retain_ms":n}`. `refuse` stops to listen, `hang` never
/// answers, `error` answers 503; `lose_answers` carries out that many appends
/// and closes their connections without an answer.
class LogService {
 public:
  static boost::outcome_v2::std_result<LogService> Listen(
      boost::asio::io_context& context,
      const LogServiceOptions& options);

  LogService(LogService&&) noexcept;
  LogService& operator=(LogService&&) noexcept;
  ~LogService();

  std::string Address() const;
  std::string ControlAddress() const;

 private:
  struct Impl;
  explicit LogService(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace shallotlug::standin

#endif  // SHALLOTLUG_STANDIN_LOG_SERVICE_H_
