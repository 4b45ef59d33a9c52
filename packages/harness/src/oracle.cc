#include "shallotlug/harness/oracle.h"

#include <algorithm>

#include "shallotlug/harness/workload.h"

namespace shallotlug::harness {
namespace {

// A member computes for at most one hold of 6 s after another member last
// promised its accelerators; the margin of the lease covers clock drift.
constexpr Millis kGangBound{6000};
// P6 says "a few seconds"; docs/design.md detects silence within 3 s.
constexpr Millis kLeavingBound{5000};
// Clocks of two processes drift apart by at most 2 %; a start command takes a
// moment to reach the backend server.
constexpr int kDriftPercent = 2;
constexpr Millis kCommandDelay{50};

}  // namespace

std::string ToString(Promise promise) {
  switch (promise) {
    case Promise::kDeadline:
      return "deadline";
    case Promise::kLiveness:
      return "liveness";
    case Promise::kExpectation:
      return "expectation";
    default:
      return "P" + std::to_string(static_cast<int>(promise));
  }
}

std::string ToString(const Violation& violation) {
  return ToString(violation.promise) + " at " +
         std::to_string(violation.at.count()) + " ms: " + violation.what;
}

void Oracle::Report(Promise promise, Millis at, const std::string& what) {
  violations_.push_back({promise, at, what});
}

std::string Oracle::Describe(const Task& task) const {
  return task.gang + " on worker " + std::to_string(task.worker) +
         " accelerators " + std::to_string(task.accelerators);
}

void Oracle::Declare(const std::string& name, const DeclaredWork& work) {
  declared_[name] = work;
}

int Oracle::Starts(const std::string& name) const {
  const auto it = starts_.find(name);
  return it == starts_.end() ? 0 : it->second;
}

int Oracle::Finished(const std::string& name) const {
  const auto it = finished_.find(name);
  return it == finished_.end() ? 0 : it->second;
}

int Oracle::Running(const std::string& name) const {
  return static_cast<int>(std::count_if(
      running_.begin(), running_.end(),
      [&](const auto& entry) { return tasks_[entry.second].name == name; }));
}

void Oracle::CheckOverlap(Millis at, const Task& task) {
  for (const auto& [key, index] : running_) {
    const Task& other = tasks_[index];
    if (key.first != task.worker || &other == &task || other.throttled ||
        (other.accelerators & task.accelerators) == 0) {
      continue;
    }
    Report(Promise::kP2, at,
           "accelerators used by two tasks: " + Describe(task) + " and " +
               Describe(other));
  }
}

void Oracle::CheckGangs(Millis at, const Task& started) {
  // The new task takes accelerators of a gang of which another member computes.
  for (const auto& [name, gang] : gangs_) {
    if (name == started.gang) {
      continue;
    }
    const Task* taken = nullptr;
    const Task* computing = nullptr;
    for (const std::size_t index : gang.members) {
      const Task& member = tasks_[index];
      if (!member.ended) {
        computing = &member;
      } else if (!member.holder_died && member.worker == started.worker &&
                 (member.accelerators & started.accelerators) != 0) {
        taken = &member;
      }
    }
    if (taken != nullptr && computing != nullptr) {
      Report(Promise::kP2, at,
             Describe(started) + " takes accelerators of " + Describe(*taken) +
                 " while " + Describe(*computing) + " computes");
    }
  }
  // The new task is a late member whose accelerators something else used after
  // the first member started.
  const Gang& own = gangs_[started.gang];
  const Millis first = tasks_[own.members.front()].started;
  for (int bit = 0; bit < kAccelerators; ++bit) {
    if (((started.accelerators >> bit) & 1U) == 0) {
      continue;
    }
    const Use& use = last_use_[started.worker][static_cast<std::size_t>(bit)];
    if (use.gang != started.gang && use.until > first) {
      Report(Promise::kP2, at,
             use.gang + " used accelerators of " + Describe(started) +
                 " after the first member had started");
      return;
    }
  }
}

void Oracle::TaskStarted(Millis at,
                         int worker,
                         const TaskId& task,
                         const std::string& name,
                         const std::string& attempt,
                         AcceleratorMask accelerators) {
  const DeclaredWork& work = declared_[name];
  Task row;
  row.gang = name + "@" + (attempt.empty() ? task.value : attempt);
  row.name = name;
  row.worker = worker;
  row.accelerators = accelerators;
  row.started = at;
  const std::size_t index = tasks_.size();
  tasks_.push_back(row);
  running_[{worker, task}] = index;
  Gang& gang = gangs_[row.gang];
  gang.members.push_back(index);
  attempts_[name].insert(row.gang);
  ++starts_[name];

  if (static_cast<int>(gang.members.size()) > work.tasks) {
    Report(Promise::kP2, at,
           Describe(row) + " is one task more than the attempt has");
  }
  if (!work.repeatable &&
      (starts_[name] > work.tasks || attempts_[name].size() > 1)) {
    Report(Promise::kP5, at, Describe(row) + " is a second start");
  }
  if (not_run_.count(name) != 0) {
    Report(Promise::kP4, at,
           Describe(row) + " starts after its caller was told not_run");
  }
  const auto deadline = start_before_.find(name);
  if (deadline != start_before_.end() && at > deadline->second) {
    Report(Promise::kDeadline, at,
           Describe(row) + " starts after its deadline");
  }
  const auto leaving = leaving_since_.find(worker);
  if (leaving != leaving_since_.end() && at > leaving->second + kLeavingBound) {
    Report(Promise::kP6, at,
           Describe(row) + " starts on a worker that has been leaving since " +
               std::to_string(leaving->second.count()) + " ms");
  }
  CheckOverlap(at, tasks_[index]);
  CheckGangs(at, tasks_[index]);
}

void Oracle::TaskThrottled(Millis at,
                           int worker,
                           const TaskId& task,
                           bool throttled) {
  const auto it = running_.find({worker, task});
  if (it == running_.end()) {
    return;
  }
  Task& row = tasks_[it->second];
  row.throttled = throttled;
  if (throttled && declared_[row.name].tasks > 1) {
    Report(Promise::kP2, at, Describe(row) + " of a gang is throttled");
  }
  if (!throttled) {
    CheckOverlap(at, row);
  }
}

void Oracle::TaskEnded(Millis at,
                       int worker,
                       const TaskId& task,
                       agent::TaskEventKind kind) {
  const auto it = running_.find({worker, task});
  if (it == running_.end()) {
    return;
  }
  Task& row = tasks_[it->second];
  row.ended = at;
  row.finished = kind == agent::TaskEventKind::kFinished;
  if (row.finished) {
    ++finished_[row.name];
  }
  for (int bit = 0; bit < kAccelerators; ++bit) {
    if (((row.accelerators >> bit) & 1U) != 0) {
      last_use_[worker][static_cast<std::size_t>(bit)] = {row.gang, at};
    }
  }
  running_.erase(it);
}

void Oracle::HolderDied(int worker) {
  for (Task& task : tasks_) {
    if (task.worker == worker) {
      task.holder_died = true;
    }
  }
}

void Oracle::WorkerLeaving(Millis at, int worker, bool leaving) {
  if (leaving) {
    leaving_since_.emplace(worker, at);
  } else {
    leaving_since_.erase(worker);
  }
}

void Oracle::Deadline(const std::string& name, Millis at, Millis timeout) {
  Millis& latest = start_before_[name];
  latest = std::max(
      latest, at + timeout + timeout * kDriftPercent / 100 + kCommandDelay);
}

void Oracle::ToldNotRun(Millis at, const std::string& name) {
  not_run_.insert(name);
  if (Starts(name) > 0) {
    Report(Promise::kP4, at, name + " ran, and its caller was told not_run");
  }
}

void Oracle::ToldAnswer(Millis at,
                        const std::string& name,
                        const std::string& body) {
  if (body != AnswerTo(declared_[name].body)) {
    Report(Promise::kP3, at, name + " got the answer '" + body + "'");
  }
}

void Oracle::ToldJobFinished(Millis at,
                             const std::string& name,
                             const std::string& result) {
  const DeclaredWork& work = declared_[name];
  if (result.find(AnswerTo(work.body)) == std::string::npos) {
    Report(Promise::kP3, at, name + " got the result '" + result + "'");
  }
  const bool complete = std::any_of(
      attempts_[name].begin(), attempts_[name].end(),
      [&](const std::string& attempt) {
        const Gang& gang = gangs_[attempt];
        return std::count_if(gang.members.begin(), gang.members.end(),
                             [&](std::size_t index) {
                               return tasks_[index].finished;
                             }) >= work.tasks;
      });
  if (!complete) {
    Report(Promise::kP2, at,
           name + " is reported finished, and no attempt finished every task");
  }
}

void Oracle::Tick(Millis at) {
  std::set<std::string> active;
  for (const auto& [key, index] : running_) {
    const Task& task = tasks_[index];
    if (declared_[task.name].tasks > 1) {
      active.insert(task.gang);
    }
  }
  for (const std::string& name : active) {
    Gang& gang = gangs_[name];
    if (gang.partial_reported) {
      continue;
    }
    const Task& first = tasks_[gang.members.front()];
    const int expected = declared_[first.name].tasks;
    const bool all_started = static_cast<int>(gang.members.size()) >= expected;
    std::string what;
    if (!all_started && at > first.started + kGangBound) {
      what = "only " + std::to_string(gang.members.size()) + " of " +
             std::to_string(expected) + " members have started";
    }
    for (const std::size_t index : gang.members) {
      const Task& member = tasks_[index];
      if (member.ended && !member.finished && at > *member.ended + kGangBound) {
        what = Describe(member) + " stopped at " +
               std::to_string(member.ended->count()) +
               " ms and another member still computes";
      }
    }
    if (!what.empty()) {
      gang.partial_reported = true;
      Report(Promise::kP2, at, name + ": " + what);
    }
  }
}

}  // namespace shallotlug::harness
