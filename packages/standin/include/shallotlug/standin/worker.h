#ifndef SHALLOTLUG_STANDIN_WORKER_H_
#define SHALLOTLUG_STANDIN_WORKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"

namespace shallotlug::standin {

struct WorkerOptions {
  int slots = 8;
  int accelerators = 8;
  Millis default_run_time{10};  ///< Of a body that asks for none.
  Millis checkpoint_time{200};
  Millis usage_lag{1'000};
  double throttled_speed = 0.1;
  std::uint64_t incarnation = 1;
};

/// @brief What may be changed while a worker runs.
struct WorkerControls {
  bool fail_all = false;
  bool leaving = false;
  double speed = 1;
};

/// @brief What a start asks for.
struct WorkerStart {
  std::string task;
  bool live = false;
  AcceleratorMask accelerators = 0;
  TimePoint lease_until{};
  std::string body;
  std::string checkpoint;
};

enum class StartOutcome { kStarted, kKnown, kRejected };

struct WorkerTask {
  WorkerStart start;
  Millis run_time{};
  bool fails = false;
  double done_ms = 0;  ///< At full speed.
  bool throttled = false;
  std::optional<TimePoint> checkpointed_at;  ///< When a checkpoint is ready.
  double reported_progress = 0;
  TimePoint reported_at{};
};

/// @brief Something that happened to a task. `kind` is a word of the backend
/// server's protocol.
struct WorkerEvent {
  std::uint64_t sequence = 0;
  std::string kind;
  std::string task;
  std::string answer;
  std::string reason;
};

/// @brief A line of the evidence for tests.
struct HistoryLine {
  TimePoint at{};  ///< Worker's clock.
  std::string what;
  std::string task;
  AcceleratorMask accelerators = 0;
  bool live = false;
  std::string body;
};

/// @brief A worker that runs tasks under leases. It reads no clock; times are
/// on the worker's own clock.
///
/// A body may be a JSON object with `run_ms` and `fail`. The answer of a task
/// is `{"task","digest","bytes"}` with the digest of its body.
class Worker {
 public:
  Worker(const WorkerOptions& options, TimePoint now);

  /// @brief Runs all tasks up to `now`.
  void Advance(TimePoint now);

  /// @brief The next time at which a task changes by itself.
  std::optional<TimePoint> NextDue() const;

  /// @param reason Set when rejected.
  StartOutcome Start(const WorkerStart& start, std::string& reason);

  /// @brief False for an unknown task.
  bool Renew(const std::string& task, TimePoint lease_until);

  /// @brief Carries out `checkpoint`, `throttle`, `resume` or `stop`.
  /// @return Empty, or the reason why not.
  std::string Control(const std::string& task, const std::string& action);

  /// @brief Marks a change that pollers wait for.
  void Touch() { ++sequence_; }

  std::uint64_t Sequence() const { return sequence_; }
  const std::map<std::string, WorkerTask>& Tasks() const { return tasks_; }
  std::vector<WorkerEvent> EventsAfter(std::uint64_t sequence) const;
  const std::vector<HistoryLine>& History() const { return history_; }

  WorkerOptions options;
  WorkerControls controls;

 private:
  using TaskTable = std::map<std::string, WorkerTask>;

  void AdvanceTask(WorkerTask& task, TimePoint now);
  double SpeedOf(const WorkerTask& task) const;
  std::optional<TimePoint> FinishTime(const WorkerTask& task) const;
  bool InUse(AcceleratorMask mask, const std::string& except) const;
  int RunningTasks() const;
  TaskTable::iterator End(TaskTable::iterator it,
                          const std::string& kind,
                          std::string answer,
                          std::string reason,
                          TimePoint at);
  void Note(const std::string& what, const WorkerStart& start, TimePoint at);

  TimePoint now_;
  std::uint64_t sequence_ = 1;
  TaskTable tasks_;
  std::map<std::string, bool> known_;  ///< Every task that was ever started.
  std::vector<WorkerEvent> events_;
  std::vector<HistoryLine> history_;
};

/// @brief The digest of a body in an answer: xxHash64 in hexadecimal.
std::string DigestOf(const std::string& body);

}  // namespace shallotlug::standin

#endif  // SHALLOTLUG_STANDIN_WORKER_H_
