#include "backend_client.h"

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace shallotlug::net {
namespace {

namespace json = boost::json;
using agent::BackendReport;
using agent::TaskEvent;
using agent::TaskEventKind;

struct EventWord {
  std::string_view word;
  TaskEventKind kind;
};

constexpr std::array<EventWord, 5> kEventWords = {{
    {"finished", TaskEventKind::kFinished},
    {"failed", TaskEventKind::kFailed},
    {"checkpointed", TaskEventKind::kCheckpointed},
    {"stopped", TaskEventKind::kStopped},
    {"lapsed", TaskEventKind::kLapsed},
}};

std::string ToWord(agent::TaskAction action) {
  switch (action) {
    case agent::TaskAction::kCheckpoint:
      return "checkpoint";
    case agent::TaskAction::kThrottle:
      return "throttle";
    case agent::TaskAction::kResume:
      return "resume";
    case agent::TaskAction::kStop:
      return "stop";
  }
  return "stop";
}

std::string TextOf(const json::object& object, const char* key) {
  const json::value* it = object.if_contains(key);
  return it && it->is_string() ? std::string(it->as_string()) : "";
}

PeerTime TimeOf(const json::object& object, const char* key) {
  return PeerTime(Millis(object.at(key).to_number<std::int64_t>()));
}

TaskEvent ParseEvent(const json::object& in) {
  TaskEvent out;
  out.task.value = TextOf(in, "task");
  out.answer = TextOf(in, "answer");
  out.answer_length = in.at("answer_length").to_number<std::uint64_t>();
  out.reason = TextOf(in, "reason");
  const std::string word = TextOf(in, "kind");
  const auto* it =
      std::find_if(kEventWords.begin(), kEventWords.end(),
                   [&word](const EventWord& e) { return e.word == word; });
  if (it == kEventWords.end()) {
    throw std::invalid_argument("unknown event " + word);
  }
  out.kind = it->kind;
  return out;
}

struct Status {
  BackendReport report;
  std::uint64_t sequence = 0;
};

// The parser reads numbers such as 0e999 as NaN, which no record may hold.
double ProgressOf(const json::object& task) {
  const double progress = task.at("progress").to_number<double>();
  return progress >= 0 && progress <= 1 ? progress : 0;
}

std::optional<Status> ParseStatus(const HttpResponse& response) {
  if (response.status != 200) {
    return std::nullopt;
  }
  try {
    const json::value parsed = json::parse(response.body);
    const json::object& body = parsed.as_object();
    Status out;
    out.sequence = body.at("seq").to_number<std::uint64_t>();
    out.report.now = TimeOf(body, "now");
    out.report.incarnation = body.at("incarnation").to_number<std::uint64_t>();
    out.report.leaving = body.at("leaving").as_bool();
    for (const json::value& it : body.at("tasks").as_array()) {
      const json::object& task = it.as_object();
      out.report.usage.push_back(
          {TaskId(TextOf(task, "task")),
           task.at("accelerators").to_number<AcceleratorMask>(),
           task.at("throttled").as_bool(), ProgressOf(task)});
    }
    for (const json::value& it : body.at("events").as_array()) {
      out.report.events.push_back(ParseEvent(it.as_object()));
    }
    return out;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

BackendClient::BackendClient(boost::asio::io_context& context,
                             BackendClientOptions options,
                             CounterTable& counters,
                             BackendClientHandlers handlers)
    : options_(std::move(options)),
      counters_(counters),
      handlers_(std::move(handlers)),
      status_(context),
      commands_(context),
      poll_timer_(context),
      command_timer_(context) {}

void BackendClient::Start() {
  Poll();
}

void BackendClient::Poll() {
  HttpFetchOptions fetch;
  fetch.address = options_.address;
  fetch.target = "/v1/status?since=" + std::to_string(since_) +
                 "&wait_ms=" + std::to_string(options_.status_wait.count());
  fetch.timeout = options_.timeout;
  const std::uint64_t poll = ++poll_;
  status_.Send(
      fetch, ConnectionUse::kReuseAndRepeat,
      [this, poll](const FetchResult& result) { OnStatus(result, poll); });
}

void BackendClient::OnStatus(const FetchResult& result, std::uint64_t poll) {
  std::optional<Status> status;
  if (result) {
    status = ParseStatus(result.value());
  }
  if (!status) {
    Fail();
    return;
  }
  BackendReport& report = status->report;
  if (report.incarnation != last_.incarnation) {
    // Everything below belongs to the earlier one.
    queue_.erase(queue_.begin() + (sending_ ? 1 : 0), queue_.end());
    starting_.clear();
    last_.incarnation = report.incarnation;
    if (since_ != 0) {
      // Sequence numbers began anew; this answer may lack events.
      since_ = 0;
      Poll();
      return;
    }
  }
  since_ = status->sequence;
  CompleteReport(report, poll);
  last_ = report;
  last_.events.clear();
  handlers_.on_report(std::move(report));
  Poll();
}

// Adds what the backend server answered to commands. A report that was under
// way when a task started lacks it, and must not read as the task's end.
void BackendClient::CompleteReport(BackendReport& report, std::uint64_t poll) {
  std::vector<TaskEvent> started;
  for (auto it = starting_.begin(); it != starting_.end();) {
    const TaskId& id = it->first;
    Starting& task = it->second;
    const bool ended =
        std::any_of(report.events.begin(), report.events.end(),
                    [&id](const TaskEvent& event) { return event.task == id; });
    const bool listed = std::any_of(
        report.usage.begin(), report.usage.end(),
        [&id](const agent::TaskUsage& usage) { return usage.task == id; });
    if ((ended || listed) && !task.reported) {
      started.push_back({id, TaskEventKind::kStarted, "", 0, ""});
      task.reported = true;
    }
    const bool answered = task.answered_at_poll != 0;
    if (ended || (answered && poll > task.answered_at_poll)) {
      it = starting_.erase(it);
      continue;
    }
    if (!listed && task.reported) {
      report.usage.push_back({id, task.accelerators, false, 0});
    }
    ++it;
  }
  report.events.insert(report.events.begin(), started.begin(), started.end());
}

void BackendClient::Fail() {
  counters_.AddTo("shallotlug_backend_poll_failures_total");
  handlers_.on_unreachable();
  poll_timer_.expires_after(options_.retry_after);
  poll_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (!ec) {
      Poll();
    }
  });
}

void BackendClient::Command(agent::AddressedCommand command) {
  if (command.incarnation != last_.incarnation) {
    // The agent learns from the next report that the server has restarted.
    counters_.AddTo("shallotlug_backend_commands_outdated_total");
    return;
  }
  if (queue_.size() >= options_.queued_commands) {
    counters_.AddTo("shallotlug_backend_commands_dropped_total");
    return;
  }
  queue_.push_back({std::move(command.command), command.incarnation});
  if (!sending_) {
    SendNext();
  }
}

void BackendClient::SendNext() {
  sending_ = !queue_.empty();
  if (!sending_) {
    return;
  }
  const agent::BackendCommand& next = queue_.front().command;
  if (const auto* start = std::get_if<agent::StartTask>(&next)) {
    SendStart(*start);
  } else if (const auto* control = std::get_if<agent::ControlTask>(&next)) {
    SendControl(*control);
  } else {
    SendLeases();
  }
}

// Consecutive renewals share one request.
void BackendClient::SendLeases() {
  json::array leases;
  for (const Queued& it : queue_) {
    const auto* lease = std::get_if<agent::RenewLease>(&it.command);
    if (!lease || it.incarnation != queue_.front().incarnation) {
      break;
    }
    leases.push_back(json::object{
        {"task", lease->task.value},
        {"lease_until", lease->lease_until.time_since_epoch().count()}});
  }
  const std::size_t count = leases.size();
  SendCommand(
      "POST", "/v1/leases",
      json::serialize(json::object{{"incarnation", queue_.front().incarnation},
                                   {"leases", std::move(leases)}}),
      count);
}

void BackendClient::SendStart(const agent::StartTask& start) {
  // A repeated start may belong to a task whose end was already reported.
  if (!std::exchange(queue_.front().sent, true)) {
    starting_[start.task].accelerators = start.accelerators;
  }
  const json::object body{
      {"incarnation", queue_.front().incarnation},
      {"live", start.live},
      {"accelerators", start.accelerators},
      {"lease_until", start.lease_until.time_since_epoch().count()},
      {"declared_run_time_ms", start.declared_run_time.count()},
      {"body", start.body},
      {"checkpoint", start.checkpoint}};
  SendCommand("PUT", "/v1/tasks/" + start.task.value, json::serialize(body), 1);
}

void BackendClient::SendControl(const agent::ControlTask& control) {
  SendCommand("POST",
              "/v1/tasks/" + control.task.value + "/" + ToWord(control.action),
              json::serialize(
                  json::object{{"incarnation", queue_.front().incarnation}}),
              1);
}

void BackendClient::SendCommand(const std::string& method,
                                const std::string& target,
                                const std::string& body,
                                std::size_t count) {
  HttpFetchOptions fetch;
  fetch.address = options_.address;
  fetch.method = method;
  fetch.target = target;
  fetch.body = body;
  fetch.timeout = options_.timeout;
  commands_.Send(
      fetch, ConnectionUse::kReuseAndRepeat,
      [this, count](const FetchResult& result) { OnAnswered(result, count); });
}

void BackendClient::OnAnswered(const FetchResult& result, std::size_t count) {
  const bool stale = queue_.front().incarnation != last_.incarnation;
  if ((!result || result.value().status >= 500) && !stale) {
    counters_.AddTo("shallotlug_backend_command_retries_total");
    command_timer_.expires_after(options_.retry_after);
    command_timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        SendNext();
      }
    });
    return;
  }
  std::optional<agent::StartTask> start;
  if (auto* it = std::get_if<agent::StartTask>(&queue_.front().command)) {
    start = std::move(*it);
  }
  queue_.erase(queue_.begin(),
               queue_.begin() +
                   static_cast<std::ptrdiff_t>(std::min(count, queue_.size())));
  if (start && !stale) {
    OnStartAnswered(*start, result.value());
  }
  SendNext();
}

void BackendClient::OnStartAnswered(const agent::StartTask& start,
                                    const HttpResponse& response) {
  const bool started = response.status == 200 || response.status == 201;
  BackendReport report = last_;
  TaskEvent event;
  event.task = start.task;
  try {
    const json::value parsed = json::parse(response.body);
    const json::object& body = parsed.as_object();
    if (body.contains("incarnation") &&
        body.at("incarnation").to_number<std::uint64_t>() !=
            last_.incarnation) {
      // A former server may have run the task; the next report ends it.
      counters_.AddTo("shallotlug_backend_commands_outdated_total");
      starting_.erase(start.task);
      return;
    }
    event.reason = TextOf(body, "reason");
    if (body.contains("now")) {
      report.now = std::max(report.now, TimeOf(body, "now"));
    }
  } catch (const std::exception&) {
    event.reason = "unreadable_answer";
  }
  if (!started) {
    starting_.erase(start.task);
    event.kind = TaskEventKind::kRejected;
  } else {
    const auto it = starting_.find(start.task);
    if (it == starting_.end()) {
      return;  // A report has already told of its end.
    }
    it->second.answered_at_poll = poll_;
    if (std::exchange(it->second.reported, true)) {
      return;
    }
    event.kind = TaskEventKind::kStarted;
    report.usage.push_back({start.task, start.accelerators, false, 0});
  }
  report.events.push_back(std::move(event));
  last_ = report;
  last_.events.clear();
  handlers_.on_report(std::move(report));
}

}  // namespace shallotlug::net
