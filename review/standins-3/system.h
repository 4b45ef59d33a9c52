#ifndef REVIEW_STANDINS_3_SYSTEM_H_
#define REVIEW_STANDINS_3_SYSTEM_H_

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "store.h"
#include "worker.h"

namespace review {

/// @brief Result of a script.
enum class Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

/// @brief Whether the disruption of the case takes place.
inline bool HasTrouble() {
  const char* it = std::getenv("TROUBLE");
  return it == nullptr || std::string(it) != "0";
}

/// @brief A process that ends with this object.
class Process {
 public:
  Process(std::vector<std::string> arguments, const std::string& log) {
    pid_ = fork();
    if (pid_ != 0) {
      return;
    }
    if (std::freopen(log.c_str(), "a", stdout) == nullptr) {
      _exit(127);
    }
    dup2(fileno(stdout), fileno(stderr));
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    // The stand-ins' sockets must close when the stand-ins close them.
    constexpr int kHighestDescriptor = 4'096;
    for (int n = 3; n < kHighestDescriptor; ++n) {
      close(n);
    }
    std::vector<char*> argv;
    for (std::string& it : arguments) {
      argv.push_back(it.data());
    }
    argv.push_back(nullptr);
    execv(argv[0], argv.data());
    _exit(127);
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() { Kill(); }

  void Signal(int number) const {
    if (pid_ > 0) {
      kill(pid_, number);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }

 private:
  pid_t pid_ = -1;
};

/// @brief A small deployment: the store, entries, and agents with workers. The
/// settings are those of the deploy file's templates.
class System {
 public:
  struct Options {
    std::string folder;  ///< For settings and logs.
    std::string record;  ///< File for what was sent, answered and run.
    int entries = 3;
    std::vector<Worker::Options> workers;
    Millis longest_lease{10'000};
  };

  System(asio::io_context& context, Options options)
      : context_(context),
        options_(std::move(options)),
        record_(options_.record),
        began_(Clock::now()),
        store_(context) {
    PutConfiguration();
    for (const Worker::Options& it : options_.workers) {
      workers_.push_back(std::make_unique<Worker>(
          context, it, [this](const RunEvent& event) { OnRun(event); }));
      workers_.back()->Start();
    }
    for (int n = 0; n < options_.entries; ++n) {
      StartEntry("entry-" + std::to_string(n + 1));
    }
    for (std::size_t n = 0; n < workers_.size(); ++n) {
      StartAgent("agent-" + std::to_string(n + 1), *workers_[n]);
    }
  }

  Store& GetStore() { return store_; }
  Worker& GetWorker(std::size_t n) { return *workers_.at(n); }
  std::size_t Workers() const { return workers_.size(); }
  const std::vector<RunEvent>& Runs() const { return runs_; }
  const std::vector<TimePoint>& RunTimes() const { return run_times_; }

  /// @brief Runs something beside the scenario.
  void Spawn(Task<void> task) {
    asio::co_spawn(context_, std::move(task), asio::detached);
  }

  /// @brief The store gives an entry no answers, or serves it again.
  void TurnAway(std::size_t entry, bool away) {
    Record("the store " + std::string(away ? "turns away" : "serves") +
           " entry " + std::to_string(entry + 1));
    store_.TurnAway(entry, away);
  }

  /// @brief A line of the record, with the time since the start.
  void Record(const std::string& line) {
    char time[32];
    std::snprintf(time, sizeof time, "%9.3f s  ", Seconds(Clock::now()));
    record_ << time << line << std::endl;
  }

  double Seconds(TimePoint at) const {
    return std::chrono::duration<double>(at - began_).count();
  }

  /// @brief A caller's request to an entry, with its answer in the record.
  Task<Response> Ask(std::size_t entry,
                     std::string method,
                     std::string path,
                     std::string body,
                     Millis deadline = Millis(3'000)) {
    Record("caller -> entry " + std::to_string(entry + 1) + ": " + method +
           " " + path + " " + body);
    Request request{method, path, body, {}};
    request.headers["Host"] = "jobs.example";
    request.headers["Authorization"] = "Bearer key-1";
    request.headers["X-Shallotlug-Deadline-Ms"] =
        std::to_string(deadline.count());
    const Response response =
        co_await Call(entries_.at(entry).callers, request, deadline);
    Record("entry " + std::to_string(entry + 1) + " -> caller: " + method +
           " " + path + ": " +
           (response.status == 0 ? std::string("no answer")
                                 : std::to_string(response.status)) +
           " " + response.body);
    co_return response;
  }

  /// @brief Waits until all entries are ready.
  /// @return Whether they are within the time.
  Task<bool> WaitUntilReady(Millis limit) {
    const TimePoint until = Clock::now() + limit;
    const Request probe{"GET", "/api/readyz", "", {}};
    for (const Entry& it : entries_) {
      while (true) {
        const Response response =
            co_await Call(it.readiness, probe, Millis(500));
        if (response.status == 200) {
          break;
        }
        if (Clock::now() > until) {
          Record("not all entries are ready in time");
          co_return false;
        }
        co_await Sleep(Millis(100));
      }
    }
    co_return true;
  }

 private:
  struct Entry {
    unsigned short callers = 0;
    unsigned short readiness = 0;
    std::unique_ptr<Process> process;
  };

  // The socket stays bound, so that nobody else gets the port; the process that
  // listens there shares it.
  unsigned short FreePort() {
    tcp::socket& it = reserved_.emplace_back(context_, tcp::v4());
    it.set_option(asio::socket_base::reuse_address(true));
    it.bind({kLoopback, 0});
    return it.local_endpoint().port();
  }

  static std::string At(unsigned short port) {
    return "127.0.0.1:" + std::to_string(port);
  }

  void OnRun(const RunEvent& it) {
    Record("worker " + it.worker + ": " + it.task + " run " +
           std::to_string(it.run) + ": " + it.what);
    runs_.push_back(it);
    run_times_.push_back(Clock::now());
  }

  void PutConfiguration() {
    json::array routes;
    for (int n = 0; n < 3; ++n) {
      const std::string name = "queue-" + std::to_string(n);
      routes.push_back(json::object{{"name", name},
                                    {"host", "jobs.example"},
                                    {"path_prefix", "/" + name + "/"},
                                    {"service", "service-1"},
                                    {"priority", n},
                                    {"max_attempts", 4},
                                    {"slack_factor", 3.0},
                                    {"target_latency_ms", 1'000},
                                    {"timeout_ms", 3'000},
                                    {"public", false}});
    }
    const json::object configuration{
        {"version", 1},
        {"routes", std::move(routes)},
        {"services", json::array{json::object{{"name", "service-1"},
                                              {"enforces_capacity", true}}}},
        {"tenants",
         json::array{json::object{{"name", "tenant-1"},
                                  {"api_keys", json::array{"key-1"}},
                                  {"guaranteed", json::object{{"gpu", 8}}}}}}};
    store_.Put("keyed.op", "config", json::serialize(configuration));
  }

  std::unique_ptr<Process> Run(const std::string& program,
                               const std::string& name,
                               const json::object& settings) {
    const std::string file = options_.folder + "/" + name + ".json";
    std::ofstream(file) << json::serialize(settings);
    return std::make_unique<Process>(
        std::vector<std::string>{program, "serve-jobs", "--settings=" + file},
        options_.folder + "/" + name + ".log");
  }

  void StartEntry(const std::string& name) {
    Entry entry;
    entry.callers = FreePort();
    entry.readiness = FreePort();
    const json::object settings{
        {"name", name},
        {"data_centre", "zone-1"},
        {"callers_listen", At(entry.callers)},
        {"readiness_listen", At(entry.readiness)},
        {"peers_listen", At(FreePort())},
        {"metrics_listen", At(FreePort())},
        {"store", At(store_.PortOf(store_.AddMachine()))},
        {"store_record_bytes", 262'144},
        {"store_request_bytes", 2'097'152},
        {"processor_cores", 0.25},
        {"machine_memory_mb", 260},
        {"http",
         json::object{{"body_bytes", 1'048'576}, {"connections", 2'048}}},
        {"timing",
         json::object{{"longest_lease_ms", options_.longest_lease.count()},
                      {"stop_timeout_ms", 400},
                      {"reclaim_ms", 2'900},
                      {"state_retention_s", 120}}},
        {"scheduling", json::object{{"learn_speeds", true},
                                    {"weigh_lateness", true},
                                    {"remote_factor", 3}}},
        {"log", json::object{{"format", "json"}}}};
    entry.process = Run("target/apps/shallotlug", name, settings);
    entries_.push_back(std::move(entry));
  }

  void StartAgent(const std::string& name, Worker& worker) {
    const unsigned short heartbeats = FreePort();
    const json::object settings{
        {"name", name},
        {"data_centre", "zone-1"},
        {"heartbeats_listen", At(heartbeats)},
        {"scheduler_listen", At(FreePort())},
        {"metrics_listen", At(FreePort())},
        {"worker", At(worker.Port())},
        {"store", At(store_.PortOf(store_.AddMachine()))},
        {"machine_memory_mb", 128},
        {"timing",
         json::object{{"longest_lease_ms", options_.longest_lease.count()}}},
        {"log", json::object{{"format", "json"}}}};
    agents_.push_back(Run("target/apps/shallotlug-agent", name, settings));
    worker.SetAgent(heartbeats);
  }

  asio::io_context& context_;
  Options options_;
  std::deque<tcp::socket> reserved_;
  std::ofstream record_;
  TimePoint began_;
  std::vector<RunEvent> runs_;
  std::vector<TimePoint> run_times_;
  Store store_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<Entry> entries_;
  std::vector<std::unique_ptr<Process>> agents_;
};

/// @brief Runs the scenario of a case and prints its verdict.
/// @param arguments The folder of the case, and a temporary folder.
inline int RunScenario(int count,
                       char** arguments,
                       System::Options options,
                       const std::function<Task<Verdict>(System&)>& scenario) {
  if (count < 3) {
    return static_cast<int>(Verdict::kCouldNotRun);
  }
  options.record = std::string(arguments[1]) + "/record.txt";
  options.folder = arguments[2];
  asio::io_context context;
  Verdict verdict = Verdict::kCouldNotRun;
  try {
    System system(context, options);
    asio::co_spawn(context, scenario(system),
                   [&](const std::exception_ptr& error, Verdict it) {
                     if (!error) {
                       verdict = it;
                     }
                     context.stop();
                   });
    context.run_for(std::chrono::seconds(115));
    system.Record(verdict == Verdict::kHeld     ? "the rule held"
                  : verdict == Verdict::kBroken ? "the rule was broken"
                                                : "the case could not run");
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  std::fflush(stdout);
  // Coroutines that still wait are not unwound.
  std::_Exit(static_cast<int>(verdict));
}

}  // namespace review

#endif  // REVIEW_STANDINS_3_SYSTEM_H_
