#include "platform.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr std::size_t kRecordBytes = 262'144;
constexpr std::size_t kRequestBytes = 2'097'152;
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kRememberedAppends = 5;
constexpr int kStoreAnswerMs = 4;
constexpr int kHeartbeatMs = 1'500;
constexpr int kTickMs = 10;
constexpr std::int64_t kCheckpointMs = 2'000;
constexpr std::size_t kListedEnds = 500;
constexpr int kLoopback = 0x7f000001;

const auto kStart = std::chrono::steady_clock::now();

std::mutex record_mutex;
std::FILE* record_file = nullptr;
bool untroubled = false;
std::mutex events_mutex;
std::vector<RunEvent> events;

bool SendAll(int socket, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t n = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

// Reads until `text` holds `size` bytes, or the end of a header if that is 0.
bool ReadUpTo(int socket,
              std::string& text,
              std::size_t size,
              std::int64_t until_ms) {
  const auto enough = [&] {
    return size == 0 ? text.find("\r\n\r\n") != std::string::npos
                     : text.size() >= size;
  };
  while (!enough()) {
    pollfd poll_for{socket, POLLIN, 0};
    const std::int64_t left = until_ms - NowMs();
    if (left <= 0 || poll(&poll_for, 1, static_cast<int>(left)) <= 0) {
      return false;
    }
    char buf[65536];
    const ssize_t n = recv(socket, buf, sizeof buf, 0);
    if (n <= 0) {
      return false;
    }
    text.append(buf, static_cast<std::size_t>(n));
  }
  return true;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
};

bool ReadMessage(int socket,
                 std::string& text,
                 Message& to,
                 std::int64_t until_ms) {
  if (!ReadUpTo(socket, text, 0, until_ms)) {
    return false;
  }
  const std::size_t end = text.find("\r\n\r\n");
  std::istringstream lines(text.substr(0, end + 2));
  std::string line;
  std::getline(lines, to.first_line);
  while (std::getline(lines, line) && line.size() > 1) {
    const std::size_t colon = line.find(':');
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r ") + 1);
    to.headers[Lower(line.substr(0, colon))] = value;
  }
  const auto length = to.headers.find("content-length");
  const std::size_t size =
      length == to.headers.end() ? 0 : std::stoull(length->second);
  if (size > 0 && !ReadUpTo(socket, text, end + 4 + size, until_ms)) {
    return false;
  }
  to.body = text.substr(end + 4, size);
  text.erase(0, end + 4 + size);
  return true;
}

sockaddr_in ToEndpoint(const std::string& address) {
  sockaddr_in to{};
  const std::size_t colon = address.find(':');
  to.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  to.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
  return to;
}

int Listen(std::string& address) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(kLoopback);
  socklen_t size = sizeof at;
  if (bind(socket, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      listen(socket, 256) != 0) {
    std::perror("listen");
    std::exit(2);
  }
  getsockname(socket, reinterpret_cast<sockaddr*>(&at), &size);
  address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  return socket;
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

std::uint64_t NumberOf(const std::map<std::string, std::string>& query,
                       const std::string& key) {
  const auto it = query.find(key);
  return it == query.end() ? 0 : std::stoull(it->second);
}

void PutNumber(std::string& to, std::uint64_t n, int bytes) {
  for (int it = bytes; it-- > 0;) {
    to += static_cast<char>(n >> (8 * it) & 0xff);
  }
}

std::string EncodeBase64(const std::string& bytes) {
  static constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t n = 0; n < bytes.size(); n += 3) {
    std::uint32_t group = 0;
    for (std::size_t it = 0; it < 3; ++it) {
      group = group << 8 |
              (n + it < bytes.size() ? static_cast<unsigned char>(bytes[n + it])
                                     : 0);
    }
    for (std::size_t it = 0; it < 4; ++it) {
      text +=
          n + it <= bytes.size() ? kDigits[group >> (18 - 6 * it) & 63] : '=';
    }
  }
  return text;
}

HttpResponse Json(int status, const json::object& body) {
  return {status, json::serialize(body)};
}

std::int64_t Int(const json::object& from, const char* key) {
  const auto* it = from.if_contains(key);
  return it == nullptr ? 0 : it->to_number<std::int64_t>();
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

void WriteFile(const std::string& path, const json::object& content) {
  std::ofstream(path) << json::serialize(content);
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void OpenRecord(const std::string& path) {
  record_file = std::fopen(path.c_str(), "w");
  signal(SIGPIPE, SIG_IGN);
}

void Record(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  if (record_file != nullptr) {
    std::fprintf(record_file, "%9.3f s  %s\n",
                 static_cast<double>(NowMs()) / 1000.0, line.c_str());
    std::fflush(record_file);
  }
}

// Below the ports that the system gives to others. Scripts that run side by
// side begin at different ports.
std::string FreeAddress() {
  constexpr int kFirst = 20'000;
  constexpr int kPorts = 12'000;
  static int next = getpid() * 97 % kPorts;
  for (;;) {
    const std::string address =
        "127.0.0.1:" + std::to_string(kFirst + next++ % kPorts);
    const sockaddr_in at = ToEndpoint(address);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool bound =
        bind(socket, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    close(socket);
    if (bound) {
      return address;
    }
  }
}

std::optional<HttpResponse> Call(
    const std::string& address,
    const std::string& method,
    const std::string& target,
    const std::map<std::string, std::string>& headers,
    const std::string& body,
    int timeout_ms) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = ToEndpoint(address);
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  if (!headers.contains("Host")) {
    text += "Host: " + address + "\r\n";
  }
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Type: application/json\r\nConnection: close\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::optional<HttpResponse> response;
  std::string read;
  Message message;
  if (connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0 &&
      SendAll(socket, text) &&
      ReadMessage(socket, read, message, NowMs() + timeout_ms)) {
    response =
        HttpResponse{std::stoi(message.first_line.substr(9, 3)), message.body};
  }
  close(socket);
  return response;
}

HttpServer::HttpServer(Handler handler) : handler_(std::move(handler)) {
  listener_ = Listen(address_);
  std::thread([this] { Accept(); }).detach();
}

void HttpServer::SetDown(bool down) {
  const std::lock_guard lock(mutex_);
  down_ = down;
  if (down) {
    for (const int it : open_) {
      shutdown(it, SHUT_RDWR);
    }
  }
}

void HttpServer::Accept() {
  for (;;) {
    const int socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard lock(mutex_);
    if (down_) {
      const linger reset{1, 0};
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close(socket);
      continue;
    }
    open_.push_back(socket);
    std::thread([this, socket] { Serve(socket); }).detach();
  }
}

void HttpServer::Serve(int socket) {
  constexpr std::int64_t kIdleMs = 200'000;
  std::string text;
  for (;;) {
    Message message;
    if (!ReadMessage(socket, text, message, NowMs() + kIdleMs)) {
      break;
    }
    std::istringstream line(message.first_line);
    HttpRequest request;
    line >> request.method >> request.target;
    request.headers = std::move(message.headers);
    request.body = std::move(message.body);
    std::optional<HttpResponse> response;
    try {
      response = handler_(std::move(request));
    } catch (const std::exception&) {
      response = HttpResponse{400, "{}"};
    }
    // A connection on which an answer is lost returns nothing further.
    if (!response) {
      ReadUpTo(socket, text, std::string::npos, NowMs() + kIdleMs);
      break;
    }
    const std::string head =
        "HTTP/1.1 " + std::to_string(response->status) +
        " -\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(response->body.size()) + "\r\n\r\n";
    if (!SendAll(socket, head + response->body)) {
      break;
    }
  }
  const std::lock_guard lock(mutex_);
  std::erase(open_, socket);
  close(socket);
}

Store::Store() {
  server_ = std::make_unique<HttpServer>(
      [this](const HttpRequest& it) { return Handle(it); });
}

void Store::Put(Topic& topic, Entry entry) {
  if (entry.value.empty()) {
    topic.newest.erase(entry.key);
  } else {
    topic.newest[entry.key] = topic.records.size();
  }
  topic.records.push_back(std::move(entry));
}

void Store::WriteOperator(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Put(topics_["keyed.op"], {key, value});
  Record("operator writes " + key + ", acknowledged");
}

HttpResponse Store::Handle(const HttpRequest& request) {
  SleepMs(kStoreAnswerMs);
  const Query query = QueryOf(request.target);
  if (request.target.starts_with("/api/log-append")) {
    return Append(query, request.body);
  }
  if (request.target.starts_with("/api/log-read")) {
    return Read(query);
  }
  if (request.target.starts_with("/api/log-newest")) {
    return Newest(query);
  }
  return Json(404, {});
}

HttpResponse Store::Append(const Query& query, const std::string& body) {
  std::vector<Entry> entries;
  std::string_view left = body;
  while (!left.empty()) {
    std::size_t size = 0;
    for (int n = 0; n < 4 && left.size() >= 4; ++n) {
      size = size << 8 | static_cast<unsigned char>(left[n]);
    }
    if (left.size() < 4 + size || size == 0 || size > kRecordBytes ||
        body.size() > kRequestBytes) {
      Record("store refuses an append of " + std::to_string(body.size()) +
             " bytes with a record of " + std::to_string(size) + " bytes: 400");
      return Json(400, {});
    }
    const auto key = static_cast<unsigned char>(left[4]);
    entries.push_back({std::string(left.substr(5, key)),
                       std::string(left.substr(5U + key, size - 1 - key))});
    left.remove_prefix(4 + size);
  }
  const std::lock_guard lock(mutex_);
  Topic& topic = topics_[query.at("topic")];
  Producer* producer = nullptr;
  const std::uint64_t epoch = NumberOf(query, "epoch");
  const std::uint64_t sequence = NumberOf(query, "sequence");
  if (query.contains("producer")) {
    producer = &topic.producers[query.at("producer")];
    if (producer->known && epoch < producer->epoch) {
      return Json(409, {{"reason", "fenced"}});
    }
    if (producer->known && epoch == producer->epoch) {
      for (const Producer::Done& it : producer->last) {
        if (it.sequence == sequence) {
          return it.response;
        }
      }
      if (sequence != producer->sequence + 1) {
        return Json(409,
                    {{"reason", "seq"}, {"sequence", producer->sequence + 1}});
      }
    }
  }
  if (query.contains("at") && NumberOf(query, "at") != topic.records.size()) {
    return Json(412, {{"end_offset", topic.records.size()}});
  }
  const std::uint64_t first = topic.records.size();
  for (Entry& it : entries) {
    Put(topic, std::move(it));
  }
  const HttpResponse response =
      Json(200, {{"offset", first}, {"end_offset", topic.records.size()}});
  if (producer != nullptr) {
    if (epoch != producer->epoch) {
      producer->last.clear();
    }
    producer->known = true;
    producer->epoch = epoch;
    producer->sequence = sequence;
    producer->last.push_back({sequence, response});
    if (producer->last.size() > kRememberedAppends) {
      producer->last.pop_front();
    }
  }
  return response;
}

HttpResponse Store::Read(const Query& query) {
  const std::uint64_t from = NumberOf(query, "from");
  const std::int64_t until =
      NowMs() + static_cast<std::int64_t>(NumberOf(query, "wait_ms"));
  const std::size_t limit = 1'024 * (query.contains("max_kilobytes")
                                         ? NumberOf(query, "max_kilobytes")
                                         : 1'024);
  for (;;) {
    {
      const std::lock_guard lock(mutex_);
      const Topic& topic = topics_[query.at("topic")];
      if (from < topic.records.size() || NowMs() >= until) {
        std::string body;
        PutNumber(body, topic.records.size(), 8);
        PutNumber(body, 0, 8);
        for (std::size_t n = from; n < topic.records.size(); ++n) {
          const Entry& it = topic.records[n];
          const std::size_t size = 1 + it.key.size() + it.value.size();
          if (n > from && body.size() + size > limit) {
            break;
          }
          PutNumber(body, size, 4);
          PutNumber(body, it.key.size(), 1);
          body += it.key + it.value;
        }
        return {200, body};
      }
    }
    SleepMs(2);
  }
}

HttpResponse Store::Newest(const Query& query) {
  const std::lock_guard lock(mutex_);
  const Topic& topic = topics_[query.at("topic")];
  const auto after = query.find("depends_on");
  auto it = after == query.end() ? topic.newest.begin()
                                 : topic.newest.upper_bound(after->second);
  json::array items;
  std::size_t bytes = 0;
  for (; it != topic.newest.end() && items.size() < kPageItems &&
         bytes < 1'000'000;
       ++it) {
    const std::string& value = topic.records[it->second].value;
    bytes += value.size();
    items.push_back(json::object{{"key", it->first},
                                 {"value", EncodeBase64(value)},
                                 {"offset", it->second}});
  }
  return Json(200, {{"items", std::move(items)},
                    {"has_more", it != topic.newest.end()},
                    {"end_offset", topic.records.size()}});
}

std::string SpecOf(const TaskPlan& plan) {
  json::object spec{{"cpu", plan.cpu},
                    {"mem_mb", plan.mem_mb},
                    {"gpu", plan.gpu},
                    {"work_ms", plan.work_ms}};
  if (plan.saves) {
    spec["saves"] = true;
  }
  if (plan.spread > 0) {
    spec["spread"] = plan.spread;
  }
  if (plan.padding > 0) {
    spec["text"] = std::string(plan.padding, 'x');
  }
  return json::serialize(spec);
}

// Tasks of one step take different times.
std::int64_t WorkOf(const std::string& task, std::int64_t work_ms, int spread) {
  if (spread == 0) {
    return work_ms;
  }
  const auto n =
      static_cast<std::int64_t>(std::hash<std::string>()(task) % 2'001);
  return work_ms + work_ms * spread / 100 * (n - 1'000) / 1'000;
}

std::int64_t Worker::Run::WorkedMs() const {
  return resumed_ms + NowMs() - started_ms;
}

// The work that it contains, and some digits of the task's own.
std::string Worker::Run::Checkpoint(const std::string& task) const {
  const std::int64_t saved = WorkedMs() / kCheckpointMs * kCheckpointMs;
  if (!plan.saves || saved <= 0) {
    return "";
  }
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(saved),
                static_cast<unsigned>(std::hash<std::string>()(task)));
  return text;
}

Worker::Worker(const WorkerSetup& setup, std::string agent)
    : setup_(setup), agent_(std::move(agent)) {
  server_ = std::make_unique<HttpServer>(
      [this](const HttpRequest& it) { return Handle(it); });
  server_->SetDown(true);
  std::thread([this] {
    for (;;) {
      SleepMs(kTickMs);
      Tick();
    }
  }).detach();
  std::thread([this] {
    for (;;) {
      SleepMs(kTickMs);
      std::string state;
      {
        const std::lock_guard lock(mutex_);
        if (!up_ || NowMs() < next_heartbeat_ms_) {
          continue;
        }
        state = draining_ ? "draining" : "ready";
        next_heartbeat_ms_ = NowMs() + kHeartbeatMs;
      }
      SendHeartbeat(state);
    }
  }).detach();
}

void Worker::Start() {
  const std::lock_guard lock(mutex_);
  born_ = UnixMs();
  born_at_ms_ = NowMs();
  sequence_ = 0;
  fence_ = 0;
  deadline_ms_ = 0;
  next_end_ = 1;
  next_heartbeat_ms_ = 0;
  active_.clear();
  ends_.clear();
  highest_over_.clear();
  draining_ = false;
  up_ = true;
  server_->SetDown(false);
  Record("worker " + setup_.id + " starts, born " + std::to_string(born_));
}

void Worker::EndLife() {
  up_ = false;
  for (const auto& [task, run] : active_) {
    Note(task, run.number, "gone");
  }
  active_.clear();
  server_->SetDown(true);
}

void Worker::Crash() {
  const std::lock_guard lock(mutex_);
  Record("worker " + setup_.id + " crashes");
  EndLife();
}

void Worker::Leave(std::int64_t drain_ms) {
  {
    const std::lock_guard lock(mutex_);
    draining_ = true;
  }
  while (!SendHeartbeat("draining")) {
    SleepMs(kTickMs);
  }
  Record("worker " + setup_.id + " is draining, acknowledged");
  SleepMs(drain_ms);
  const auto response =
      Call(agent_, "DELETE", "/api/instances/" + setup_.id, {}, "", 3'000);
  const std::lock_guard lock(mutex_);
  Record("worker " + setup_.id + " has sent DELETE (" +
         (response ? std::to_string(response->status) : "no answer") +
         ") and ends");
  EndLife();
}

void Worker::SetLateness(
    std::function<std::int64_t(const std::string& task)> it) {
  const std::lock_guard lock(mutex_);
  lateness_ = std::move(it);
}

void Worker::SetHanging(bool hanging) {
  const std::lock_guard lock(mutex_);
  hanging_ = hanging;
  Record("worker " + setup_.id + (hanging ? " hangs" : " answers again"));
}

int Worker::ActiveRuns() {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(active_.size());
}

bool Worker::Runs(const std::string& job) {
  const std::lock_guard lock(mutex_);
  return std::any_of(active_.begin(), active_.end(),
                     [&](const auto& it) { return JobOf(it.first) == job; });
}

bool Worker::Up() {
  const std::lock_guard lock(mutex_);
  return up_;
}

std::vector<RunEvent> Worker::Events() {
  const std::lock_guard lock(events_mutex);
  return events;
}

std::int64_t Worker::Clock() const {
  return NowMs() - born_at_ms_;
}

HttpResponse Worker::Answer(int status, json::object body) const {
  body["clock_ms"] = Clock();
  body["born"] = born_;
  return Json(status, body);
}

bool Worker::TakeFence(const json::object& body) {
  const auto fence = static_cast<std::uint64_t>(Int(body, "fencing_token"));
  if (fence < fence_) {
    return false;
  }
  fence_ = fence;
  return true;
}

void Worker::TakeDeadline(const json::object& body) {
  const std::int64_t longest = Clock() + setup_.hold_max_ms;
  deadline_ms_ =
      std::max(deadline_ms_, std::min(Int(body, "deadline_ms"), longest));
}

void Worker::Note(const std::string& task,
                  int run,
                  const std::string& how) const {
  Record("worker " + setup_.id + ": " + task + " run " + std::to_string(run) +
         " " + how);
  const std::lock_guard lock(events_mutex);
  events.push_back({NowMs(), setup_.id, born_, task, run, how});
}

void Worker::Finish(const std::string& task, const std::string& how) {
  const auto it = active_.find(task);
  const int run = it->second.number;
  const std::string checkpoint =
      how == "done" ? "" : it->second.Checkpoint(task);
  active_.erase(it);
  highest_over_[task] = std::max(highest_over_[task], run);
  ends_.push_back({next_end_++, task, run, how, checkpoint});
  Note(task, run, how);
}

std::optional<HttpResponse> Worker::Handle(const HttpRequest& request) {
  const auto expected = request.headers.find("x-shallotlug-expected-instance");
  const json::object body = json::parse(request.body).as_object();
  std::unique_lock lock(mutex_);
  if (!up_ || hanging_) {
    return std::nullopt;
  }
  if (expected != request.headers.end() && expected->second != setup_.id) {
    return Answer(421, {});
  }
  if (request.target == "/api/run-start") {
    const std::string task(body.at("task").as_string());
    const std::int64_t late = lateness_ ? lateness_(task) : 0;
    if (late > 0) {
      Record("worker " + setup_.id + ": start of " + task + " run " +
             std::to_string(Int(body, "run_id")) +
             " is left without an answer, to be carried out after " +
             std::to_string(late) + " ms");
      std::thread([this, body, late, task] {
        SleepMs(late);
        const std::lock_guard guard(mutex_);
        if (up_) {
          const HttpResponse response = StartRun(body);
          Record("worker " + setup_.id + ": late start of " + task +
                 " carried out: " + std::to_string(response.status) + " " +
                 response.body);
        }
      }).detach();
      return std::nullopt;
    }
    return StartRun(body);
  }
  if (request.target == "/api/run-stop") {
    return StopRun(body);
  }
  if (request.target != "/api/hold") {
    return Answer(404, {});
  }
  const std::int64_t until = NowMs() + Int(body, "wait_ms");
  const std::int64_t born = born_;
  HttpResponse response = Hold(body);
  while (NowMs() < until && ends_.empty() && up_ && born_ == born) {
    lock.unlock();
    SleepMs(2);
    lock.lock();
  }
  if (!up_ || hanging_ || born_ != born) {
    return std::nullopt;
  }
  return response.status == 200 ? Hold(body) : response;
}

HttpResponse Worker::StartRun(const json::object& body) {
  if (!TakeFence(body)) {
    return Answer(409, {{"reason", "fence"}});
  }
  const std::string task(body.at("task").as_string());
  const auto number = static_cast<int>(Int(body, "run_id"));
  TakeDeadline(body);
  const auto active = active_.find(task);
  if (active != active_.end() && active->second.number == number) {
    return Answer(200, {});
  }
  const auto over = highest_over_.find(task);
  if ((over != highest_over_.end() && number <= over->second) ||
      active != active_.end()) {
    return Answer(409, {{"reason", "old"}});
  }
  if (deadline_ms_ <= Clock()) {
    return Answer(409, {{"reason", "late"}});
  }
  const json::object spec =
      json::parse(std::string_view(body.at("spec").as_string())).as_object();
  Run run;
  run.number = number;
  run.plan = {
      Int(spec, "cpu"), Int(spec, "mem_mb"), Int(spec, "gpu"),
      WorkOf(task, Int(spec, "work_ms"), static_cast<int>(Int(spec, "spread"))),
      spec.contains("saves")};
  run.started_ms = NowMs();
  if (const auto* checkpoint = body.if_contains("checkpoint")) {
    run.resumed_ms = std::stoll(
        std::string(checkpoint->as_string()).substr(0, 8), nullptr, 16);
  }
  TaskPlan used = run.plan;
  for (const auto& [name, it] : active_) {
    used.cpu += it.plan.cpu;
    used.mem_mb += it.plan.mem_mb;
    used.gpu += it.plan.gpu;
  }
  if (used.cpu > setup_.cpu || used.mem_mb > setup_.mem_mb ||
      used.gpu > setup_.gpu) {
    return Answer(409, {{"reason", "room"}});
  }
  active_[task] = run;
  Note(task, number, "start");
  return Answer(200, {});
}

HttpResponse Worker::StopRun(const json::object& body) {
  if (!TakeFence(body)) {
    return Answer(409, {{"reason", "fence"}});
  }
  TakeDeadline(body);
  const std::string task(body.at("task").as_string());
  const auto number = static_cast<int>(Int(body, "run_id"));
  const auto it = active_.find(task);
  if (it != active_.end() && it->second.number <= number) {
    Finish(task, "stopped");
  }
  highest_over_[task] = std::max(highest_over_[task], number);
  return Answer(200, {});
}

HttpResponse Worker::Hold(const json::object& body) {
  if (!TakeFence(body)) {
    return Answer(409, {{"reason", "fence"}});
  }
  TakeDeadline(body);
  const auto seen = static_cast<std::uint64_t>(Int(body, "last_seen"));
  std::erase_if(ends_, [&](const End& it) {
    if (it.number > seen) {
      return false;
    }
    Note(it.task, it.run, "noted " + it.how);
    return true;
  });
  json::array active;
  for (const auto& [task, run] : active_) {
    const std::int64_t percent =
        run.plan.work_ms == 0
            ? 100
            : std::min<std::int64_t>(99,
                                     100 * run.WorkedMs() / run.plan.work_ms);
    active.push_back(json::array{task, run.number, run.Checkpoint(task),
                                 percent, run.plan.cpu});
  }
  json::array finished;
  for (const End& it : ends_) {
    if (finished.size() < kListedEnds) {
      finished.push_back(
          json::array{it.number, it.task, it.run, it.how, it.checkpoint});
    }
  }
  return Answer(
      200, {{"active", std::move(active)}, {"finished", std::move(finished)}});
}

void Worker::Tick() {
  const std::lock_guard lock(mutex_);
  if (!up_) {
    return;
  }
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : active_) {
    if (deadline_ms_ <= Clock()) {
      over.emplace_back(task, "lapsed");
    } else if (run.plan.work_ms > 0 && run.WorkedMs() >= run.plan.work_ms) {
      over.emplace_back(task, "done");
    }
  }
  for (const auto& [task, how] : over) {
    Finish(task, how);
  }
}

bool Worker::SendHeartbeat(const std::string& state) {
  json::object body;
  {
    const std::lock_guard lock(mutex_);
    if (!up_) {
      return false;
    }
    body = {{"service", setup_.service},
            {"address", Address()},
            {"zone", setup_.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", state},
            {"cold_left_ms", 0},
            {"capacity", json::object{{"cpu", setup_.cpu},
                                      {"mem_mb", setup_.mem_mb},
                                      {"gpu", setup_.gpu}}},
            {"labels", json::array{"a", setup_.rack}},
            {"clock_ms", Clock()},
            {"born", born_},
            {"sequence", ++sequence_}};
    if (state == "draining") {
      body["remaining_ms"] = 2'000;
    }
  }
  const auto response = Call(agent_, "PUT", "/api/instances/" + setup_.id, {},
                             json::serialize(body), 1'000);
  return response && response->status / 100 == 2;
}

Process::Process(std::vector<std::string> command)
    : command_(std::move(command)) {}

Process::~Process() {
  Kill();
}

void Process::Start() {
  std::vector<char*> arguments;
  for (std::string& it : command_) {
    arguments.push_back(it.data());
  }
  arguments.push_back(nullptr);
  const char* logs = std::getenv("REVIEW_LOGS");
  const int null = open("/dev/null", O_RDWR | O_CLOEXEC);
  const int out = logs == nullptr
                      ? null
                      : open(logs, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                             S_IRUSR | S_IWUSR);
  pid_ = fork();
  if (pid_ != 0) {
    return;
  }
  // The process ends with the script, also if that is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(null, 0);
  dup2(out, 1);
  dup2(out, 2);
  execv(arguments[0], arguments.data());
  _exit(127);
}

void Process::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
}

bool Process::Running() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ > 0;
}

Deployment::Deployment(const DeploymentSetup& setup) {
  char folder[] = "/tmp/review-XXXXXX";
  folder_ = mkdtemp(folder);
  json::array routes{json::object{{"name", "batch"},
                                  {"host", "jobs.example"},
                                  {"path_prefix", "/batch/"},
                                  {"kind", "unsafe"},
                                  {"timeout_ms", 3'000},
                                  {"target_latency_ms", 1'000},
                                  {"priority", 1},
                                  {"service", setup.service},
                                  {"max_attempts", 4},
                                  {"slack_factor", 3.0},
                                  {"public", true}}};
  json::array services{json::object{{"name", setup.service},
                                    {"health_path", "/healthz"},
                                    {"max_conns", 64},
                                    {"enforces_capacity", true},
                                    {"standby", false}}};
  store_->WriteOperator(
      "config", json::serialize(json::object{
                    {"version", 7},
                    {"routes", std::move(routes)},
                    {"services", std::move(services)},
                    {"limits", json::object{{"max_body_bytes", 262'144}}},
                    {"tenants", json::array{}}}));
  for (int n = 0; n < setup.entries; ++n) {
    EntryProcess it;
    it.name = "frontend-" + std::to_string(n + 1);
    it.callers = FreeAddress();
    const std::string path = folder_ + "/" + it.name + ".json";
    WriteFile(path, {{"name", it.name},
                     {"data_centre", "z"},
                     {"callers_listen", it.callers},
                     {"readiness_listen", FreeAddress()},
                     {"peers_listen", FreeAddress()},
                     {"metrics_listen", FreeAddress()},
                     {"store", store_->Address()},
                     {"processor_cores", 0.25},
                     {"machine_memory_mb", 260},
                     {"http", json::object{{"body_bytes", 1'048'576},
                                           {"connections", 2'048}}},
                     {"timing", json::object{{"longest_lease_ms", 10'000},
                                             {"stop_timeout_ms", 200},
                                             {"reclaim_ms", 2'700},
                                             {"state_retention_s", 120}}},
                     {"scheduling", json::object{{"learn_speeds", true},
                                                 {"weigh_lateness", true}}},
                     {"log", json::object{{"format", "json"}}}});
    it.process = std::make_unique<Process>(std::vector<std::string>{
        "target/apps/shallotlug", "serve-jobs", "--settings=" + path});
    it.process->Start();
    entries_.push_back(std::move(it));
  }
  for (int n = 0; n < setup.workers; ++n) {
    AgentProcess it;
    it.name = "side-" + std::to_string(n + 1);
    const std::string heartbeats = FreeAddress();
    WorkerSetup worker = setup.worker;
    worker.id = "i-" + std::to_string(n + 1);
    worker.service = setup.service;
    worker.zone = "z";
    worker.rack = "r" + std::to_string(n / setup.workers_of_rack);
    it.worker = std::make_unique<Worker>(worker, heartbeats);
    const std::string path = folder_ + "/" + it.name + ".json";
    WriteFile(path, {{"name", it.name},
                     {"data_centre", "z"},
                     {"heartbeats_listen", heartbeats},
                     {"scheduler_listen", FreeAddress()},
                     {"metrics_listen", FreeAddress()},
                     {"worker", it.worker->Address()},
                     {"store", store_->Address()},
                     {"machine_memory_mb", 128},
                     {"timing", json::object{{"longest_lease_ms", 10'000}}},
                     {"log", json::object{{"format", "json"}}}});
    it.process = std::make_unique<Process>(std::vector<std::string>{
        "target/apps/shallotlug-agent", "serve-jobs", "--settings=" + path});
    it.process->Start();
    it.worker->Start();
    agents_.push_back(std::move(it));
  }
}

Deployment::~Deployment() {
  for (EntryProcess& it : entries_) {
    it.process->Kill();
  }
  for (AgentProcess& it : agents_) {
    it.process->Kill();
  }
  for (const EntryProcess& it : entries_) {
    unlink((folder_ + "/" + it.name + ".json").c_str());
  }
  for (const AgentProcess& it : agents_) {
    unlink((folder_ + "/" + it.name + ".json").c_str());
  }
  rmdir(folder_.c_str());
  // The threads of the stand-ins still use them.
  store_.release();
  new std::vector<AgentProcess>(std::move(agents_));
}

bool Deployment::WaitUntilReady(int seconds) {
  Client client(*this);
  const std::int64_t until = NowMs() + 1'000L * seconds;
  while (NowMs() < until) {
    if (client.Pending() == "0") {
      // The agents have to be heard, too.
      SleepMs(5'000);
      return true;
    }
    SleepMs(200);
  }
  return false;
}

std::optional<HttpResponse> Client::Ask(const std::string& method,
                                        const std::string& path,
                                        const std::string& body) {
  constexpr int kDeadlineMs = 3'000;
  const auto& entries = deployment_.Entries();
  const EntryProcess& entry = entries[next_++ % entries.size()];
  auto response =
      Call(entry.callers, method, "/batch/" + path,
           {{"Host", "jobs.example"}, {"X-Shallotlug-Deadline-Ms", "3000"}},
           body, kDeadlineMs);
  if (method != "GET") {
    Record("client: " + method + " " + path + " at " + entry.name + " (" +
           std::to_string(body.size()) + " bytes): " +
           (response ? std::to_string(response->status) : "no answer"));
  }
  return response;
}

bool Client::Submit(const std::string& id,
                    const json::object& job,
                    int seconds) {
  const std::int64_t until = NowMs() + 1'000L * seconds;
  while (NowMs() < until) {
    const auto response = Ask("POST", id, json::serialize(job));
    if (response && response->status / 100 == 2) {
      return true;
    }
    SleepMs(500);
  }
  return false;
}

bool Client::Cancel(const std::string& id) {
  constexpr int kAttempts = 10;
  for (int n = 0; n < kAttempts; ++n) {
    const auto response = Ask("DELETE", id, "");
    if (response && (response->status / 100 == 2 || response->status == 410)) {
      return true;
    }
    SleepMs(500);
  }
  return false;
}

std::string Client::State(const std::string& id) {
  const auto response = Ask("GET", id, "");
  if (!response) {
    return "none";
  }
  if (response->status != 200) {
    return std::to_string(response->status);
  }
  return std::string(
      json::parse(response->body).as_object().at("state").as_string());
}

std::string Client::Pending() {
  const auto response = Ask("GET", "", "");
  if (!response) {
    return "none";
  }
  if (response->status != 200) {
    return std::to_string(response->status);
  }
  return std::to_string(
      Int(json::parse(response->body).as_object(), "pending"));
}

bool Untroubled() {
  return untroubled;
}

void RunScript(const char* record, const char* trouble, int (*script)()) {
  OpenRecord(record);
  untroubled = trouble != nullptr && std::string_view(trouble) == "0";
  Record(std::string("TROUBLE=") + (untroubled ? "0" : "1"));
  const int status = script();
  Record("exit status " + std::to_string(status));
  std::_Exit(status);
}

}  // namespace review
