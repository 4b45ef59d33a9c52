#include "shallotlug/standin/backend_server.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <random>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/outcome/try.hpp>

#include "call_after.h"
#include "shallotlug/net/http_server.h"
#include "target.h"

namespace shallotlug::standin {

namespace asio = boost::asio;
namespace json = boost::json;
using net::ErrorResponse;
using net::ExchangeId;
using net::HttpRequest;
using net::HttpResponse;

namespace {

constexpr std::size_t kBodyBytes = 64 << 20;

struct Poller {
  ExchangeId exchange{};
  std::uint64_t since = 0;
};

Millis Monotonic() {
  return std::chrono::duration_cast<Millis>(
      std::chrono::steady_clock::now().time_since_epoch());
}

HttpResponse JsonResponse(int status, const json::object& body) {
  HttpResponse response;
  response.status = status;
  response.body = json::serialize(body) + "\n";
  return response;
}

std::int64_t Count(TimePoint at) {
  return at.time_since_epoch().count();
}

}  // namespace

struct BackendServer::Impl {
  Impl(asio::io_context& io, const BackendServerOptions& settings)
      : context(io),
        options(settings),
        clock_offset(std::random_device()() % 1'000'000'000),
        worker(WithIncarnation(settings.worker), Now()),
        timer(io) {}

  static WorkerOptions WithIncarnation(WorkerOptions options) {
    options.incarnation = 1 + std::random_device()();
    return options;
  }

  // The worker's clock differs from that of every other process, so that a
  // time read on the wrong clock shows.
  TimePoint Now() const { return TimePoint(Monotonic() + clock_offset); }

  boost::outcome_v2::std_result<void> Listen() {
    net::HttpServerOptions http;
    http.address = options.listen;
    http.connections = options.connections;
    http.body_bytes = kBodyBytes;
    BOOST_OUTCOME_TRY(auto listening,
                      net::HttpServer::Listen(
                          context, http,
                          {[this](ExchangeId id, const HttpRequest& request) {
                             OnRequest(id, request);
                           },
                           [this](ExchangeId id) {
                             std::erase_if(pollers, [id](const Poller& it) {
                               return it.exchange == id;
                             });
                           },
                           {}}));
    server.emplace(std::move(listening));
    return boost::outcome_v2::success();
  }

  void Reply(ExchangeId id, HttpResponse response) {
    CallAfter(context, delay,
              [this, id, response = std::move(response)]() mutable {
                server->Reply(id, std::move(response));
              });
  }

  void OnRequest(ExchangeId id, const HttpRequest& request) {
    worker.Advance(Now());
    const Target target = ParseTarget(request.target);
    const auto& path = target.path;
    if (request.target.starts_with("/v1/status")) {
      OnStatus(id, target);
    } else {
      try {
        Reply(id, Answer(request, path));
      } catch (const std::exception& error) {
        Reply(id, ErrorResponse(400, "invalid", "bad_body", error.what()));
      }
    }
    Continue();
  }

  HttpResponse Answer(const HttpRequest& request,
                      const std::vector<std::string>& path) {
    if (request.target == "/history") {
      return History();
    }
    const json::value parsed = json::parse(request.body);
    const json::object& body = parsed.as_object();
    if (request.target == "/control") {
      return Control(body);
    }
    const json::value* incarnation = body.if_contains("incarnation");
    if (incarnation &&
        incarnation->to_number<std::uint64_t>() != worker.options.incarnation) {
      return Refusal(409, "incarnation_changed");
    }
    if (request.method == "PUT" && path.size() == 3 && path[1] == "tasks") {
      return Start(path[2], body);
    }
    if (request.method == "POST" && request.target == "/v1/leases") {
      return Renew(body);
    }
    if (request.method == "POST" && path.size() == 4 && path[1] == "tasks") {
      const std::string reason = worker.Control(path[2], path[3]);
      if (!reason.empty()) {
        return Refusal(reason == "unknown_task" ? 404 : 409, reason);
      }
      return JsonResponse(200, {{"now", Count(Now())}});
    }
    return Refusal(404, "unknown_path");
  }

  HttpResponse Refusal(int status, const std::string& reason) const {
    return JsonResponse(
        status, {{"error", status == 404 ? "not_found" : "conflict"},
                 {"reason", reason},
                 {"message", "the backend server did not do it: " + reason},
                 {"now", Count(Now())},
                 {"incarnation", worker.options.incarnation}});
  }

  HttpResponse Start(const std::string& task, const json::object& body) {
    WorkerStart start;
    start.task = task;
    start.live = body.at("live").as_bool();
    start.accelerators = body.at("accelerators").to_number<AcceleratorMask>();
    start.lease_until =
        TimePoint(Millis(body.at("lease_until").to_number<std::int64_t>()));
    start.body = std::string(body.at("body").as_string());
    start.checkpoint = std::string(body.at("checkpoint").as_string());
    std::string reason;
    const StartOutcome outcome = worker.Start(start, reason);
    if (outcome == StartOutcome::kRejected) {
      return Refusal(409, reason);
    }
    return JsonResponse(
        outcome == StartOutcome::kStarted ? 201 : 200,
        {{"now", Count(Now())}, {"incarnation", worker.options.incarnation}});
  }

  HttpResponse Renew(const json::object& body) {
    json::array unknown;
    for (const json::value& it : body.at("leases").as_array()) {
      const std::string task(it.at("task").as_string());
      const TimePoint until(
          Millis(it.at("lease_until").to_number<std::int64_t>()));
      if (!worker.Renew(task, until)) {
        unknown.emplace_back(task);
      }
    }
    return JsonResponse(
        200, {{"now", Count(Now())}, {"unknown", std::move(unknown)}});
  }

  HttpResponse Control(const json::object& body) {
    for (const auto& it : body) {
      const json::value& value = it.value();
      if (it.key() == "fail_all") {
        worker.controls.fail_all = value.as_bool();
      } else if (it.key() == "leaving") {
        worker.controls.leaving = value.as_bool();
      } else if (it.key() == "speed") {
        worker.controls.speed = value.to_number<double>();
      } else if (it.key() == "delay_ms") {
        delay = Millis(value.to_number<std::int64_t>());
      } else if (it.key() == "checkpoint_ms") {
        worker.options.checkpoint_time =
            Millis(value.to_number<std::int64_t>());
      } else if (it.key() == "usage_lag_ms") {
        worker.options.usage_lag = Millis(value.to_number<std::int64_t>());
      } else {
        return Refusal(400, "unknown control " + std::string(it.key()));
      }
    }
    worker.Touch();
    return JsonResponse(200, {{"ok", true}});
  }

  HttpResponse History() const {
    json::array lines;
    for (const HistoryLine& it : worker.History()) {
      lines.push_back(
          json::object{{"at", Count(it.at)},
                       {"monotonic_ms", Count(it.at) - clock_offset.count()},
                       {"what", it.what},
                       {"task", it.task},
                       {"accelerators", it.accelerators},
                       {"live", it.live},
                       {"body", it.body}});
    }
    return JsonResponse(200, {{"history", std::move(lines)}});
  }

  void OnStatus(ExchangeId id, const Target& target) {
    const std::uint64_t since = target.Number("since", 0);
    const Millis wait(static_cast<std::int64_t>(target.Number("wait_ms", 0)));
    // A number that this incarnation has not reached belongs to another one.
    if (since != worker.Sequence() || wait == Millis(0)) {
      Reply(id, Status(since));
      return;
    }
    pollers.push_back({id, since});
    CallAfter(context, wait, [this, id] {
      const auto it =
          std::find_if(pollers.begin(), pollers.end(),
                       [id](const Poller& p) { return p.exchange == id; });
      if (it != pollers.end()) {
        const std::uint64_t from = it->since;
        pollers.erase(it);
        worker.Advance(Now());
        Reply(id, Status(from));
      }
    });
  }

  HttpResponse Status(std::uint64_t since) const {
    json::array tasks;
    for (const auto& [id, task] : worker.Tasks()) {
      tasks.push_back(json::object{{"task", id},
                                   {"accelerators", task.start.accelerators},
                                   {"throttled", task.throttled},
                                   {"progress", task.reported_progress}});
    }
    json::array events;
    for (const WorkerEvent& it : worker.EventsAfter(since)) {
      events.push_back(json::object{{"seq", it.sequence},
                                    {"task", it.task},
                                    {"kind", it.kind},
                                    {"answer", it.answer},
                                    {"answer_length", it.answer.size()},
                                    {"reason", it.reason}});
    }
    return JsonResponse(200, {{"now", Count(Now())},
                              {"incarnation", worker.options.incarnation},
                              {"leaving", worker.controls.leaving},
                              {"seq", worker.Sequence()},
                              {"tasks", std::move(tasks)},
                              {"events", std::move(events)}});
  }

  // Answers pollers that have news, and waits for the next change.
  void Continue() {
    std::vector<Poller> waiting = std::exchange(pollers, {});
    for (const Poller& it : waiting) {
      if (it.since != worker.Sequence()) {
        Reply(it.exchange, Status(it.since));
      } else {
        pollers.push_back(it);
      }
    }
    const auto due = worker.NextDue();
    if (!due) {
      timer.cancel();
      return;
    }
    timer.expires_after(std::max(Millis(1), *due - Now()));
    timer.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        worker.Advance(Now());
        Continue();
      }
    });
  }

  asio::io_context& context;
  BackendServerOptions options;
  Millis clock_offset;
  Worker worker;
  Millis delay{0};
  std::vector<Poller> pollers;
  asio::steady_timer timer;
  std::optional<net::HttpServer> server;
};

BackendServer::BackendServer(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
BackendServer::BackendServer(BackendServer&&) noexcept = default;
BackendServer& BackendServer::operator=(BackendServer&&) noexcept = default;
BackendServer::~BackendServer() = default;

boost::outcome_v2::std_result<BackendServer> BackendServer::Listen(
    asio::io_context& context,
    const BackendServerOptions& options) {
  auto impl = std::make_unique<Impl>(context, options);
  BOOST_OUTCOME_TRYV(impl->Listen());
  return BackendServer(std::move(impl));
}

std::string BackendServer::Address() const {
  return impl_->server->Address();
}

}  // namespace shallotlug::standin
