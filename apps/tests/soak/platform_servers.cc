#include "platform_servers.h"

#include <algorithm>
#include <utility>

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include "../processes.h"
#include "shallotlug/net/role_loop.h"
#include "task_name.h"

namespace shallotlug::soak {

namespace json = boost::json;
using executor::OrderResult;
using executor::OrderStatus;
using joblog::AppendStatus;
using joblog::ReadStatus;
using net::ExchangeId;
using net::HttpRequest;
using net::HttpResponse;
using net::HttpServer;
using net::ReadClock;
using platform::detail::ParseTaskName;
using platform::detail::TaskName;

namespace {

constexpr Millis kHeartbeat{500};
constexpr Millis kShortestLateness{500};
constexpr Millis kLongestLateness{4'000};
constexpr int kPerMille = 1'000;
constexpr const char* kHoldPath = "/api/hold";

bool Chance(std::mt19937_64& random, double share) {
  return std::uniform_real_distribution<>(0, 1)(random) < share;
}

Millis DrawLateness(std::mt19937_64& random) {
  return Millis(std::uniform_int_distribution<std::int64_t>(
      kShortestLateness.count(), kLongestLateness.count())(random));
}

std::optional<HttpServer> Listen(
    boost::asio::io_context& context,
    std::function<void(ExchangeId, HttpRequest)> handler) {
  net::HttpServerOptions options;
  options.address = "127.0.0.1:0";
  options.body_bytes = 4 << 20;
  return HttpServer::Listen(context, options, {std::move(handler), {}, {}})
      .value();
}

HttpResponse Answer(int status, const json::object& body) {
  HttpResponse response;
  response.status = status;
  response.body = json::serialize(body);
  return response;
}

void PutNumber(std::string& to, std::uint64_t n, int bytes) {
  for (int it = bytes; it-- > 0;) {
    to += static_cast<char>(n >> (8 * it) & 0xff);
  }
}

std::vector<workload::RawRecord> DecodeRecords(std::string_view body) {
  std::vector<workload::RawRecord> records;
  while (body.size() > 4) {
    std::size_t size = 0;
    for (int n = 0; n < 4; ++n) {
      size = size << 8 | static_cast<unsigned char>(body[n]);
    }
    const std::string_view record = body.substr(4, size);
    const auto key = static_cast<unsigned char>(record[0]);
    records.push_back({std::string(record.substr(1, key)),
                       std::string(record.substr(1U + key))});
    body.remove_prefix(4 + size);
  }
  return records;
}

std::string EncodePage(const joblog::ReadResult& page) {
  std::string body;
  PutNumber(body, page.end_offset, 8);
  PutNumber(body, 0, 8);
  for (const joblog::StoredRecord& it : page.records) {
    const auto& [key, value] = it.record;
    PutNumber(body, 1 + key.size() + value.size(), 4);
    PutNumber(body, key.size(), 1);
    body += key + value;
  }
  return body;
}

std::string EncodeBase64(const std::string& bytes) {
  namespace base64 = boost::beast::detail::base64;
  std::string text(base64::encoded_size(bytes.size()), '\0');
  text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
  return text;
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t end = target.find('&', at + 1);
    const std::string part = target.substr(at + 1, end - at - 1);
    const std::size_t equals = part.find('=');
    std::string value;
    for (std::size_t n = equals + 1; n < part.size(); ++n) {
      if (part[n] == '%') {
        value +=
            static_cast<char>(std::stoi(part.substr(n + 1, 2), nullptr, 16));
        n += 2;
      } else {
        value += part[n];
      }
    }
    query[part.substr(0, equals)] = value;
    at = end;
  }
  return query;
}

HttpResponse EncodeAppend(const joblog::AppendResult& result) {
  switch (result.status) {
    case AppendStatus::kDone:
      return Answer(200, {{"offset", result.first_offset},
                          {"end_offset", result.end_offset}});
    case AppendStatus::kMoved:
      return Answer(412, {{"end_offset", result.end_offset}});
    case AppendStatus::kFenced:
    case AppendStatus::kOutOfSequence:
      return Answer(409, {{"reason", result.detail}});
    default:
      return Answer(503, {});
  }
}

}  // namespace

StoreServer::StoreServer(boost::asio::io_context& context,
                         Topics& topics,
                         const StoreFaults& faults,
                         std::mt19937_64& random)
    : context_(context), topics_(topics), faults_(faults), random_(random) {
  server_ = Listen(context_, [this](ExchangeId id, const HttpRequest& it) {
    Handle(id, it);
  });
}

void StoreServer::Handle(ExchangeId id, const HttpRequest& request) {
  if (faults_.silent) {
    return;
  }
  if (faults_.busy || refuses_) {
    server_->Reply(id, Answer(503, {}));
    return;
  }
  auto query = QueryOf(request.target);
  const std::string topic = query["topic"];
  if (request.target.starts_with("/api/log-append")) {
    Append(id, topic, query, request.body);
  } else if (request.target.starts_with("/api/log-read")) {
    const WaitingRead read{
        id, topic, std::stoull(query["from"]),
        ReadClock() + Millis(std::stoll("0" + query["wait_ms"]))};
    if (!TryRead(read, read.until <= ReadClock())) {
      reads_.push_back(read);
    }
  } else {
    const auto page = topics_[topic].Newest("", query["depends_on"]);
    json::array items;
    for (const joblog::StoredRecord& it : page.records) {
      items.push_back(json::object{{"key", it.record.key},
                                   {"value", EncodeBase64(it.record.value)},
                                   {"offset", it.offset}});
    }
    server_->Reply(id, Answer(200, {{"items", std::move(items)},
                                    {"has_more", page.has_more},
                                    {"end_offset", page.end_offset}}));
  }
}

void StoreServer::Append(ExchangeId id,
                         const std::string& topic,
                         const std::map<std::string, std::string>& query,
                         const std::string& body) {
  joblog::AppendOptions options;
  if (query.contains("at")) {
    options.at = std::stoull(query.at("at"));
  }
  if (query.contains("producer")) {
    options.producer = {query.at("producer"), std::stoull(query.at("epoch")),
                        std::stoull(query.at("sequence"))};
  }
  const std::vector<workload::RawRecord> records = DecodeRecords(body);
  if (Chance(random_, faults_.late_appends)) {
    late_.push_back(
        {ReadClock() + DrawLateness(random_), topic, records, options});
    return;
  }
  const auto result = topics_[topic].Append("", records, options);
  if (Chance(random_, faults_.lost_answers)) {
    server_->Abort(id);
    return;
  }
  server_->Reply(id, EncodeAppend(result));
}

bool StoreServer::TryRead(const WaitingRead& read, bool last) {
  const auto page = topics_[read.topic].Read("", read.from);
  if (page.status == ReadStatus::kTrimmed) {
    server_->Reply(read.id, Answer(410, {}));
    return true;
  }
  if (page.records.empty() && !last) {
    return false;
  }
  HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = EncodePage(page);
  server_->Reply(read.id, std::move(response));
  return true;
}

void StoreServer::Tick(TimePoint now) {
  std::erase_if(late_, [&](const LateAppend& it) {
    if (now < it.at) {
      return false;
    }
    topics_[it.topic].Append("", it.records, it.options);
    return true;
  });
  std::erase_if(reads_, [&](const WaitingRead& it) {
    return faults_.silent || faults_.busy || TryRead(it, now >= it.until);
  });
}

Millis RealTime(const WorkerClock& clock, Millis time) {
  return time * kPerMille / (kPerMille - clock.slow_per_mille);
}

WorkerServer::WorkerServer(boost::asio::io_context& context,
                           jobharness::FakeFleet& fleet,
                           std::mt19937_64& random,
                           std::string machine,
                           const WorkerClock& clock)
    : fleet_(fleet),
      random_(random),
      machine_(std::move(machine)),
      clock_(clock),
      first_born_(fleet.Facts(machine_).life.born),
      heartbeats_(context) {
  server_ = Listen(context, [this](ExchangeId id, const HttpRequest& it) {
    Handle(id, it);
  });
}

Millis WorkerServer::Origin() const {
  return fleet_.Facts(machine_).life.born == first_born_ ? clock_.origin
                                                         : Millis(0);
}

std::int64_t WorkerServer::Shown(executor::WorkerTime time) const {
  const Millis slow =
      time.time_since_epoch() * (kPerMille - clock_.slow_per_mille) / kPerMille;
  return (Origin() + slow).count();
}

executor::OrderContext WorkerServer::DecodeContext(
    const json::object& body) const {
  executor::OrderContext context;
  context.worker = fleet_.Facts(machine_).life.id;
  context.epoch = body.at("fencing_token").to_number<std::uint64_t>();
  if (const auto* lease = body.if_contains("deadline_ms")) {
    const Millis until(lease->to_number<std::int64_t>());
    context.lease_until =
        executor::WorkerTime(RealTime(clock_, until - Origin()));
  }
  return context;
}

OrderResult WorkerServer::CarryOut(const HttpRequest& request) {
  const json::object body = json::parse(request.body).as_object();
  const executor::OrderContext context = DecodeContext(body);
  const TimePoint now = ReadClock();
  if (request.target == kHoldPath) {
    fleet_.Look(machine_, context,
                body.at("last_seen").to_number<std::uint64_t>(), now);
    return {};
  }
  const workload::RunRef run{*ParseTaskName(body.at("task").as_string()),
                             body.at("run_id").to_number<int>()};
  if (request.target != "/api/run-start") {
    return fleet_.Stop(machine_, context, run, now);
  }
  protocol::StartOrder order;
  order.run = run;
  order.payload = body.at("spec").as_string();
  if (const auto* checkpoint = body.if_contains("checkpoint")) {
    order.checkpoint = checkpoint->as_string();
  }
  return fleet_.Start(machine_, context, order, now);
}

void WorkerServer::Handle(ExchangeId id, const HttpRequest& request) {
  const TimePoint now = ReadClock();
  if (Chance(random_, late_share_)) {
    late_.push_back({now + DrawLateness(random_), request});
    return;
  }
  if (request.target == kHoldPath) {
    const json::object body = json::parse(request.body).as_object();
    const auto* wait = body.if_contains("wait_ms");
    const WaitingLook look{
        id, DecodeContext(body),
        body.at("last_seen").to_number<std::uint64_t>(),
        now + Millis(wait == nullptr ? 0 : wait->to_number<std::int64_t>())};
    if (!TryLook(look, wait == nullptr)) {
      looks_.push_back(look);
    }
    return;
  }
  const OrderResult result = CarryOut(request);
  if (loses_answers_) {
    server_->Abort(id);
    return;
  }
  static const std::map<OrderStatus, const char*> reasons{
      {OrderStatus::kFenced, "fence"},
      {OrderStatus::kSuperseded, "old"},
      {OrderStatus::kLeaseOver, "late"},
      {OrderStatus::kNoRoom, "room"}};
  json::object answer;
  if (result.clock) {
    answer["clock_ms"] = Shown(*result.clock);
  }
  const auto reason = reasons.find(result.status);
  if (reason != reasons.end()) {
    answer["reason"] = reason->second;
  }
  server_->Reply(
      id, Answer(result.status == OrderStatus::kDone ? 200 : 409, answer));
}

bool WorkerServer::TryLook(const WaitingLook& look, bool last) {
  const executor::WorkerView view =
      fleet_.Look(machine_, look.context, look.noted_ends, ReadClock());
  if (view.status != OrderStatus::kDone) {
    server_->Reply(look.id, Answer(409, {{"reason", "fence"}}));
    return true;
  }
  if (view.ends.empty() && !last) {
    return false;
  }
  json::array active;
  for (const workload::ActiveRun& it : view.active) {
    active.push_back(json::array{TaskName(it.run.task), it.run.run,
                                 it.checkpoint, it.percent});
  }
  json::array ends;
  for (const workload::RunEnd& it : view.ends) {
    ends.push_back(json::array{it.number, TaskName(it.run.task), it.run.run,
                               workload::Name(it.reason), it.checkpoint});
  }
  server_->Reply(look.id, Answer(200, {{"clock_ms", Shown(*view.clock)},
                                       {"born", view.born},
                                       {"active", std::move(active)},
                                       {"finished", std::move(ends)}}));
  return true;
}

void WorkerServer::Tick(TimePoint now) {
  std::erase_if(looks_, [&](const WaitingLook& it) {
    return TryLook(it, now >= it.until);
  });
  std::erase_if(late_, [&](const LateCall& it) {
    if (now < it.at) {
      return false;
    }
    CarryOut(it.request);
    return true;
  });
  if (now >= next_heartbeat_ && !heartbeats_.Busy() && !agent_.empty()) {
    next_heartbeat_ = now + kHeartbeat;
    SendHeartbeat();
  }
}

void WorkerServer::SendHeartbeat() {
  const workload::WorkerFacts facts = fleet_.Facts(machine_);
  net::HttpFetchOptions fetch;
  fetch.address = agent_;
  fetch.method = "PUT";
  fetch.target = "/api/instances/" + facts.life.id;
  fetch.timeout = Millis(1'000);
  json::array labels;
  for (const std::string& it : facts.labels) {
    labels.emplace_back(it);
  }
  fetch.body = json::serialize(json::object{
      {"service", facts.service},
      {"address", Address()},
      {"zone", "z"},
      {"state", "ready"},
      {"born", facts.life.born},
      {"sequence", fleet_.NextSequence(machine_)},
      {"capacity", json::object{{"cpu", facts.capacity.cpu_millis},
                                {"mem_mb", facts.capacity.memory_mib},
                                {"gpu", facts.capacity.accelerators}}},
      {"labels", std::move(labels)}});
  heartbeats_.Send(fetch, net::ConnectionUse::kReuseAndRepeat, [](const auto&) {
    // The next heartbeat says the same.
  });
}

}  // namespace shallotlug::soak
