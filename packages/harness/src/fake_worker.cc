#include "shallotlug/harness/fake_worker.h"

#include <algorithm>
#include <cstdlib>

namespace shallotlug::harness {
namespace {

constexpr Millis kReportInterval{1000};
constexpr Millis kUsageLag{2000};
constexpr int kSlots = 8;

// A checkpoint carries the work that was done.
std::string ToCheckpoint(const std::string& body, Millis done) {
  return "checkpoint " + std::to_string(done.count()) + " " + body;
}

Millis FromCheckpoint(const std::string& checkpoint, const std::string& body) {
  const std::string prefix = "checkpoint ";
  const std::size_t start = checkpoint.find(prefix);
  if (start == std::string::npos ||
      checkpoint.find(body, start) == std::string::npos) {
    return Millis(0);
  }
  return Millis(std::atoll(checkpoint.c_str() + start + prefix.size()));
}

}  // namespace

FakeWorker::FakeWorker(int index,
                       ClockModel clock,
                       std::uint64_t seed,
                       Oracle& oracle)
    : index_(index),
      clock_(clock),
      random_(seed),
      clock_random_(seed + 1),
      oracle_(oracle),
      incarnation_(random_.Next()) {}

void FakeWorker::End(Millis now,
                     const TaskId& id,
                     agent::TaskEventKind kind,
                     const std::string& answer,
                     const std::string& reason) {
  agent::TaskEvent event;
  event.task = id;
  event.kind = kind;
  event.answer = answer;
  event.answer_length = answer.size();
  event.reason = reason;
  if (cuts_answers_ && kind == agent::TaskEventKind::kFinished) {
    event.answer.resize(event.answer.size() / 2);
  }
  events_.push_back(event);
  changed_ = true;
  if (tasks_.erase(id) != 0) {
    oracle_.TaskEnded(now, index_, id, kind);
  }
}

void FakeWorker::Start(Millis now, const agent::StartTask& start) {
  if (!known_.insert(start.task).second) {
    return;
  }
  const auto live =
      std::count_if(tasks_.begin(), tasks_.end(),
                    [](const auto& it) { return it.second.live; });
  if (start.lease_until <= Now(now) || (start.live && live >= kSlots)) {
    End(now, start.task, agent::TaskEventKind::kRejected, "", "rejected");
    return;
  }
  Task task;
  task.id = start.task;
  const StampedBody stamped = RemoveStamp(start.body);
  task.body = stamped.body;
  task.work = FromBody(stamped.body);
  task.live = start.live;
  task.accelerators = start.accelerators;
  task.lease_until = start.lease_until;
  task.done = FromCheckpoint(start.checkpoint, stamped.body);
  task.seen = now;
  oracle_.TaskStarted(now, index_, task.id, task.work.name, stamped.attempt,
                      task.accelerators);
  tasks_.emplace(task.id, task);
  agent::TaskEvent event;
  event.task = start.task;
  event.kind = agent::TaskEventKind::kStarted;
  events_.push_back(event);
  changed_ = true;
}

void FakeWorker::Control(Millis now, const agent::ControlTask& control) {
  const auto it = tasks_.find(control.task);
  if (it == tasks_.end()) {
    return;
  }
  Task& task = it->second;
  switch (control.action) {
    case agent::TaskAction::kCheckpoint:
      if (!task.checkpoint_at) {
        task.checkpoint_at = now + checkpoint_time_;
      }
      break;
    case agent::TaskAction::kThrottle:
    case agent::TaskAction::kResume: {
      const bool throttle = control.action == agent::TaskAction::kThrottle;
      if (task.throttled != throttle) {
        task.throttled = throttle;
        oracle_.TaskThrottled(now, index_, task.id, throttle);
        changed_ = true;
      }
      break;
    }
    case agent::TaskAction::kStop: {
      const TaskId id = control.task;
      End(now, id, agent::TaskEventKind::kStopped, "", "stopped");
      break;
    }
  }
}

void FakeWorker::Handle(Millis now, const agent::AddressedCommand& addressed) {
  Tick(now);
  if (addressed.incarnation != incarnation_) {
    return;
  }
  const agent::BackendCommand& command = addressed.command;
  if (const auto* start = std::get_if<agent::StartTask>(&command)) {
    Start(now, *start);
  } else if (const auto* renew = std::get_if<agent::RenewLease>(&command)) {
    const auto it = tasks_.find(renew->task);
    if (it != tasks_.end()) {
      it->second.lease_until = renew->lease_until;
    }
  } else {
    Control(now, std::get<agent::ControlTask>(command));
  }
}

void FakeWorker::Tick(Millis now) {
  std::vector<TaskId> ids;
  for (auto& [id, task] : tasks_) {
    if (!task.throttled) {
      task.done += now - task.seen;
    }
    task.seen = now;
    ids.push_back(id);
  }
  for (const TaskId& id : ids) {
    const Task task = tasks_.at(id);
    if (task.lease_until <= Now(now)) {
      End(now, id, agent::TaskEventKind::kLapsed, "", "lease ended");
    } else if (task.checkpoint_at && *task.checkpoint_at <= now) {
      End(now, id, agent::TaskEventKind::kCheckpointed,
          ToCheckpoint(task.body, task.done), "");
    } else if (fails_all_ ||
               (task.work.fails && task.done >= task.work.run_time)) {
      End(now, id, agent::TaskEventKind::kFailed, "", "task failed");
    } else if (task.done >= task.work.run_time) {
      End(now, id, agent::TaskEventKind::kFinished, AnswerTo(task.body), "");
    }
  }
}

std::optional<agent::BackendReport> FakeWorker::TakeReport(Millis now) {
  if (!changed_ && now < next_report_) {
    return std::nullopt;
  }
  changed_ = false;
  next_report_ = now + kReportInterval;
  agent::BackendReport report;
  report.now = Now(now);
  report.incarnation = incarnation_;
  report.leaving = leaving_;
  for (auto& [id, task] : tasks_) {
    const Millis lagged = std::max(Millis(0), task.done - kUsageLag);
    const double progress =
        task.work.run_time.count() == 0
            ? 0
            : static_cast<double>(lagged.count()) /
                  static_cast<double>(task.work.run_time.count());
    report.usage.push_back(
        {id, task.accelerators, task.throttled, std::min(1.0, progress)});
  }
  report.events.swap(events_);
  return report;
}

void FakeWorker::SetLeaving(Millis now, bool leaving) {
  leaving_ = leaving;
  changed_ = true;
  oracle_.WorkerLeaving(now, index_, leaving);
}

bool FakeWorker::Runs(const std::string& name) const {
  return std::any_of(tasks_.begin(), tasks_.end(), [&](const auto& it) {
    return it.second.work.name == name;
  });
}

void FakeWorker::Restart(Millis now) {
  for (const auto& [id, task] : tasks_) {
    oracle_.TaskEnded(now, index_, id, agent::TaskEventKind::kLapsed);
  }
  tasks_.clear();
  known_.clear();
  events_.clear();
  incarnation_ = random_.Next();
  clock_ = ClockAfterPowerLoss(clock_, now, clock_random_);
  changed_ = true;
  if (leaving_) {
    SetLeaving(now, false);
  }
}

}  // namespace shallotlug::harness
