#include "shallotlug/net/role_loop.h"

#include <csignal>
#include <ctime>
#include <random>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/outcome/try.hpp>

#include "shallotlug/base/logging.h"

namespace shallotlug::net {

namespace asio = boost::asio;

namespace {

constexpr Millis kStepInterval{50};
// Time for the last responses and messages to leave after the role's logic has
// finished its shutdown.
constexpr Millis kFlushTimeout{5'000};
// Scrapes and probes come from few places.
constexpr std::size_t kMetricsConnections = 64;
// Their requests have no body.
constexpr std::size_t kMetricsBodyBytes = 4'096;

Millis clock_offset{0};

HttpResponse PlainText(int status, std::string body) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; version=0.0.4; charset=utf-8";
  response.body = std::move(body);
  return response;
}

}  // namespace

TimePoint ReadClock() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Millis>(
                       std::chrono::seconds(now.tv_sec) +
                       std::chrono::nanoseconds(now.tv_nsec)) +
                   clock_offset);
}

void SetClockOffset(Millis offset) {
  clock_offset = offset;
}

std::uint64_t DrawNumber() {
  std::random_device device;
  std::uint64_t n = 0;
  while (n == 0) {
    n = static_cast<std::uint64_t>(device()) << 32 | device();
  }
  return n;
}

Incarnation DrawIncarnation() {
  std::uint64_t n = 0;
  while (n == 0) {
    n = DrawNumber() >> 1;
  }
  return Incarnation{n};
}

void SetUpLogging(const settings::LogSettings& settings,
                  const std::string& process) {
  shallotlug::SetUpLogging(
      {settings.level, settings.format == settings::LogFormat::kJson, process});
}

void WriteLogLines(const std::vector<LogLine>& lines) {
  for (const LogLine& line : lines) {
    WriteLog(line);
  }
}

void LogListenFailure(const std::string& what,
                      const std::string& address,
                      const std::error_code& ec) {
  WriteLog(
      {LogLevel::kError,
       "listen_failed",
       {{"listener", what}, {"address", address}, {"error", ec.message()}}});
}

RoleLoop::RoleLoop(asio::io_context& context)
    : context_(context), signals_(context, SIGTERM, SIGINT), timer_(context) {}

void RoleLoop::Run(std::function<void()> step) {
  step_ = std::move(step);
  WaitForSignal();
  StartTimer();
  Wake();
  context_.run();
}

void RoleLoop::Wake() {
  if (wake_posted_) {
    return;
  }
  wake_posted_ = true;
  asio::post(context_, [this] {
    wake_posted_ = false;
    Step();
  });
}

void RoleLoop::StopWhen(std::function<bool()> idle) {
  if (!stop_at_) {
    idle_ = std::move(idle);
    stop_at_ = ReadClock() + kFlushTimeout;
  }
}

void RoleLoop::WaitForSignal() {
  signals_.async_wait([this](const boost::system::error_code& ec, int number) {
    if (ec) {
      return;
    }
    WriteLog({LogLevel::kInfo,
              shutdown_requested_ ? "shutdown_forced" : "shutdown_requested",
              {{"signal", std::to_string(number)}}});
    if (shutdown_requested_) {
      context_.stop();
      return;
    }
    shutdown_requested_ = true;
    Wake();
    WaitForSignal();
  });
}

void RoleLoop::StartTimer() {
  timer_.expires_after(kStepInterval);
  timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      Step();
      StartTimer();
    }
  });
}

void RoleLoop::Step() {
  step_();
  CheckIdle();
}

void RoleLoop::CheckIdle() {
  if (stop_at_ && (idle_() || ReadClock() >= *stop_at_)) {
    context_.stop();
  }
}

boost::outcome_v2::std_result<void> MetricsServer::Listen(
    asio::io_context& context,
    const std::string& address,
    MetricsSources sources,
    std::shared_ptr<RequestMemory> memory) {
  sources_ = std::move(sources);
  HttpServerOptions options;
  options.address = address;
  options.connections = kMetricsConnections;
  options.body_bytes = kMetricsBodyBytes;
  options.memory = std::move(memory);
  HttpServerHandlers handlers;
  handlers.on_request = [this](ExchangeId id, const HttpRequest& request) {
    server_->Reply(id, Answer(request));
  };
  BOOST_OUTCOME_TRY(auto server,
                    HttpServer::Listen(context, options, std::move(handlers)));
  server_.emplace(std::move(server));
  return boost::outcome_v2::success();
}

HttpResponse MetricsServer::Answer(const HttpRequest& request) const {
  if (request.method != "GET" && request.method != "HEAD") {
    return ErrorResponse(405, "invalid", "method_not_allowed",
                         "this listener only answers GET");
  }
  if (request.target == "/metrics") {
    return PlainText(200, sources_.metrics());
  }
  if (request.target == "/healthz") {
    return PlainText(200, "ok\n");
  }
  if (request.target == "/readyz") {
    return sources_.ready() ? PlainText(200, "ready\n")
                            : PlainText(503, "not ready\n");
  }
  return ErrorResponse(404, "not_found", "unknown_path",
                       "this listener has /metrics, /healthz and /readyz");
}

}  // namespace shallotlug::net
