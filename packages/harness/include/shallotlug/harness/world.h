#ifndef SHALLOTLUG_HARNESS_WORLD_H_
#define SHALLOTLUG_HARNESS_WORLD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "shallotlug/agent/agent.h"
#include "shallotlug/api/calls.h"
#include "shallotlug/entry/entry.h"
#include "shallotlug/harness/fake_log.h"
#include "shallotlug/harness/fake_network.h"
#include "shallotlug/harness/fake_worker.h"
#include "shallotlug/harness/oracle.h"
#include "shallotlug/harness/process.h"
#include "shallotlug/harness/random.h"

namespace shallotlug::harness {

struct WorldOptions {
  int entries = 2;
  int agents = 4;
  int racks = 2;
  std::uint64_t seed = 1;
  Millis log_retention{3'600'000};
  agent::Options::Guards agent_guards;
  entry::Options::Guards entry_guards;
  std::ostream* trace = nullptr;  ///< Receives what every process did.
};

/// @brief How a live request stands for its caller.
enum class RequestState {
  kPending,
  kAnswered,
  kNotRun,
  kUnknown,
  kFailed,
  kConflict,
  kInvalid,
  kNotFound,
  kLost,  ///< The connection broke.
};

/// @brief A live request as its caller keeps it.
struct CallerRequest {
  std::string name;
  std::string body;
  CustomerName customer;
  ClassName request_class;
  bool repeatable = false;
  std::optional<RequestId> id;
  RequestState state = RequestState::kPending;
  int open_calls = 0;
};

/// @brief How the submission of a job ended.
enum class SubmitState {
  kPending,
  kAccepted,
  kNotAccepted,
  kCanNeverRun,
  kInvalid,
  kUnknown,
  kLost,
};

/// @brief A long job as its caller keeps it.
struct CallerJob {
  std::string name;
  api::SubmitJobCall call;
  JobId id;
  SubmitState submit = SubmitState::kPending;
  std::optional<api::JobState> state;
  std::optional<api::JobState> final_state;
  bool poll_open = false;
  int submissions = 0;
};

enum class ChangeState {
  kPending,
  kAccepted,
  kConflict,
  kExceedsCapacity,
  kInvalid,
  kNotAccepted,
  kUnknown,
  kLost,
};

/// @brief A change of a target as its operator keeps it.
struct OperatorChange {
  ClassTarget target;
  ChangeState state = ChangeState::kPending;
  std::uint64_t version = 0;
  Millis accepted_at{};
  std::string reason;
};

class ConfigurationCheck;
struct ConfiguredCluster;

/// @brief Entries, agents, backend servers, the log, callers and operators on
/// one fake clock.
class World {
 public:
  explicit World(const WorldOptions& options);
  ~World();

  // NOLINTBEGIN(readability-identifier-naming): accessors.
  Millis now() const { return now_; }
  Oracle& oracle() { return oracle_; }
  FakeNetwork& network() { return network_; }
  FakeLog& log() { return log_; }
  FakeWorker& worker(int agent);
  int entries() const { return static_cast<int>(entries_.size()); }
  int agents() const { return static_cast<int>(agents_.size()); }
  // NOLINTEND(readability-identifier-naming)

  void Advance(Millis duration);
  /// @brief Advances until `done` holds. @return false when time ran out.
  template <class Done>
  bool AdvanceUntil(Millis limit, Done done) {
    const Millis end = now_ + limit;
    while (!done()) {
      if (now_ >= end) {
        return false;
      }
      Advance(Millis(10));
    }
    return true;
  }

  bool Alive(const ProcessRef& process) const;
  void Kill(const ProcessRef& process, bool silently);
  /// @brief Starts a new incarnation; kills the old one when it runs.
  void Restart(const ProcessRef& process);
  void Freeze(const ProcessRef& process, Millis duration);
  void Shutdown(const ProcessRef& process);
  /// @brief Ends all faults and starts every process that does not run.
  void Calm();
  /// @brief Starts every process that does not run.
  void StartAll();

  // Callers. A call through an entry that is not alive is lost at once.
  CallerRequest& Request(const std::string& name);
  CallerJob& Job(const std::string& name);
  OperatorChange& Change(const std::string& name);
  bool HasRequest(const std::string& name) const;
  bool HasJob(const std::string& name) const;
  bool HasChange(const std::string& name) const;

  void DeclareRequest(const CallerRequest& request);
  void Mint(const std::string& name, int entry);
  void Send(const std::string& name, int entry, Millis timeout);
  void Ask(const std::string& name, int entry, Millis timeout);
  void Resolve(const std::string& name, int entry, bool cancel);
  void Submit(const CallerJob& job, int entry);
  void CancelJobs(const api::CancelJobsCall& call, int entry);
  void SetTarget(const std::string& name,
                 const ClassTarget& target,
                 std::uint64_t base_version,
                 bool remove,
                 int entry);

  /// @brief Version of a class after the last change seen as accepted.
  std::uint64_t AcceptedVersion(const ClassName& name) const;
  /// @brief Whether every live process uses the change or a later one.
  bool InForceEverywhere(const OperatorChange& change) const;

  /// @brief A fault until `until` may cost requests in flight their answers, so
  /// that a graceful shutdown is not the only cause.
  void ExcuseInFlight(Millis until);

  /// @brief Cuts this share of the answers short between agent and entry.
  void DamageAnswers(int percent, Millis until);

  bool AllCallsReplied() const;
  std::string OpenCallNames() const;
  bool AllJobsFinal() const;
  /// @brief Jobs whose callers do not know whether they were accepted.
  std::vector<std::string> UncertainJobs() const;
  /// @brief Names of accepted jobs without a final state.
  std::vector<std::string> UnfinishedJobs() const;

 private:
  struct Agent;
  struct Entry;
  enum class CallKind {
    kMint,
    kRequest,
    kResolve,
    kSubmit,
    kPoll,
    kChange,
    kOther,
  };
  struct OpenCall {
    CallKind kind = CallKind::kOther;
    std::string name;
    int entry = 0;
    Millis timeout{};
    Millis deadline{};         ///< Counted from when the entry took the call.
    bool taken = false;        ///< The entry has read it.
    bool must_answer = false;  ///< In flight at a graceful shutdown (P7).
  };

  void StartAgent(Agent& agent);
  void StartEntry(Entry& entry);
  void StepAgent(Agent& agent);
  void StepEntry(Entry& entry);
  void Tick();
  void Tamper(Message& message);
  void Trace(const ProcessRef& process,
             const std::vector<LogLine>& lines) const;
  void TraceCommand(const ProcessRef& process,
                    const agent::BackendCommand& command) const;
  void TraceReply(const OpenCall& call, const api::Reply& reply) const;
  void Trace(const std::string& subject, const std::string& what) const;

  void Call(int entry,
            CallKind kind,
            const std::string& name,
            Millis timeout,
            api::Call call);
  void HandleReply(const OpenCall& call, const api::Reply& reply);
  void HandleRequestReply(const OpenCall& call, const api::Reply& reply);
  void HandleJobReply(const OpenCall& call, const api::Reply& reply);
  void HandleChangeReply(const OpenCall& call, const api::Reply& reply);
  void CallLost(const OpenCall& call);
  void PollJobs();
  void CheckRevision(const ProcessRef& process,
                     std::uint64_t revision,
                     std::uint64_t& highest);
  ConfiguredCluster Configured() const;

  WorldOptions options_;
  Random random_;
  Random clock_random_;  ///< Of clocks that begin anew.
  Millis now_{};
  Oracle oracle_;
  FakeNetwork network_;
  FakeLog log_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::uint64_t next_call_ = 1;
  std::map<entry::CallId, OpenCall> open_calls_;
  std::map<std::string, CallerRequest> requests_;
  std::map<std::string, CallerJob> jobs_;
  std::map<std::string, OperatorChange> changes_;
  Millis next_poll_{};
  Millis faults_until_{};
  int damaged_percent_ = 0;
  Millis damaged_until_{};
  std::unique_ptr<ConfigurationCheck> configuration_check_;
};

}  // namespace shallotlug::harness

#endif  // SHALLOTLUG_HARNESS_WORLD_H_
