#include "shallotlug/standin/log_service.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/post.hpp>
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
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::uint64_t kReadLimit = 10'000;
constexpr std::size_t kBodyBytes = 64 << 20;

enum class Outage { kNone, kRefuse, kHang, kError };

struct Record {
  std::string id;
  std::string data;
  Clock::time_point appended;
};

struct Reader {
  ExchangeId exchange{};
  std::uint64_t from = 0;
  std::uint64_t limit = 0;
  Clock::time_point until;
};

struct Stream {
  std::uint64_t start = 0;
  std::deque<Record> records;
  std::vector<Reader> waiting;

  std::uint64_t End() const { return start + records.size(); }
};

HttpResponse JsonResponse(const json::object& body) {
  HttpResponse response;
  response.body = json::serialize(body) + "\n";
  return response;
}

HttpResponse NotFound() {
  return ErrorResponse(404, "not_found", "unknown_path",
                       "the log service has /v1/streams/{name}/records");
}

}  // namespace

struct LogService::Impl {
  explicit Impl(asio::io_context& io, LogServiceOptions settings)
      : context(io), options(std::move(settings)) {}

  boost::outcome_v2::std_result<void> ListenLog() {
    net::HttpServerOptions http;
    http.address = address.empty() ? options.listen : address;
    http.body_bytes = kBodyBytes;
    BOOST_OUTCOME_TRY(
        auto listening,
        net::HttpServer::Listen(context, http,
                                {[this](ExchangeId id, HttpRequest request) {
                                   OnRequest(id, std::move(request));
                                 },
                                 {},
                                 {}}));
    server.emplace(std::move(listening));
    address = server->Address();
    return boost::outcome_v2::success();
  }

  boost::outcome_v2::std_result<void> ListenControl() {
    net::HttpServerOptions http;
    http.address = options.control;
    BOOST_OUTCOME_TRY(auto listening,
                      net::HttpServer::Listen(
                          context, http,
                          {[this](ExchangeId id, const HttpRequest& request) {
                             control->Reply(id, OnControl(request));
                           },
                           {},
                           {}}));
    control.emplace(std::move(listening));
    return boost::outcome_v2::success();
  }

  void Reply(ExchangeId id, HttpResponse response) {
    if (server) {
      server->Reply(id, std::move(response));
    }
  }

  void OnRequest(ExchangeId id, HttpRequest request) {
    if (outage == Outage::kHang) {
      return;
    }
    if (outage == Outage::kError) {
      Reply(id, ErrorResponse(503, "unavailable", "outage",
                              "the log service is down; try again later"));
      return;
    }
    const Target target = ParseTarget(request.target);
    if (target.path.size() != 4 || target.path[0] != "v1" ||
        target.path[1] != "streams" || target.path[3] != "records") {
      Reply(id, NotFound());
      return;
    }
    if (request.method == "GET") {
      CallAfter(context, delay, [this, id, target] { OnRead(id, target); });
      return;
    }
    if (request.method != "POST") {
      Reply(id, ErrorResponse(405, "invalid", "method_not_allowed",
                              "a stream takes GET and POST"));
      return;
    }
    // Appends take their turn at the rate of the service.
    const auto now = Clock::now();
    next_append =
        std::max(next_append, now) +
        std::chrono::nanoseconds(1'000'000'000) / options.appends_per_second;
    CallAfter(context, delay + (next_append - now),
              [this, id, name = target.path[2],
               body = std::move(request.body)] { OnAppend(id, name, body); });
  }

  void OnAppend(ExchangeId id,
                const std::string& name,
                const std::string& body) {
    std::vector<Record> records;
    try {
      const json::value parsed = json::parse(body);
      for (const json::value& it : parsed.at("records").as_array()) {
        records.push_back({std::string(it.at("id").as_string()),
                           std::string(it.at("data").as_string()),
                           Clock::now()});
      }
    } catch (const std::exception& error) {
      Reply(id, ErrorResponse(400, "invalid", "bad_body",
                              std::string("the body must be {\"records\":"
                                          "[{\"id\",\"data\"}]}: ") +
                                  error.what()));
      return;
    }
    Stream& stream = streams[name];
    const std::uint64_t first = stream.End();
    const std::size_t count = records.size();
    for (Record& it : records) {
      stream.records.push_back(std::move(it));
    }
    if (lose_answers > 0) {
      --lose_answers;
      if (server) {
        server->Abort(id);
      }
    } else {
      Reply(id, JsonResponse({{"first_offset", first},
                              {"last_offset", first + count - 1}}));
    }
    WakeReaders(stream);
    Retain(stream);
  }

  void WakeReaders(Stream& stream) {
    std::vector<Reader> waiting = std::exchange(stream.waiting, {});
    for (const Reader& it : waiting) {
      if (it.from < stream.End()) {
        Reply(it.exchange, ReadResponse(stream, it.from, it.limit));
      } else {
        stream.waiting.push_back(it);
      }
    }
  }

  void OnRead(ExchangeId id, const Target& target) {
    const std::string& name = target.path[2];
    Stream& stream = streams[name];
    Retain(stream);
    const std::uint64_t from = target.Number("from", 0);
    const std::uint64_t limit =
        std::min(target.Number("limit", kReadLimit), kReadLimit);
    const Millis wait(static_cast<std::int64_t>(target.Number("wait_ms", 0)));
    if (from < stream.End() || wait == Millis(0)) {
      Reply(id, ReadResponse(stream, from, limit));
      return;
    }
    stream.waiting.push_back({id, from, limit, Clock::now() + wait});
    CallAfter(context, wait, [this, id, name] { EndWait(id, name); });
  }

  void EndWait(ExchangeId id, const std::string& name) {
    Stream& stream = streams[name];
    const auto it =
        std::find_if(stream.waiting.begin(), stream.waiting.end(),
                     [id](const Reader& r) { return r.exchange == id; });
    if (it != stream.waiting.end()) {
      const Reader reader = *it;
      stream.waiting.erase(it);
      Reply(id, ReadResponse(stream, reader.from, reader.limit));
    }
  }

  static HttpResponse ReadResponse(const Stream& stream,
                                   std::uint64_t from,
                                   std::uint64_t limit) {
    json::array records;
    std::uint64_t offset = std::max(from, stream.start);
    for (; offset < stream.End() && records.size() < limit; ++offset) {
      const Record& it = stream.records[offset - stream.start];
      records.push_back(
          json::object{{"offset", offset}, {"id", it.id}, {"data", it.data}});
    }
    return JsonResponse({{"records", std::move(records)},
                         {"start", stream.start},
                         {"end", stream.End()}});
  }

  void Retain(Stream& stream) const {
    const auto oldest = Clock::now() - options.retain_for;
    while (!stream.records.empty() &&
           (stream.records.size() > options.retain_records ||
            stream.records.front().appended < oldest)) {
      stream.records.pop_front();
      ++stream.start;
    }
  }

  HttpResponse OnControl(const HttpRequest& request) {
    if (request.method != "POST" || request.target != "/control") {
      return ErrorResponse(404, "not_found", "unknown_path",
                           "this listener has POST /control");
    }
    try {
      const json::value parsed = json::parse(request.body);
      for (const auto& it : parsed.as_object()) {
        Set(it.key(), it.value());
      }
    } catch (const std::exception& error) {
      return ErrorResponse(400, "invalid", "bad_body", error.what());
    }
    return JsonResponse({{"ok", true}});
  }

  void Set(std::string_view key, const json::value& value) {
    if (key == "outage") {
      SetOutage(std::string(value.as_string()));
    } else if (key == "delay_ms") {
      delay = Millis(value.to_number<std::int64_t>());
    } else if (key == "lose_answers") {
      lose_answers = value.to_number<int>();
    } else if (key == "retain_records") {
      options.retain_records = value.to_number<std::size_t>();
    } else if (key == "retain_ms") {
      options.retain_for = Millis(value.to_number<std::int64_t>());
    } else {
      throw std::invalid_argument("unknown control " + std::string(key));
    }
    for (auto& [name, stream] : streams) {
      Retain(stream);
    }
  }

  void SetOutage(const std::string& word) {
    if (word == "none") {
      outage = Outage::kNone;
    } else if (word == "refuse") {
      outage = Outage::kRefuse;
    } else if (word == "hang") {
      outage = Outage::kHang;
    } else if (word == "error") {
      outage = Outage::kError;
    } else {
      throw std::invalid_argument("unknown outage " + word);
    }
    if (outage == Outage::kRefuse) {
      server.reset();
      for (auto& [name, stream] : streams) {
        stream.waiting.clear();
      }
    } else if (!server) {
      const auto listening = ListenLog();
      if (!listening) {
        throw std::runtime_error("cannot listen again: " +
                                 listening.error().message());
      }
    }
  }

  asio::io_context& context;
  LogServiceOptions options;
  std::string address;
  std::map<std::string, Stream> streams;
  Outage outage = Outage::kNone;
  Clock::duration delay{};
  int lose_answers = 0;
  Clock::time_point next_append;
  std::optional<net::HttpServer> server;
  std::optional<net::HttpServer> control;
};

LogService::LogService(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
LogService::LogService(LogService&&) noexcept = default;
LogService& LogService::operator=(LogService&&) noexcept = default;
LogService::~LogService() = default;

boost::outcome_v2::std_result<LogService> LogService::Listen(
    asio::io_context& context,
    const LogServiceOptions& options) {
  auto impl = std::make_unique<Impl>(context, options);
  BOOST_OUTCOME_TRYV(impl->ListenLog());
  BOOST_OUTCOME_TRYV(impl->ListenControl());
  return LogService(std::move(impl));
}

std::string LogService::Address() const {
  return impl_->address;
}

std::string LogService::ControlAddress() const {
  return impl_->control->Address();
}

}  // namespace shallotlug::standin
