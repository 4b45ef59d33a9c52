#ifndef SHALLOTLUG_REVIEW_STANDINS_2_PLATFORM_H_
#define SHALLOTLUG_REVIEW_STANDINS_2_PLATFORM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/json.hpp>

/// Stand-ins of the platform, its workers and its clients for the review's
/// scripts. They follow PROTOCOL.md and run on the real clock.
namespace review {

namespace json = boost::json;

/// @brief Milliseconds since the start of this program.
std::int64_t NowMs();
/// @brief Milliseconds since 1970.
std::int64_t UnixMs();
void SleepMs(std::int64_t ms);

/// @brief Writes one line with the time to record.txt.
void Record(const std::string& line);
void OpenRecord(const std::string& path);

/// @brief An `ip:port` on which nothing listens.
std::string FreeAddress();

struct HttpRequest {
  std::string method;
  std::string target;
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body;
};

/// @brief A request on a connection of its own; nothing without an answer.
std::optional<HttpResponse> Call(
    const std::string& address,
    const std::string& method,
    const std::string& target,
    const std::map<std::string, std::string>& headers,
    const std::string& body,
    int timeout_ms);

/// @brief Serves HTTP/1.1 with a thread for each connection. A handler that
/// returns nothing leaves the request without an answer.
class HttpServer {
 public:
  using Handler = std::function<std::optional<HttpResponse>(HttpRequest)>;

  explicit HttpServer(Handler handler);
  const std::string& Address() const { return address_; }
  /// @brief While down, connections are reset and none are accepted.
  void SetDown(bool down);

 private:
  void Accept();
  void Serve(int socket);

  Handler handler_;
  std::string address_;
  int listener_ = -1;
  std::mutex mutex_;
  bool down_ = false;
  std::vector<int> open_;
};

/// @brief The platform's metadata store: a log with keyed topics.
class Store {
 public:
  Store();
  const std::string& Address() const { return server_->Address(); }
  /// @brief The operator's write of a key of `keyed.op`.
  void WriteOperator(const std::string& key, const std::string& value);

 private:
  struct Entry {
    std::string key;
    std::string value;
  };
  struct Producer {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool known = false;
    struct Done {
      std::uint64_t sequence;
      HttpResponse response;
    };
    std::deque<Done> last;
  };
  struct Topic {
    std::vector<Entry> records;
    std::map<std::string, std::uint64_t> newest;
    std::map<std::string, Producer> producers;
  };
  using Query = std::map<std::string, std::string>;

  HttpResponse Handle(const HttpRequest& request);
  HttpResponse Append(const Query& query, const std::string& body);
  HttpResponse Read(const Query& query);
  HttpResponse Newest(const Query& query);
  static void Put(Topic& topic, Entry entry);

  std::mutex mutex_;
  std::map<std::string, Topic> topics_;
  std::unique_ptr<HttpServer> server_;
};

/// @brief What a task needs and how long it runs, as its `spec` says it.
struct TaskPlan {
  std::int64_t cpu = 0;
  std::int64_t mem_mb = 0;
  std::int64_t gpu = 0;
  std::int64_t work_ms = 0;  ///< 0: until it is stopped.
  bool saves = false;        ///< Checkpoints its progress.
  std::size_t padding = 0;   ///< Further bytes of the `spec`.
  /// The real time differs from `work_ms` by up to this many percent.
  int spread = 0;
};
std::string SpecOf(const TaskPlan& plan);

/// @brief One start or end of a run, as a worker saw it.
struct RunEvent {
  std::int64_t at_ms = 0;
  std::string worker;
  std::int64_t born = 0;
  std::string task;
  int run = 0;
  /// `start`, how the run has ended, or `noted` and how, when `last_seen` has
  /// reached that end.
  std::string how;
};

struct WorkerSetup {
  std::string id;
  std::string service;
  std::string zone;
  std::string rack;
  std::int64_t cpu = 0;
  std::int64_t mem_mb = 0;
  std::int64_t gpu = 0;
  std::int64_t hold_max_ms = 10'000;
};

/// @brief A worker beside one agent.
class Worker {
 public:
  Worker(const WorkerSetup& setup, std::string agent);

  const std::string& Address() const { return server_->Address(); }
  const std::string& Id() const { return setup_.id; }
  /// @brief Starts a life: heartbeats begin, and nothing is known of before.
  void Start();
  /// @brief Ends without a word; all that runs ends.
  void Crash();
  /// @brief Reports `draining`, serves for `drain_ms` after the
  /// acknowledgement, sends DELETE and ends.
  void Leave(std::int64_t drain_ms);
  /// @brief Called for each start; a positive result leaves it without an
  /// answer and carries it out after so many milliseconds.
  void SetLateness(std::function<std::int64_t(const std::string& task)> it);

  /// @brief While it hangs, calls get no answer and nothing is done; heartbeats
  /// go on.
  void SetHanging(bool hanging);

  int ActiveRuns();
  bool Runs(const std::string& job);
  bool Up();

  /// @brief All starts and ends on all workers, in order.
  static std::vector<RunEvent> Events();

 private:
  struct Run {
    int number = 0;
    TaskPlan plan;
    std::int64_t started_ms = 0;
    std::int64_t resumed_ms = 0;  ///< Work that the checkpoint contained.

    std::int64_t WorkedMs() const;
    std::string Checkpoint(const std::string& task) const;
  };
  struct End {
    std::uint64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
    std::string checkpoint;
  };

  std::optional<HttpResponse> Handle(const HttpRequest& request);
  HttpResponse StartRun(const json::object& body);
  HttpResponse StopRun(const json::object& body);
  HttpResponse Hold(const json::object& body);
  bool TakeFence(const json::object& body);
  void TakeDeadline(const json::object& body);
  HttpResponse Answer(int status, json::object body) const;
  std::int64_t Clock() const;
  void Finish(const std::string& task, const std::string& how);
  void Note(const std::string& task, int run, const std::string& how) const;
  void EndLife();
  void Tick();
  bool SendHeartbeat(const std::string& state);

  WorkerSetup setup_;
  std::string agent_;
  std::unique_ptr<HttpServer> server_;
  std::mutex mutex_;
  std::function<std::int64_t(const std::string&)> lateness_;
  bool up_ = false;
  bool hanging_ = false;
  bool draining_ = false;
  std::int64_t born_ = 0;
  std::int64_t born_at_ms_ = 0;
  std::int64_t next_heartbeat_ms_ = 0;
  std::uint64_t sequence_ = 0;
  std::uint64_t fence_ = 0;
  std::int64_t deadline_ms_ = 0;
  std::uint64_t next_end_ = 1;
  std::map<std::string, Run> active_;
  std::vector<End> ends_;
  std::map<std::string, int> highest_over_;
};

/// @brief A process of the product.
class Process {
 public:
  explicit Process(std::vector<std::string> command);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  void Kill();
  /// @brief Whether it runs; an ended process is waited for.
  bool Running();

 private:
  std::vector<std::string> command_;
  int pid_ = -1;
};

struct EntryProcess {
  std::string name;
  std::string callers;
  std::unique_ptr<Process> process;
};

struct AgentProcess {
  std::string name;
  std::unique_ptr<Worker> worker;
  std::unique_ptr<Process> process;
};

struct DeploymentSetup {
  int entries = 2;
  int workers = 4;
  WorkerSetup worker;  ///< Without `id` and `rack`.
  std::string service = "pool";
  int workers_of_rack = 3;
};

/// @brief A small deployment: entries, agents with workers, and a store. All
/// its processes end with it; the threads of its stand-ins end with the
/// program.
class Deployment {
 public:
  explicit Deployment(const DeploymentSetup& setup);
  ~Deployment();

  Store& GetStore() { return *store_; }
  std::vector<EntryProcess>& Entries() { return entries_; }
  std::vector<AgentProcess>& Agents() { return agents_; }

  /// @brief Waits until a call of `pending` is answered with 200 and each
  /// worker has begun.
  bool WaitUntilReady(int seconds);

 private:
  std::unique_ptr<Store> store_ = std::make_unique<Store>();
  std::string folder_;
  std::vector<EntryProcess> entries_;
  std::vector<AgentProcess> agents_;
};

/// @brief The client of the queue `/batch/` on `jobs.example`.
class Client {
 public:
  explicit Client(Deployment& deployment) : deployment_(deployment) {}

  /// @brief Submits, and repeats with the same ID as the pages say; whether a
  /// 2xx answer came within `seconds`.
  bool Submit(const std::string& id, const json::object& job, int seconds);
  /// @brief Cancels, until there is an answer of 2xx or 410.
  bool Cancel(const std::string& id);
  /// @brief The state, or the status of the answer, or `none`.
  std::string State(const std::string& id);
  std::string Pending();

 private:
  std::optional<HttpResponse> Ask(const std::string& method,
                                  const std::string& path,
                                  const std::string& body);

  Deployment& deployment_;
  std::size_t next_ = 0;
};

/// @brief Whether run.sh asks for a run without the disruption.
bool Untroubled();

/// @brief Runs the script with its record, and ends the program.
/// @param trouble The value of TROUBLE; "0" leaves the disruption out.
[[noreturn]] void RunScript(const char* record,
                            const char* trouble,
                            int (*script)());

}  // namespace review

#endif  // SHALLOTLUG_REVIEW_STANDINS_2_PLATFORM_H_
