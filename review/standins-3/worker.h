#ifndef REVIEW_STANDINS_3_WORKER_H_
#define REVIEW_STANDINS_3_WORKER_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http.h"

namespace review {

/// @brief What a worker writes down of a run.
struct RunEvent {
  std::string worker;
  std::string task;
  int run = 0;
  std::string what;  ///< `start`, or how the run has ended.
};

/// @brief A worker as the pages describe it: starts, stops, leases, ends that
/// are listed until they are noted, and heartbeats to the agent beside it. The
/// `spec` of a task is the time that it works, in ms, behind `fail ` if it ends
/// failed then.
class Worker {
 public:
  struct Options {
    std::string name;
    std::string service;
    std::string rack;
    std::string kind = "a";
    std::int64_t cpu = 32'000;
    std::int64_t mem_mb = 131'072;
    std::int64_t gpu = 8;
    Millis hold_max{10'000};
    Millis stop_time{100};
    Millis heartbeat{1'500};
  };
  using Listener = std::function<void(const RunEvent&)>;

  Worker(asio::io_context& context, Options options, Listener listener)
      : context_(context),
        options_(std::move(options)),
        listener_(std::move(listener)) {}

  /// @brief Starts a new life at the port of the former one, if there was one.
  void Start() {
    life_ = std::make_shared<Life>();
    life_->id = "i-" + options_.name + "-" + std::to_string(++lives_);
    life_->born = std::chrono::duration_cast<Millis>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
    life_->began = Clock::now();
    server_ = std::make_unique<Server>(
        context_,
        [this, life = life_](Request it) {
          return Handle(life, std::move(it));
        },
        port_);
    port_ = server_->Port();
    asio::co_spawn(context_, Beat(life_), asio::detached);
  }

  /// @brief While set, all that it starts ends `failed` after a moment.
  void SetFailing(bool failing) { failing_ = failing; }

  /// @brief All ends at once, without a word.
  void Crash() {
    life_->over = true;
    for (const auto& [task, run] : life_->runs) {
      listener_({life_->id, task, run.number, "lost with its worker"});
    }
    life_->runs.clear();
    server_.reset();
  }

  unsigned short Port() const { return port_; }
  void SetAgent(unsigned short port) { agent_ = port; }
  unsigned short AgentPort() const { return agent_; }
  const std::string& Id() const { return life_->id; }

  /// @brief Whether the task is at work here.
  bool Runs(const std::string& job) const {
    return !life_->over && std::any_of(life_->runs.begin(), life_->runs.end(),
                                       [&](const auto& it) {
                                         return it.first.starts_with(job + ".");
                                       });
  }

 private:
  struct Run {
    int number = 0;
    TimePoint began;
    Millis work{0};
    std::int64_t cpu = 0;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
  };
  struct Life {
    std::string id;
    std::int64_t born = 0;
    TimePoint began;
    bool over = false;
    std::uint64_t sequence = 0;
    std::uint64_t token = 0;
    Millis lease{0};  ///< By the clock of the worker.
    std::map<std::string, Run> runs;
    std::vector<End> ends;
    std::uint64_t last_end = 0;
    std::map<std::string, int> highest_over;  ///< Stopped or ended runs.
    std::vector<std::shared_ptr<asio::steady_timer>> waiting;
  };
  using LifePtr = std::shared_ptr<Life>;

  static constexpr Millis kUntilFailure{150};
  static constexpr std::string_view kFails = "fail ";

  static Millis ClockOf(const Life& life) {
    return std::chrono::duration_cast<Millis>(Clock::now() - life.began);
  }

  static json::object Answer(const Life& life) {
    return {{"clock_ms", ClockOf(life).count()}, {"born", life.born}};
  }

  static Response Conflict(const Life& life, const char* reason) {
    json::object body = Answer(life);
    body["reason"] = reason;
    return JsonResponse(409, body);
  }

  void Finish(Life& life, const std::string& task, const std::string& how) {
    const auto it = life.runs.find(task);
    if (life.over || it == life.runs.end()) {
      return;
    }
    const int number = it->second.number;
    life.runs.erase(it);
    life.highest_over[task] = std::max(life.highest_over[task], number);
    life.ends.push_back({++life.last_end, task, number, how});
    listener_({life.id, task, number, how});
    for (const auto& timer : std::exchange(life.waiting, {})) {
      timer->cancel();
    }
  }

  Task<void> Work(LifePtr life,
                  std::string task,
                  int number,
                  Millis time,
                  std::string how) {
    co_await Sleep(time);
    const auto it = life->runs.find(task);
    if (it != life->runs.end() && it->second.number == number) {
      Finish(*life, task, how);
    }
  }

  Task<void> Stop(LifePtr life, std::string task, int number) {
    co_await Sleep(options_.stop_time);
    const auto it = life->runs.find(task);
    if (it != life->runs.end() && it->second.number <= number) {
      Finish(*life, task, "stopped");
    }
  }

  void ExtendLease(Life& life, const json::object& body) {
    if (const auto* until = body.if_contains("deadline_ms")) {
      life.lease = std::max(life.lease,
                            std::min(Millis(until->to_number<std::int64_t>()),
                                     ClockOf(life) + options_.hold_max));
    }
  }

  void Expire(Life& life) {
    if (ClockOf(life) <= life.lease) {
      return;
    }
    std::vector<std::string> tasks;
    for (const auto& [task, run] : life.runs) {
      tasks.push_back(task);
    }
    for (const std::string& it : tasks) {
      Finish(life, it, "lapsed");
    }
  }

  Task<Response> Handle(LifePtr life, Request request) {
    const auto expected =
        request.headers.find("x-shallotlug-expected-instance");
    if (expected != request.headers.end() && expected->second != life->id) {
      co_return JsonResponse(421, Answer(*life));
    }
    const json::object body = json::parse(request.body).as_object();
    const auto* token = body.if_contains("fencing_token");
    const std::uint64_t given =
        token == nullptr ? 0 : token->to_number<std::uint64_t>();
    if (given < life->token) {
      co_return Conflict(*life, "fence");
    }
    life->token = given;
    if (request.target == "/api/hold") {
      co_return co_await Hold(life, body);
    }
    const std::string task(body.at("task").as_string());
    const int number = body.at("run_id").to_number<int>();
    if (request.target == "/api/run-start") {
      co_return StartRun(life, body, task, number);
    }
    if (request.target == "/api/run-stop") {
      life->highest_over[task] = std::max(life->highest_over[task], number);
      asio::co_spawn(context_, Stop(life, task, number), asio::detached);
      co_return JsonResponse(200, Answer(*life));
    }
    co_return JsonResponse(404, {});
  }

  Response StartRun(const LifePtr& life,
                    const json::object& body,
                    const std::string& task,
                    int number) {
    const auto present = life->runs.find(task);
    if (present != life->runs.end() && present->second.number == number) {
      ExtendLease(*life, body);
      return JsonResponse(200, Answer(*life));
    }
    const auto over = life->highest_over.find(task);
    if (present != life->runs.end() ||
        (over != life->highest_over.end() && number <= over->second)) {
      ExtendLease(*life, body);
      return Conflict(*life, "old");
    }
    const auto* until = body.if_contains("deadline_ms");
    if (until == nullptr ||
        Millis(until->to_number<std::int64_t>()) <= ClockOf(*life)) {
      return Conflict(*life, "late");
    }
    ExtendLease(*life, body);
    std::string spec(body.at("spec").as_string());
    const bool fails = failing_ || spec.starts_with(kFails);
    if (spec.starts_with(kFails)) {
      spec.erase(0, kFails.size());
    }
    const Millis work = failing_ ? kUntilFailure : Millis(std::stoll(spec));
    life->runs[task] = {number, Clock::now(), work, 0};
    listener_({life->id, task, number, "start"});
    asio::co_spawn(context_,
                   Work(life, task, number, work, fails ? "failed" : "done"),
                   asio::detached);
    return JsonResponse(200, Answer(*life));
  }

  Task<Response> Hold(LifePtr life, json::object body) {
    ExtendLease(*life, body);
    const auto* seen = body.if_contains("last_seen");
    const std::uint64_t noted =
        seen == nullptr ? 0 : seen->to_number<std::uint64_t>();
    std::erase_if(life->ends,
                  [&](const End& it) { return it.number <= noted; });
    const auto* wait = body.if_contains("wait_ms");
    if (wait != nullptr && life->ends.empty()) {
      const auto timer = std::make_shared<asio::steady_timer>(
          context_, Millis(wait->to_number<std::int64_t>()));
      life->waiting.push_back(timer);
      co_await timer->async_wait(asio::as_tuple(asio::use_awaitable));
    }
    Expire(*life);
    json::object answer = Answer(*life);
    json::array active;
    for (const auto& [task, run] : life->runs) {
      const auto done =
          std::chrono::duration_cast<Millis>(Clock::now() - run.began);
      const std::int64_t percent =
          run.work.count() > 0 ? std::min<std::int64_t>(
                                     100 * done.count() / run.work.count(), 99)
                               : 99;
      active.push_back(json::array{task, run.number, "", percent, 0});
    }
    json::array finished;
    for (const End& it : life->ends) {
      finished.push_back(json::array{it.number, it.task, it.run, it.how, ""});
    }
    answer["active"] = std::move(active);
    answer["finished"] = std::move(finished);
    co_return JsonResponse(200, answer);
  }

  Task<void> Beat(LifePtr life) {
    while (!life->over) {
      Expire(*life);
      if (agent_ != 0) {
        const json::object body{
            {"service", options_.service},
            {"address", "127.0.0.1:" + std::to_string(port_)},
            {"zone", "zone-1"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"capacity", json::object{{"cpu", options_.cpu},
                                      {"mem_mb", options_.mem_mb},
                                      {"gpu", options_.gpu}}},
            {"labels", json::array{options_.kind, options_.rack}},
            {"clock_ms", ClockOf(*life).count()},
            {"born", life->born},
            {"sequence", ++life->sequence}};
        const Request request{
            "PUT", "/api/instances/" + life->id, json::serialize(body), {}};
        co_await Call(agent_, request, Millis(1'000));
      }
      for (Millis left = options_.heartbeat; left > Millis(0) && !life->over;
           left -= Millis(100)) {
        co_await Sleep(Millis(100));
        Expire(*life);
      }
    }
  }

  asio::io_context& context_;
  Options options_;
  Listener listener_;
  LifePtr life_;
  int lives_ = 0;
  bool failing_ = false;
  unsigned short port_ = 0;
  unsigned short agent_ = 0;
  std::unique_ptr<Server> server_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_3_WORKER_H_
