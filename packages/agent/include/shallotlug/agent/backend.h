#ifndef SHALLOTLUG_AGENT_BACKEND_H_
#define SHALLOTLUG_AGENT_BACKEND_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"

/// Commands to the backend server beside an agent, and its reports.
namespace shallotlug::agent {

/// @brief Starts a task under a lease. Starting a task id again changes
/// nothing.
struct StartTask {
  TaskId task;
  bool live = false;
  AcceleratorMask accelerators = 0;
  PeerTime lease_until{};  ///< Backend server's clock.
  Millis declared_run_time{};
  std::string body;
  std::string checkpoint;
};

struct RenewLease {
  TaskId task;
  PeerTime lease_until{};  ///< Backend server's clock.
};

enum class TaskAction { kCheckpoint, kThrottle, kResume, kStop };

struct ControlTask {
  TaskId task;
  TaskAction action = TaskAction::kStop;
};

using BackendCommand = std::variant<StartTask, RenewLease, ControlTask>;

/// @brief A command and the incarnation of the backend server whose clock and
/// tasks it refers to. No other incarnation may get it.
struct AddressedCommand {
  std::uint64_t incarnation = 0;
  BackendCommand command;
};

enum class TaskEventKind {
  kStarted,
  kRejected,      ///< The backend server did not start it and never will.
  kFinished,      ///< Carries the answer.
  kFailed,        ///< Ran and failed.
  kCheckpointed,  ///< Stopped; carries the checkpoint.
  kStopped,
  kLapsed,  ///< Stopped by the backend server when its lease ended.
};

/// @brief Something that happened to a task. Events of one backend server
/// arrive in order and once.
struct TaskEvent {
  TaskId task;
  TaskEventKind kind = TaskEventKind::kStarted;
  std::string answer;
  std::uint64_t answer_length = 0;  ///< As the backend server declared it.
  std::string reason;
};

/// @brief A task that the backend server runs now. Only `progress` lags.
struct TaskUsage {
  TaskId task;
  AcceleratorMask accelerators = 0;
  bool throttled = false;
  double progress = 0;  ///< 0 to 1.
};

/// @brief A report of the backend server.
struct BackendReport {
  PeerTime now{};  ///< Backend server's clock.
  /// Drawn when the backend server started; a change means that all tasks are
  /// gone.
  std::uint64_t incarnation = 0;
  bool leaving = false;
  std::vector<TaskUsage> usage;  ///< Every running task.
  std::vector<TaskEvent> events;
};

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_BACKEND_H_
