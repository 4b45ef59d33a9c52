#ifndef SHALLOTLUG_NET_ROLE_LOOP_H_
#define SHALLOTLUG_NET_ROLE_LOOP_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/counters.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/base/log_line.h"
#include "shallotlug/net/http_server.h"
#include "shallotlug/settings/settings.h"

namespace shallotlug::net {

/// @brief Reads a monotonic clock that also counts the time in which the
/// machine was suspended, so that leases lapse meanwhile.
TimePoint ReadClock();

/// @brief Moves the clock of this process, as if it ran on another machine. For
/// tests with several processes; called before the first reading.
void SetClockOffset(Millis offset);

/// @brief Draws a number other than 0 from the operating system.
std::uint64_t DrawNumber();

/// @brief Draws an incarnation. It fits a signed 64-bit number, because JSON
/// readers may know no other.
Incarnation DrawIncarnation();

void SetUpLogging(const settings::LogSettings& settings,
                  const std::string& process);

void WriteLogLines(const std::vector<LogLine>& lines);

/// @brief Logs why a listener cannot be opened.
void LogListenFailure(const std::string& what,
                      const std::string& address,
                      const std::error_code& ec);

/// @brief Calls the step of a role as soon as something has arrived and at
/// least every 50 ms, until told to stop.
class RoleLoop {
 public:
  explicit RoleLoop(boost::asio::io_context& context);

  /// @brief Runs until Stop or a second signal.
  void Run(std::function<void()> step);

  /// @brief Asks for a step; several calls before it make one step.
  void Wake();

  /// @brief Ends Run once `idle` is true, at the latest after a few seconds.
  void StopWhen(std::function<bool()> idle);

  bool ShutdownRequested() const { return shutdown_requested_; }

 private:
  void WaitForSignal();
  void StartTimer();
  void Step();
  void CheckIdle();

  boost::asio::io_context& context_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  std::function<void()> step_;
  std::function<bool()> idle_;
  std::optional<TimePoint> stop_at_;
  bool wake_posted_ = false;
  bool shutdown_requested_ = false;
};

/// @brief What the metrics listener shows.
struct MetricsSources {
  std::function<std::string()> metrics;
  std::function<bool()> ready;
};

/// @brief Serves `/metrics`, `/healthz` and `/readyz`. It stays at one place in
/// memory while it runs.
class MetricsServer {
 public:
  /// @param memory Shared by the listeners of the process; may be null.
  boost::outcome_v2::std_result<void> Listen(
      boost::asio::io_context& context,
      const std::string& address,
      MetricsSources sources,
      std::shared_ptr<RequestMemory> memory = nullptr);

 private:
  HttpResponse Answer(const HttpRequest& request) const;

  MetricsSources sources_;
  std::optional<HttpServer> server_;
};

}  // namespace shallotlug::net

#endif  // SHALLOTLUG_NET_ROLE_LOOP_H_
