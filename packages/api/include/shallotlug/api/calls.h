#ifndef SHALLOTLUG_API_CALLS_H_
#define SHALLOTLUG_API_CALLS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/findings.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/base/work.h"
#include "shallotlug/protocol/request_id.h"

/// Typed calls of the HTTP API and their replies. docs/api.md describes them.
namespace shallotlug::api {

// ------------------------------------------------------------------ callers

/// @brief `POST /v1/requests:mint`
struct MintCall {
  CustomerName customer;
  ClassName request_class;
};

/// @brief `POST /v1/requests/{id}`: runs the request, or joins it.
struct SendCall {
  RequestId id;
  CustomerName customer;
  ClassName request_class;
  Millis timeout{};  ///< 0: the class's target.
  bool repeatable = false;
  std::string body;
};

/// @brief `POST /v1/requests`: mints and sends.
struct OneShotCall {
  CustomerName customer;
  ClassName request_class;
  Millis timeout{};  ///< 0: the class's target.
  bool repeatable = false;
  std::string body;
};

/// @brief `POST /v1/requests/{id}:resolve` and `:cancel`.
struct ResolveCall {
  RequestId id;
  CustomerName customer;
  bool cancel = false;
};

/// @brief `POST /v1/jobs`. The same customer and key name the same job.
struct SubmitJobCall {
  std::string key;
  JobSpec spec;  ///< `id` is empty: it is made from customer and key.
};

/// @brief `GET /v1/jobs/{id}`
struct GetJobCall {
  JobId id;
};

/// @brief `POST /v1/jobs:cancel`
struct CancelJobsCall {
  CustomerName customer;
  std::vector<JobId> ids;  ///< Empty: all jobs of the customer and class.
  ClassName job_class;     ///< Empty: all classes.
};

// ---------------------------------------------------------------- operators

/// @brief `PUT /v1/targets/{class}`
struct SetTargetCall {
  std::string change_id;  ///< Chosen by the operator's client; idempotent.
  ClassTarget target;
  std::uint64_t base_version = 0;  ///< 0: the class must not exist.
  bool remove = false;
};

/// @brief `GET /v1/targets` and `GET /v1/targets/{class}`
struct GetTargetsCall {
  ClassName name;  ///< Empty: all.
};

/// @brief `GET /v1/targets/{class}/history`
struct HistoryCall {
  ClassName name;
};

/// @brief `GET /v1/changes/{change_id}`: looks up a change whose answer was
/// lost.
struct GetChangeCall {
  std::string change_id;
};

/// @brief `GET /v1/status`
struct StatusCall {};

/// @brief `GET /v1/burn`: this entry's part of the burn report.
struct BurnCall {};

using Call = std::variant<MintCall,
                          SendCall,
                          OneShotCall,
                          ResolveCall,
                          SubmitJobCall,
                          GetJobCall,
                          CancelJobsCall,
                          SetTargetCall,
                          GetTargetsCall,
                          HistoryCall,
                          GetChangeCall,
                          StatusCall,
                          BurnCall>;

// ------------------------------------------------------------------ replies

/// @brief Stable error words of the API, with their HTTP status.
enum class ErrorCode {
  kInvalid,          ///< 400 `invalid`: findings say where.
  kUnauthorized,     ///< 401 `unauthorized`
  kNotFound,         ///< 404 `not_found`: job, class, change or customer.
  kConflict,         ///< 409 `conflict`: id reused, or a lost race.
  kCanNeverRun,      ///< 422 `can_never_run`: no worker or rack can hold it.
  kExceedsCapacity,  ///< 422 `exceeds_capacity`: guarantees exceed what exists.
  kNotRun,           ///< 503 `not_run`: proven; safe to send again.
  kNotAccepted,      ///< 503 `not_accepted`: nothing was recorded.
  kOutcomeUnknown,   ///< 504 `outcome_unknown`: it may have run or may run.
  kFailed,           ///< 502 `failed`: the backend server ran it and failed.
};

struct ErrorReply {
  ErrorCode code = ErrorCode::kInvalid;
  std::string reason;   ///< Stable word, such as `queue_full`.
  std::string message;  ///< What was wrong and what to do.
  Findings findings;
  std::optional<RequestId> id;  ///< The request that this is about.
};

struct MintReply {
  RequestId id;
  Millis expires_in{};
};

/// @brief The whole answer to a live request; the body is sent as it is.
struct AnswerReply {
  RequestId id;
  std::string body;
};

enum class JobState {
  kQueued,
  kRunning,
  kFinished,
  kFailed,
  kCancelled,
  kOutcomeUnknown,
};

struct JobReply {
  JobSpec spec;
  JobState state = JobState::kQueued;
  std::uint32_t attempts = 0;
  double progress = 0;
  std::string result;
  std::string reason;
  bool created = false;  ///< With SubmitJobCall: 201 rather than 200.
};

struct CancelJobsReply {
  std::size_t cancelled = 0;
  std::size_t already_final = 0;
  std::size_t unknown = 0;
};

struct TargetsReply {
  Targets targets;
};

struct TargetChange {
  std::string change_id;
  ClassTarget target;
  std::uint64_t version = 0;  ///< Version that it made; 0 when rejected.
  std::uint64_t base_version = 0;
  bool removed = false;
  bool accepted = false;
};

struct ChangeReply {
  TargetChange change;
};

struct HistoryReply {
  std::vector<TargetChange> changes;
};

/// @brief What an entry sees of an agent and its worker.
struct WorkerStatus {
  std::string agent;
  std::string data_centre;
  std::string rack;
  bool alive = false;
  bool leaving = false;
  bool quarantined = false;
  int accelerators = 0;
  int free_accelerators = 0;
  int live_running = 0;
  std::uint64_t config_revision = 0;
};

struct StatusReply {
  std::string entry;
  std::string data_centre;
  bool planner = false;  ///< Whether this entry plans its data centre now.
  bool log_available = false;
  std::uint64_t config_revision = 0;
  std::size_t jobs_queued = 0;
  std::size_t jobs_running = 0;
  std::vector<WorkerStatus> workers;
  std::vector<std::string> entries;  ///< Operator addresses of live entries.
};

/// @brief Requests of one window.
struct BurnWindow {
  std::int64_t total = 0;
  std::int64_t met = 0;
};

enum class GuaranteeState { kNone, kHeld, kLent, kReclaiming, kShort };

/// @brief One class of one customer, from one entry. Windows of several entries
/// are added up.
struct BurnRow {
  ClassName name;
  CustomerName customer;
  Millis finish_within{};
  double objective = 0;
  BurnWindow five_minutes;
  BurnWindow one_hour;
  BurnWindow six_hours;
  GuaranteeState guarantee = GuaranteeState::kNone;
};

struct BurnReply {
  std::string entry;
  std::vector<BurnRow> rows;
  std::vector<std::string> entries;  ///< Operator addresses of live entries.
};

using Reply = std::variant<ErrorReply,
                           MintReply,
                           AnswerReply,
                           JobReply,
                           CancelJobsReply,
                           TargetsReply,
                           ChangeReply,
                           HistoryReply,
                           StatusReply,
                           BurnReply>;

}  // namespace shallotlug::api

#endif  // SHALLOTLUG_API_CALLS_H_
