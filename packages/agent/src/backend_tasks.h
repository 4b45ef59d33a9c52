#ifndef SHALLOTLUG_AGENT_SRC_BACKEND_TASKS_H_
#define SHALLOTLUG_AGENT_SRC_BACKEND_TASKS_H_

#include <string>

#include "state.h"

/// Tasks at the backend server: starts, leases, events.
namespace shallotlug::agent {

/// @brief Parameters of a new task.
struct TaskStart {
  TaskOwner owner;
  bool live = false;
  AcceleratorMask accelerators = 0;
  bool throttleable = false;
  Millis declared_run_time{};
  std::string body;
  std::string checkpoint;
};

/// @brief Starts a task once under a lease that ends at `lease_until` at the
/// latest, and returns its new id. A start is never repeated: after a restart
/// of the backend server a repetition would run the task again.
TaskId StartNewTask(State& state,
                    TaskStart start,
                    TimePoint lease_until,
                    Outbox& out);

void ControlTaskById(State& state,
                     const TaskId& task,
                     TaskAction action,
                     Outbox& out);

void OnBackendReport(State& state,
                     const BackendReport& report,
                     TimePoint now,
                     Outbox& out);
void OnBackendUnreachable(State& state, Outbox& out);

/// @brief Renews the leases of all tasks that the backend server reports.
void RenewLeases(State& state, TimePoint now, Outbox& out);

}  // namespace shallotlug::agent

#endif  // SHALLOTLUG_AGENT_SRC_BACKEND_TASKS_H_
