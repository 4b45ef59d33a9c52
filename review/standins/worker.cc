#include "worker.h"

#include <algorithm>
#include <thread>

#include <boost/json.hpp>

namespace review {

namespace json = boost::json;

namespace {

constexpr Millis kTick{10};
constexpr Millis kHeartbeatTimeout{1'000};
constexpr int kMaxEndsListed = 500;

Millis LengthOf(const std::string& spec) {
  constexpr std::string_view kName = "run_ms=";
  const auto at = spec.find(kName);
  return Millis(at == std::string::npos
                    ? 1'000
                    : std::atoll(spec.c_str() + at + kName.size()));
}

}  // namespace

Worker::Worker(const WorkerOptions& options, Record& record)
    : options_(options),
      record_(record),
      server_([this](const Request& request) { return Handle(request); }) {
  BeginLife(false);
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(kTick);
      Tick();
    }
  }).detach();
}

void Worker::SetHoldFate(HoldFate fate) {
  const std::lock_guard<std::mutex> lock(mutex_);
  hold_fate_ = std::move(fate);
}

void Worker::CarryOutHold(std::uint64_t last_seen) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase_if(ends_, [&](const End& it) {
    if (it.number > last_seen) {
      return false;
    }
    record_.Line(options_.id + ": end " + std::to_string(it.number) + " of " +
                 it.task + " run " + std::to_string(it.run) +
                 " is taken note of by a late hold, last_seen " +
                 std::to_string(last_seen));
    return true;
  });
}

void Worker::BeginLife(bool keeps_id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  life_ += keeps_id ? 0 : 1;
  born_at_ = Clock::now();
  born_ms_ = std::chrono::duration_cast<Millis>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  highest_token_ = 0;
  lease_until_ = 0;
  active_.clear();
  closed_.clear();
  ends_.clear();
  next_end_ = 1;
}

std::string Worker::Id() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return options_.id + "-" + std::to_string(life_);
}

void Worker::Crash(Millis down, bool keeps_id) {
  is_up_ = false;
  server_.SetMode(LinkMode::kGone);
  record_.Line(Id() + " crashes");
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [task, run] : active_) {
      starts_[run.start].ended = record_.Seconds();
      starts_[run.start].how = "gone";
    }
    active_.clear();
  }
  std::this_thread::sleep_for(down);
  BeginLife(keeps_id);
  server_.SetMode(LinkMode::kOpen);
  is_up_ = true;
  record_.Line(Id() + " begins");
}

void Worker::Join(const std::string& agent) {
  std::thread([this, agent] { SendHeartbeats(agent); }).detach();
}

void Worker::SetFate(FateOf fate) {
  const std::lock_guard<std::mutex> lock(mutex_);
  fate_ = std::move(fate);
}

std::vector<Start> Worker::Starts() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return starts_;
}

std::int64_t Worker::ClockMs() const {
  return std::chrono::duration_cast<Millis>(Clock::now() - born_at_).count();
}

void Worker::SendHeartbeats(const std::string& agent) {
  HttpClient client(agent);
  for (std::uint64_t sequence = 1;; ++sequence) {
    while (!is_up_) {
      std::this_thread::sleep_for(kTick);
    }
    const std::string id = Id();
    Request request;
    request.method = "PUT";
    request.target = "/api/instances/" + id;
    request.headers = {{"host", agent}, {"content-type", "application/json"}};
    request.body = json::serialize(
        json::object{{"service", options_.service},
                     {"address", Address()},
                     {"zone", options_.zone},
                     {"version", "v1"},
                     {"slots", 8},
                     {"state", "ready"},
                     {"cold_left_ms", 0},
                     {"capacity", json::object{{"cpu", options_.cpu},
                                               {"mem_mb", options_.memory_mb},
                                               {"gpu", options_.gpu}}},
                     {"labels", json::array{"a", options_.rack}},
                     {"clock_ms", ClockMs()},
                     {"born", born_ms_.load()},
                     {"sequence", sequence}});
    client.Call(request, kHeartbeatTimeout);
    const auto next = Clock::now() + options_.heartbeat;
    while (Clock::now() < next && is_up_) {
      std::this_thread::sleep_for(kTick);
    }
  }
}

Response Worker::Reply(int status, const std::string& reason) {
  json::object body{{"clock_ms", ClockMs()}};
  if (!reason.empty()) {
    body["reason"] = reason;
  }
  return {status, json::serialize(body)};
}

std::optional<Response> Worker::Handle(const Request& request) {
  const auto expected = request.headers.find("x-shallotlug-expected-instance");
  if (expected != request.headers.end() && expected->second != Id()) {
    return Reply(421, "");
  }
  if (request.target == "/api/hold") {
    return Hold(request);
  }
  const json::object from = json::parse(request.body).as_object();
  Order order;
  order.task = std::string(from.at("task").as_string());
  order.run = from.at("run_id").to_number<int>();
  if (const auto* token = from.if_contains("fencing_token")) {
    order.token = token->to_number<std::uint64_t>();
  }
  if (const auto* deadline = from.if_contains("deadline_ms")) {
    order.deadline = deadline->to_number<std::int64_t>();
  }
  if (request.target == "/api/run-stop") {
    return StopRun(order);
  }
  if (request.target != "/api/run-start") {
    return Reply(404, "");
  }
  order.spec = std::string(from.at("spec").as_string());
  FateOf fate;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    fate = fate_;
  }
  const std::string text =
      Id() + ": start of " + order.task + " run " + std::to_string(order.run);
  if (fate && fate(order.task, order.run) == Fate::kLate) {
    record_.Line(text + " is not answered");
    std::thread([this, order, text] {
      std::this_thread::sleep_for(options_.lateness);
      const Response response = StartRun(order);
      record_.Line(text + ", carried out late: " +
                   std::to_string(response.status) + " " + response.body);
    }).detach();
    return std::nullopt;
  }
  const Response response = StartRun(order);
  record_.Line(text + ": " + std::to_string(response.status) + " " +
               response.body);
  return response;
}

bool Worker::IsFenced(std::uint64_t token) {
  if (token < highest_token_) {
    return true;
  }
  highest_token_ = token;
  return false;
}

void Worker::ExtendLease(std::optional<std::int64_t> deadline) {
  if (deadline) {
    lease_until_ = std::max(
        lease_until_,
        std::min(*deadline, ClockMs() + options_.longest_lease.count()));
  }
}

Response Worker::StartRun(const Order& order) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (IsFenced(order.token)) {
    return Reply(409, "fence");
  }
  ExtendLease(order.deadline);
  const auto present = active_.find(order.task);
  if (present != active_.end()) {
    return present->second.run == order.run ? Reply(200, "")
                                            : Reply(409, "old");
  }
  const auto closed = closed_.find(order.task);
  if (closed != closed_.end() && order.run <= closed->second) {
    return Reply(409, "old");
  }
  if (lease_until_ <= ClockMs()) {
    return Reply(409, "late");
  }
  active_[order.task] = {order.run, Clock::now(), LengthOf(order.spec),
                         starts_.size()};
  starts_.push_back(
      {options_.id, order.task, order.run, record_.Seconds(), -1, ""});
  return Reply(200, "");
}

Response Worker::StopRun(const Order& order) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (IsFenced(order.token)) {
    return Reply(409, "fence");
  }
  ExtendLease(order.deadline);
  record_.Line(options_.id + ": stop of " + order.task + " run " +
               std::to_string(order.run));
  int& closed = closed_[order.task];
  closed = std::max(closed, order.run);
  const auto present = active_.find(order.task);
  if (present != active_.end() && present->second.run <= order.run) {
    EndRun(order.task, "stopped");
  }
  return Reply(200, "");
}

std::optional<Response> Worker::Hold(const Request& request) {
  const json::object from = json::parse(request.body).as_object();
  const auto number = [&](const char* name) -> std::int64_t {
    const auto* it = from.if_contains(name);
    return it == nullptr ? 0 : it->to_number<std::int64_t>();
  };
  const auto until = Clock::now() + Millis(number("wait_ms"));
  std::unique_lock<std::mutex> lock(mutex_);
  if (IsFenced(static_cast<std::uint64_t>(number("fencing_token")))) {
    return Reply(409, "fence");
  }
  if (from.contains("deadline_ms")) {
    ExtendLease(number("deadline_ms"));
  }
  const auto seen = static_cast<std::uint64_t>(number("last_seen"));
  if (hold_fate_ && hold_fate_(seen, false)) {
    return std::nullopt;
  }
  std::erase_if(ends_, [&](const End& it) { return it.number <= seen; });
  ended_.wait_until(lock, until, [&] { return !ends_.empty(); });
  if (hold_fate_ && hold_fate_(seen, true)) {
    return std::nullopt;
  }
  json::array active;
  for (const auto& [task, run] : active_) {
    const auto passed =
        std::chrono::duration_cast<Millis>(Clock::now() - run.began);
    const auto percent =
        std::min<std::int64_t>(99, passed * 100 / std::max(run.length, kTick));
    active.push_back(json::array{task, run.run, "", percent, 0});
  }
  json::array finished;
  for (const End& it : ends_) {
    if (finished.size() < kMaxEndsListed) {
      finished.push_back(json::array{it.number, it.task, it.run, it.how, ""});
    }
  }
  return Response{
      200, json::serialize(json::object{{"clock_ms", ClockMs()},
                                        {"born", born_ms_.load()},
                                        {"active", std::move(active)},
                                        {"finished", std::move(finished)}})};
}

void Worker::EndRun(const std::string& task, const std::string& how) {
  const Run run = active_.at(task);
  active_.erase(task);
  int& closed = closed_[task];
  closed = std::max(closed, run.run);
  ends_.push_back({next_end_++, task, run.run, how});
  starts_[run.start].ended = record_.Seconds();
  starts_[run.start].how = how;
  record_.Line(options_.id + ": " + task + " run " + std::to_string(run.run) +
               " ends " + how);
  ended_.notify_all();
}

void Worker::Tick() {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::string> done;
  for (const auto& [task, run] : active_) {
    if (Clock::now() - run.began >= run.length) {
      done.push_back(task);
    }
  }
  for (const std::string& it : done) {
    EndRun(it, "done");
  }
  while (!active_.empty() && lease_until_ <= ClockMs()) {
    EndRun(active_.begin()->first, "lapsed");
  }
}

}  // namespace review
