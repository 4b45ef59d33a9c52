#ifndef SHALLOTLUG_EXECUTOR_SRC_IMPL_H_
#define SHALLOTLUG_EXECUTOR_SRC_IMPL_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "crashes.h"
#include "shallotlug/executor/executor.h"

/// State of the executor. Its functions stand with their concept: orders.cc,
/// views.cc and lives.cc.
namespace shallotlug::executor {

/// @brief A run that is or may be on the worker.
struct TrackedRun {
  protocol::RunPhase phase = protocol::RunPhase::kStarting;
  protocol::StartOrder order;  ///< Only while starting.
  workload::ActiveRun active;
  int attempts = 0;
  TimePoint next_call{};
  bool call_pending = false;
  /// An earlier start was not answered and may still take effect.
  bool ambiguous = false;
  /// Listed by the current life of the worker.
  bool listed = false;
  /// When the worker confirmed the start to this process of the agent.
  std::optional<TimePoint> started_at;
  /// The run is refused once a look with this or a higher number shows that it
  /// is not on the worker.
  std::optional<std::uint64_t> refuse_from_look;
  protocol::RefusalReason reason = protocol::RefusalReason::kStopped;
  /// Number of the first look sent after the worker confirmed the start.
  std::uint64_t first_look_after_start = 0;
};

struct SettledRefusal {
  protocol::RefusalReason reason = protocol::RefusalReason::kNoRoom;
  TimePoint until{};  ///< An order that was sent before may still arrive.
};

/// @brief What a heartbeat says.
struct Heartbeat {
  workload::WorkerFacts facts;
  std::uint64_t sequence = 0;
};

/// @brief Heartbeats of the present life that do not follow the accepted ones.
struct OtherHeartbeats {
  std::uint64_t sequence = 0;  ///< Of the last one.
  int in_order = 0;            ///< Each with a higher sequence number.
};

/// @brief Whether the run is on the worker, or a start of it was sent.
bool MayBePresent(const TrackedRun& run);

struct Executor::Impl {
  ExecutorOptions options;
  std::uint64_t epoch = 0;
  TimePoint lease_until{};

  std::optional<workload::WorkerFacts> facts;
  std::uint64_t heartbeat_sequence = 0;
  TimePoint beat_at{};  ///< When the last heartbeat was accepted.
  OtherHeartbeats other_beats;
  /// Heartbeats of other lives, whose looks are due, and those whose looks are
  /// under way, by look number.
  std::deque<Heartbeat> candidates;
  std::map<std::uint64_t, Heartbeat> probes;
  /// The heartbeat that was last logged as ignored, and why.
  workload::WorkerLife ignored_life;
  std::string ignored_reason;
  bool lists_read = false;  ///< Lists of the current life.
  /// The lists that were read last leave out ends: a run that is in neither
  /// list may have ended.
  bool more_ends = false;
  bool departed = false;
  bool silent = false;
  std::int64_t reported_born = 0;
  bool life_answered = false;  ///< An answer has stated `reported_born`.
  /// The first look that was sent after `reported_born` was first heard of.
  std::uint64_t life_from_look = 0;
  /// `born` of the former lives that were heard of, the latest last.
  std::deque<std::int64_t> former_lives;
  TimePoint answered_at{};
  /// For how long this process has stood still since the last answer.
  Millis stood_still{0};
  std::optional<TimePoint> stepped_at;
  PeerClockSample clock;
  bool clock_known = false;
  WorkerTime granted_lease{};
  /// Upper bound of all leases sent to the worker, also by former processes.
  TimePoint granted_until{};

  std::map<workload::RunRef, TrackedRun> runs;
  std::vector<workload::RunEnd> ends;
  std::vector<workload::RunEnd> former_ends;  ///< Of earlier lives.
  protocol::SpeedNote speed;                  ///< Of the current life.
  TimePoint read_at{};  ///< When the runs' progress was read.
  /// When the current life last answered or sent a heartbeat.
  TimePoint heard_at{};
  /// Runs of the current life whose lease has expired while it was silent.
  std::vector<PresentRun> lapsed_runs;
  std::map<workload::RunRef, protocol::CrashReport>
      crashes;  ///< Of earlier lives.
  std::map<workload::RunRef, protocol::RefusalReason> refusals;
  /// Refusals that the scheduler has recorded.
  std::map<workload::RunRef, SettledRefusal> settled_refusals;
  /// When starts that may yet be carried out were found to have no answer.
  std::map<workload::RunRef, TimePoint> unanswered_starts;
  std::uint64_t noted_ends = 0;
  std::uint64_t confirmed_noted_ends = 0;  ///< Answered by the worker.

  std::uint64_t version = 1;
  std::uint64_t next_look = 1;
  /// `noted_ends` of each look that is not answered yet, by look number.
  std::map<std::uint64_t, std::uint64_t> pending_looks;
  std::uint64_t immediate_look = 0;  ///< Look up to this number at once.
  std::vector<LogLine> log;

  void MarkChanged() { ++version; }
  void Log(std::string event,
           const workload::RunRef& run,
           std::vector<Label> fields);
  void Refuse(const workload::RunRef& run, protocol::RefusalReason reason);
  void StartNewLife(const char* cause, TimePoint now);
  bool IsFormerLife(std::int64_t born) const;
  /// @brief Answers tell lives apart from now on, beginning with this one.
  /// @param answered It has answered itself.
  void HearLife(std::int64_t born, bool answered);
  bool ContinuesHeartbeats(const Heartbeat& beat, TimePoint now);
  bool IsConfirmed(const workload::WorkerLife& life) const;
  void AddCandidate(const Heartbeat& beat);
  /// @brief The heartbeat is the worker's own.
  void Adopt(const Heartbeat& beat, TimePoint now);
  void LogIgnored(const Heartbeat& beat, const char* reason);
  /// @brief A look that names a life which no answer has confirmed. It extends
  /// no lease and notes no ends.
  WorkerQuery MakeProbe();
  /// @brief Takes over the life that a look was sent to, if the worker has
  /// confirmed it.
  void OnProbeAnswer(const Heartbeat& beat,
                     const WorkerView& view,
                     TimePoint now);
  void StopUnansweredStarts(TimePoint now);
  void RecordCrash();
  /// @brief When the lease of the request ends, by this process's clock.
  /// Nothing if there is none, or if it refers to another incarnation.
  std::optional<TimePoint> LeaseEnd(const protocol::SyncRequest& request);
  void AcceptStart(const protocol::StartOrder& order,
                   const workload::WorkerLife& life,
                   TimePoint now);
  void BeginStop(const workload::RunRef& run,
                 protocol::RefusalReason reason,
                 TimePoint now);
  void RefuseOnceAbsent(TrackedRun& run, protocol::RefusalReason reason);
  bool HasEnded(const workload::RunRef& run) const;
  std::optional<WorkerTime> SafeWorkerLease() const;
  std::optional<WorkerTime> GrantLease();
  void NoteStep(TimePoint now);
  void NoteAnswer(TimePoint now);
  Millis WorkerSilence(TimePoint now) const;
  void ExpireSilentWorker(TimePoint now);
  WorkerQuery MakeQuery(Millis wait);
  void NotePage(const WorkerView& view);
  void ApplyActiveRuns(const std::vector<workload::ActiveRun>& active);
  /// @brief Decides on runs that are in neither list of the worker.
  void ApplyAbsentRuns(const std::vector<workload::ActiveRun>& active,
                       std::uint64_t number);
  void ApplyEnds(const std::vector<workload::RunEnd>& list);
};

}  // namespace shallotlug::executor

#endif  // SHALLOTLUG_EXECUTOR_SRC_IMPL_H_
