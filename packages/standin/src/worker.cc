#include "shallotlug/standin/worker.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

#include <xxhash.h>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace shallotlug::standin {
namespace {

namespace json = boost::json;

// Pollers that fall this far behind miss events.
constexpr std::size_t kKeptEvents = 100'000;

std::optional<double> NumberIn(const std::string& text, const char* key) {
  boost::system::error_code ec;
  const json::value parsed = json::parse(text, ec);
  if (ec || !parsed.is_object()) {
    return std::nullopt;
  }
  const json::value* it = parsed.as_object().if_contains(key);
  if (it && it->is_number()) {
    return it->to_number<double>();
  }
  if (it && it->is_bool()) {
    return it->as_bool() ? 1 : 0;
  }
  return std::nullopt;
}

double ToDouble(Millis time) {
  return static_cast<double>(time.count());
}

}  // namespace

std::string DigestOf(const std::string& body) {
  std::array<char, 17> text{};
  std::snprintf(
      text.data(), text.size(), "%016llx",
      static_cast<unsigned long long>(XXH64(body.data(), body.size(), 0)));
  return text.data();
}

Worker::Worker(const WorkerOptions& settings, TimePoint now)
    : options(settings), now_(now) {}

void Worker::Advance(TimePoint now) {
  // Tasks affect each other only through starts, so the order is free.
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    WorkerTask& task = it->second;
    const TimePoint lease = task.start.lease_until;
    const auto finish = FinishTime(task);
    const TimePoint end = std::min(now, lease);
    if (task.checkpointed_at && *task.checkpointed_at <= end) {
      const json::object state{{"done_ms", task.done_ms}};
      it = End(it, "checkpointed", json::serialize(state), "",
               *task.checkpointed_at);
    } else if (finish && *finish <= end) {
      const std::string& body = task.start.body;
      if (task.fails || controls.fail_all) {
        it = End(it, "failed", "", task.fails ? "body_asks" : "fail_all",
                 *finish);
        continue;
      }
      const json::object answer{{"task", task.start.task},
                                {"digest", DigestOf(body)},
                                {"bytes", body.size()}};
      it = End(it, "finished", json::serialize(answer), "", *finish);
    } else if (lease <= now) {
      it = End(it, "lapsed", "", "lease_ended", lease);
    } else {
      AdvanceTask(task, now);
      ++it;
    }
  }
  now_ = now;
}

void Worker::AdvanceTask(WorkerTask& task, TimePoint now) {
  if (!task.checkpointed_at) {
    task.done_ms += ToDouble(now - now_) * SpeedOf(task);
  }
  if (now - task.reported_at >= options.usage_lag) {
    task.reported_at = now;
    task.reported_progress =
        std::min(1.0, task.done_ms / std::max(1.0, ToDouble(task.run_time)));
  }
}

double Worker::SpeedOf(const WorkerTask& task) const {
  return controls.speed * (task.throttled ? options.throttled_speed : 1);
}

std::optional<TimePoint> Worker::FinishTime(const WorkerTask& task) const {
  const double speed = SpeedOf(task);
  if (task.checkpointed_at || speed <= 0) {
    return std::nullopt;
  }
  const double left = std::max(0.0, ToDouble(task.run_time) - task.done_ms);
  return now_ + Millis(static_cast<std::int64_t>(std::ceil(left / speed)));
}

std::optional<TimePoint> Worker::NextDue() const {
  std::optional<TimePoint> due;
  for (const auto& [id, task] : tasks_) {
    TimePoint next = task.start.lease_until;
    if (task.checkpointed_at) {
      next = std::min(next, *task.checkpointed_at);
    } else if (const auto finish = FinishTime(task)) {
      next = std::min(next, *finish);
    }
    due = due ? std::min(*due, next) : next;
  }
  return due;
}

StartOutcome Worker::Start(const WorkerStart& start, std::string& reason) {
  if (known_.contains(start.task)) {
    return StartOutcome::kKnown;
  }
  const AcceleratorMask all = static_cast<AcceleratorMask>(
      (std::uint64_t{1} << options.accelerators) - 1);
  if (controls.leaving) {
    reason = "leaving";
  } else if (start.lease_until <= now_) {
    reason = "lease_ended";
  } else if ((start.accelerators & ~all) != 0) {
    reason = "unknown_accelerators";
  } else if (InUse(start.accelerators, "")) {
    reason = "accelerators_in_use";
  } else if (RunningTasks() >= options.slots) {
    reason = "no_free_slot";
  }
  if (!reason.empty()) {
    Note("reject", start, now_);
    return StartOutcome::kRejected;
  }
  known_[start.task] = true;
  WorkerTask task;
  task.start = start;
  task.run_time = Millis(static_cast<std::int64_t>(
      NumberIn(start.body, "run_ms")
          .value_or(ToDouble(options.default_run_time))));
  task.fails = NumberIn(start.body, "fail").value_or(0) != 0;
  task.done_ms = NumberIn(start.checkpoint, "done_ms").value_or(0);
  task.reported_at = now_;
  tasks_[start.task] = std::move(task);
  Note("start", start, now_);
  Touch();
  return StartOutcome::kStarted;
}

bool Worker::Renew(const std::string& task, TimePoint lease_until) {
  const auto it = tasks_.find(task);
  if (it == tasks_.end()) {
    return false;
  }
  TimePoint& lease = it->second.start.lease_until;
  lease = std::max(lease, lease_until);
  return true;
}

std::string Worker::Control(const std::string& task,
                            const std::string& action) {
  const auto it = tasks_.find(task);
  if (it == tasks_.end()) {
    return "unknown_task";
  }
  WorkerTask& found = it->second;
  if (action == "stop") {
    End(it, "stopped", "", "asked", now_);
    return "";
  }
  if (action == "checkpoint") {
    if (!found.checkpointed_at) {
      found.checkpointed_at = now_ + options.checkpoint_time;
      Note("checkpoint", found.start, now_);
    }
  } else if (action == "throttle") {
    found.throttled = true;
    Note("throttle", found.start, now_);
  } else if (action == "resume") {
    if (InUse(found.start.accelerators, task)) {
      return "accelerators_in_use";
    }
    found.throttled = false;
    Note("resume", found.start, now_);
  } else {
    return "unknown_action";
  }
  Touch();
  return "";
}

// Accelerators of a throttled task may be given to a task that it yields to.
bool Worker::InUse(AcceleratorMask mask, const std::string& except) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& item) {
    return item.first != except && !item.second.throttled &&
           (item.second.start.accelerators & mask) != 0;
  });
}

int Worker::RunningTasks() const {
  return static_cast<int>(
      std::count_if(tasks_.begin(), tasks_.end(),
                    [](const auto& item) { return !item.second.throttled; }));
}

Worker::TaskTable::iterator Worker::End(TaskTable::iterator it,
                                        const std::string& kind,
                                        std::string answer,
                                        std::string reason,
                                        TimePoint at) {
  Touch();
  events_.push_back(
      {sequence_, kind, it->first, std::move(answer), std::move(reason)});
  if (events_.size() > kKeptEvents) {
    events_.erase(events_.begin());
  }
  Note(kind, it->second.start, at);
  return tasks_.erase(it);
}

std::vector<WorkerEvent> Worker::EventsAfter(std::uint64_t sequence) const {
  const auto it =
      std::upper_bound(events_.begin(), events_.end(), sequence,
                       [](std::uint64_t n, const WorkerEvent& event) {
                         return n < event.sequence;
                       });
  return {it, events_.end()};
}

void Worker::Note(const std::string& what,
                  const WorkerStart& start,
                  TimePoint at) {
  history_.push_back(
      {at, what, start.task, start.accelerators, start.live, start.body});
}

}  // namespace shallotlug::standin
