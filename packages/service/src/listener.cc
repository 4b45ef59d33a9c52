#include "listener.h"

#include <sys/resource.h>

#include <optional>
#include <string>
#include <utility>

#include "shallotlug/base/logging.h"

namespace shallotlug::service {

namespace {

constexpr Millis kRejectionLogInterval{1'000};

/// @brief Writes a line about rejected requests at most once an interval, with
/// the number of those since the last line.
class RejectionLog {
 public:
  explicit RejectionLog(std::string listener)
      : listener_(std::move(listener)) {}

  void Add(const std::string& reason) {
    ++since_last_;
    const TimePoint now = net::ReadClock();
    if (logged_at_ && now - *logged_at_ < kRejectionLogInterval) {
      return;
    }
    logged_at_ = now;
    WriteLog(
        {LogLevel::kWarning,
         "http_rejected",
         {{"listener", listener_},
          {"reason", reason},
          {"since_last_line", std::to_string(std::exchange(since_last_, 0))}}});
  }

 private:
  std::string listener_;
  int since_last_ = 0;
  std::optional<TimePoint> logged_at_;
};

}  // namespace

net::HttpServerOptions OptionsOf(const settings::HttpLimits& limits,
                                 std::shared_ptr<net::RequestMemory> memory) {
  net::HttpServerOptions options;
  options.body_bytes = limits.body_bytes;
  options.connections = limits.connections;
  options.read_timeout = limits.read_timeout;
  options.idle_timeout = limits.idle_timeout;
  options.memory = std::move(memory);
  return options;
}

std::size_t DescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return static_cast<std::size_t>(limit.rlim_cur);
}

bool OpenListener(
    boost::asio::io_context& context,
    const net::HttpServerOptions& options,
    CounterTable& counters,
    std::function<void(net::ExchangeId, const net::HttpRequest&)> handler,
    std::optional<net::HttpServer>& server) {
  net::HttpServerHandlers handlers;
  handlers.on_request = std::move(handler);
  handlers.on_rejected = [&counters, log = RejectionLog(options.address)](
                             const std::string& reason) mutable {
    counters.AddTo("shallotlug_http_rejected_total", {{"reason", reason}});
    log.Add(reason);
  };
  auto opened = net::HttpServer::Listen(context, options, std::move(handlers));
  if (!opened) {
    net::LogListenFailure("http", options.address, opened.error());
    return false;
  }
  server.emplace(std::move(opened.value()));
  return true;
}

bool OpenMetrics(boost::asio::io_context& context,
                 const std::string& address,
                 net::MetricsSources sources,
                 std::shared_ptr<net::RequestMemory> memory,
                 net::MetricsServer& server) {
  const auto opened =
      server.Listen(context, address, std::move(sources), std::move(memory));
  if (!opened) {
    net::LogListenFailure("metrics", address, opened.error());
  }
  return opened.has_value();
}

}  // namespace shallotlug::service
