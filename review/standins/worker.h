#ifndef REVIEW_STANDINS_WORKER_H_
#define REVIEW_STANDINS_WORKER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

/// @brief A start of a task that a worker has carried out.
struct Start {
  std::string worker;
  std::string task;
  int run = 0;
  double at = 0;      ///< Seconds, by the record.
  double ended = -1;  ///< -1: it runs.
  std::string how;    ///< How it ended.
};

/// @brief What becomes of an order to start a task.
enum class Fate {
  kAnswered,
  kLate,  ///< No answer; carried out `lateness` later.
};

struct WorkerOptions {
  std::string id;
  std::string service;
  std::string zone;
  std::string rack;
  int cpu = 32'000;
  int memory_mb = 131'072;
  int gpu = 8;
  Millis longest_lease{10'000};
  Millis heartbeat{1'500};
  Millis lateness{4'000};
};

/// @brief A worker. The `spec` of a task says how long it runs: "run_ms=N".
class Worker {
 public:
  using FateOf = std::function<Fate(const std::string& task, int run)>;

  Worker(const WorkerOptions& options, Record& record);

  std::string Address() const { return server_.Address(); }
  /// @brief Begins to send heartbeats to the agent.
  void Join(const std::string& agent);
  void SetFate(FateOf fate);
  /// @brief Ends all that runs, without a word, and is not there for `down`.
  /// Then a new life begins, which knows nothing of this one.
  /// @param keeps_id The new life has the id of this one.
  void Crash(Millis down, bool keeps_id = false);
  /// @brief Told of each hold when it comes and before it is answered; with
  /// true it gets no answer.
  using HoldFate = std::function<bool(std::uint64_t last_seen, bool is_answer)>;
  void SetHoldFate(HoldFate fate);
  /// @brief Carries out a hold that got no answer before.
  void CarryOutHold(std::uint64_t last_seen);
  std::vector<Start> Starts();

 private:
  struct Run {
    int run = 0;
    Clock::time_point began;
    Millis length{0};
    std::size_t start = 0;  ///< Position in `starts_`.
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };
  struct Order {
    std::string task;
    int run = 0;
    std::string spec;
    std::uint64_t token = 0;
    std::optional<std::int64_t> deadline;
  };

  std::optional<Response> Handle(const Request& request);
  Response Reply(int status, const std::string& reason);
  Response StartRun(const Order& order);
  Response StopRun(const Order& order);
  std::optional<Response> Hold(const Request& request);
  bool IsFenced(std::uint64_t token);
  void ExtendLease(std::optional<std::int64_t> deadline);
  void EndRun(const std::string& task, const std::string& how);
  void Tick();
  void SendHeartbeats(const std::string& agent);
  std::int64_t ClockMs() const;
  std::string Id();
  void BeginLife(bool keeps_id);

  WorkerOptions options_;
  Record& record_;
  std::atomic<std::int64_t> born_ms_{0};
  std::atomic<bool> is_up_{true};
  std::mutex mutex_;
  Clock::time_point born_at_;
  int life_ = 0;
  std::condition_variable ended_;
  FateOf fate_;
  HoldFate hold_fate_;
  std::uint64_t highest_token_ = 0;
  std::int64_t lease_until_ = 0;
  std::map<std::string, Run> active_;
  std::map<std::string, int> closed_;  ///< Highest run that ended or stopped.
  std::vector<End> ends_;
  std::uint64_t next_end_ = 1;
  std::vector<Start> starts_;
  HttpServer server_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_WORKER_H_
