#ifndef SHALLOTLUG_HARNESS_FAKE_WORKER_H_
#define SHALLOTLUG_HARNESS_FAKE_WORKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "shallotlug/agent/backend.h"
#include "shallotlug/harness/oracle.h"
#include "shallotlug/harness/process.h"
#include "shallotlug/harness/random.h"
#include "shallotlug/harness/workload.h"

namespace shallotlug::harness {

/// @brief A backend server. It accepts overlapping accelerators, so that the
/// oracle sees a violation instead of the worker hiding it.
class FakeWorker {
 public:
  FakeWorker(int index, ClockModel clock, std::uint64_t seed, Oracle& oracle);

  /// @brief Carries out a command. An incarnation that it is not addressed to
  /// ignores it, as the protocol of the backend server says.
  void Handle(Millis now, const agent::AddressedCommand& addressed);
  void Tick(Millis now);
  /// @brief The next report when one is due.
  std::optional<agent::BackendReport> TakeReport(Millis now);

  /// @brief A new agent asks for the status at once.
  void ReportNow() { changed_ = true; }
  void SetLeaving(Millis now, bool leaving);
  void SetFailsAll(bool fails) { fails_all_ = fails; }
  void SetCutsAnswers(bool cuts) { cuts_answers_ = cuts; }
  void SetCheckpointTime(Millis time) { checkpoint_time_ = time; }
  /// @brief Starts a new incarnation, whose clock begins anew.
  void Restart(Millis now);
  /// @brief Whether a task of the named work runs here.
  bool Runs(const std::string& name) const;

 private:
  struct Task {
    TaskId id;
    std::string body;
    Workload work;
    bool live = false;
    AcceleratorMask accelerators = 0;
    PeerTime lease_until{};
    Millis done{};
    Millis seen{};
    bool throttled = false;
    std::optional<Millis> checkpoint_at;
  };

  void Start(Millis now, const agent::StartTask& start);
  void Control(Millis now, const agent::ControlTask& control);
  void End(Millis now,
           const TaskId& id,
           agent::TaskEventKind kind,
           const std::string& answer,
           const std::string& reason);
  PeerTime Now(Millis now) const { return PeerTime(clock_.Read(now)); }

  int index_;
  ClockModel clock_;
  Random random_;
  Random clock_random_;
  Oracle& oracle_;
  std::uint64_t incarnation_;
  bool leaving_ = false;
  bool fails_all_ = false;
  bool cuts_answers_ = false;
  bool changed_ = true;
  Millis checkpoint_time_{500};
  Millis next_report_{};
  std::map<TaskId, Task> tasks_;
  std::set<TaskId> known_;
  std::vector<agent::TaskEvent> events_;
};

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_FAKE_WORKER_H_
