#ifndef SHALLOTLUG_HARNESS_ORACLE_H_
#define SHALLOTLUG_HARNESS_ORACLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "shallotlug/agent/backend.h"
#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"

namespace shallotlug::harness {

/// @brief What was broken. The numbers are those of docs/design.md.
enum class Promise {
  kP1 = 1,
  kP2,
  kP3,
  kP4,
  kP5,
  kP6,
  kP7,
  kP8,
  kDeadline,  ///< Section 5: nothing starts after `start_before`.
  kLiveness,
  kExpectation,  ///< An `expect` step of a scenario did not hold.
};

std::string ToString(Promise promise);

struct Violation {
  Promise promise = Promise::kP1;
  Millis at{};
  std::string what;
};

std::string ToString(const Violation& violation);

/// @brief Work that a caller handed in, as the caller knows it.
struct DeclaredWork {
  std::string body;
  bool repeatable = true;
  bool job = false;
  int tasks = 1;
};

/// @brief Checks the promises on what workers and callers saw, never on what
/// the system says about itself.
class Oracle {
 public:
  void Declare(const std::string& name, const DeclaredWork& work);

  // Seen by workers.
  /// @param attempt names a job's attempt; empty for a live request.
  void TaskStarted(Millis at,
                   int worker,
                   const TaskId& task,
                   const std::string& name,
                   const std::string& attempt,
                   AcceleratorMask accelerators);
  void TaskThrottled(Millis at, int worker, const TaskId& task, bool throttled);
  void TaskEnded(Millis at,
                 int worker,
                 const TaskId& task,
                 agent::TaskEventKind kind);
  /// @brief The agent beside a worker ended. Nobody holds its tasks'
  /// accelerators any more, and the rest of their gangs stops within the lease
  /// (docs/design.md, section 6: a worker's death cannot be prevented).
  void HolderDied(int worker);
  void WorkerLeaving(Millis at, int worker, bool leaving);

  // Seen by callers.
  /// @brief A caller was told that its work was not run.
  void ToldNotRun(Millis at, const std::string& name);
  /// @brief A caller hands in again, under the same key, what was not accepted.
  /// @brief The latest time at which a request's caller still waits.
  void Deadline(const std::string& name, Millis at, Millis timeout);
  void HandedInAgain(const std::string& name) { not_run_.erase(name); }
  void ToldAnswer(Millis at, const std::string& name, const std::string& body);
  /// @brief A job was reported as finished with `result`.
  void ToldJobFinished(Millis at,
                       const std::string& name,
                       const std::string& result);

  /// @brief Checks what only the passing of time can break.
  void Tick(Millis at);

  void Report(Promise promise, Millis at, const std::string& what);
  // NOLINTNEXTLINE(readability-identifier-naming): accessor.
  const std::vector<Violation>& violations() const { return violations_; }
  int Starts(const std::string& name) const;
  int Running(const std::string& name) const;
  int Finished(const std::string& name) const;

 private:
  static constexpr int kAccelerators = 32;

  /// @brief A task seen on a worker. Gang members of one attempt share `gang`.
  struct Task {
    std::string gang;
    std::string name;
    int worker = 0;
    AcceleratorMask accelerators = 0;
    Millis started{};
    std::optional<Millis> ended;
    bool finished = false;
    bool throttled = false;
    bool holder_died = false;
  };
  struct Use {
    std::string gang;
    Millis until{};
  };
  struct Gang {
    std::vector<std::size_t> members;
    bool partial_reported = false;
  };
  using TaskKey = std::pair<int, TaskId>;

  void CheckOverlap(Millis at, const Task& task);
  void CheckGangs(Millis at, const Task& started);
  std::string Describe(const Task& task) const;

  std::map<std::string, DeclaredWork> declared_;
  std::map<std::string, int> starts_;
  std::map<std::string, std::set<std::string>> attempts_;
  std::map<std::string, int> finished_;
  std::set<std::string> not_run_;
  std::map<std::string, Millis> start_before_;
  std::map<int, Millis> leaving_since_;
  std::vector<Task> tasks_;
  std::map<TaskKey, std::size_t> running_;
  std::map<std::string, Gang> gangs_;
  /// Last use of each accelerator, by worker.
  std::map<int, std::array<Use, kAccelerators>> last_use_;
  std::vector<Violation> violations_;
};

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_ORACLE_H_
