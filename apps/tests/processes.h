#ifndef SHALLOTLUG_APPS_TESTS_PROCESSES_H_
#define SHALLOTLUG_APPS_TESTS_PROCESSES_H_

#include <sys/types.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include "shallotlug/base/clock.h"
#include "shallotlug/net/http_fetch.h"

/// Real processes on loopback for the tests of the programs.
namespace shallotlug::apps {

/// @brief Longest wait for something that must happen. Only a failed test waits
/// for so long.
constexpr Millis kPatience{60'000};

/// @brief A free loopback address below the range that the system gives to
/// connections and to port 0. It stays reserved until this process ends; only a
/// program that allows the reuse of addresses, as ours do, can listen on it.
std::string FreeAddress();

/// @brief Calls `condition` until it is true or kPatience has passed.
template <class Condition>
bool WaitFor(Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(Millis(10));
  }
  return true;
}

/// @brief A child process, killed by its id in the destructor.
class Process {
 public:
  /// @param log File that takes its output.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int number) const;

  /// @brief Waits for its end; kills it when kPatience has passed.
  /// @return The exit code, or -1 when it did not exit by itself.
  int Wait();

  bool Running();

  /// @brief Memory that it holds, and the most that it has held.
  struct Memory {
    std::size_t now_bytes = 0;
    std::size_t peak_bytes = 0;
  };
  Memory ReadMemory() const;
  /// @brief Number of its open descriptors.
  std::size_t Descriptors() const;

  /// @brief What it has written.
  std::string Log() const;

 private:
  pid_t pid_ = -1;
  int exit_code_ = -1;
  bool ended_ = false;
  std::string log_;
};

/// @brief A folder that is removed with its files at the end.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string Write(const std::string& name, const std::string& text) const;
  const std::string& Path() const { return path_; }

 private:
  std::string path_;
};

/// @brief Forwards connections to an address, until told to go silent: then it
/// keeps its connections open and forwards nothing, also on new ones.
class Proxy {
 public:
  explicit Proxy(const std::string& to);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  const std::string& Address() const { return address_; }

  /// @brief Makes the present connections silent; new ones work.
  void SilenceConnections();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
  std::string address_;
};

/// @brief Sends a request to a loopback address.
boost::outcome_v2::std_result<net::HttpResponse> Call(
    const std::string& address,
    const std::string& method,
    const std::string& target,
    const std::string& body = "",
    Millis timeout = kPatience);

/// @brief Sends raw bytes, optionally ends the stream, and reads until the
/// other end closes.
std::string SendRaw(const std::string& address,
                    const std::string& bytes,
                    bool half_close);

/// @brief Parses a body; null when it is no JSON.
boost::json::value ParseBody(const std::string& body);

struct EntryProcess {
  std::string name;
  std::string callers;
  std::string operators;
  std::string peers;
  std::string metrics;
  std::string settings;  ///< File.
  std::unique_ptr<Process> process;
};

struct AgentProcess {
  std::string name;
  std::string peers;
  std::string metrics;
  std::string backend;
  std::unique_ptr<Process> backend_process;
  std::unique_ptr<Process> process;
};

/// @brief A small installation: one log service, entries, and agents with
/// their backend servers.
class Installation {
 public:
  Installation();

  /// @param http JSON of the member `http` of the settings.
  EntryProcess& AddEntry(const std::string& http = "{}");

  /// @brief Starts an entry again under its old name and addresses, after its
  /// process has ended.
  void StartAgain(EntryProcess& entry) const;

  /// @brief Adds an agent and its backend server.
  /// @param seeds Addresses of the peer listeners of entries.
  AgentProcess& AddAgent(const std::vector<std::string>& seeds,
                         const std::string& shared_key = "");

  /// @brief Waits until an entry answers as ready.
  bool WaitReady(const EntryProcess& entry) const;

  /// @brief Waits until a request through the entry is answered, which shows
  /// that it has an agent and knows the class.
  bool WaitServing(const EntryProcess& entry) const;

  /// @brief Creates a class for live requests of the customer `c`.
  bool SetLiveTarget(const EntryProcess& entry,
                     const std::string& name,
                     Millis finish_within) const;

  /// @brief Creates a class for long jobs of the customer `c`.
  bool SetBatchTarget(const EntryProcess& entry, const std::string& name) const;

  /// @brief The history of a backend server, filtered by `what`.
  std::vector<boost::json::value> History(const AgentProcess& agent,
                                          const std::string& what) const;

  /// @brief Starts of tasks with this body at a backend server.
  std::size_t Starts(const AgentProcess& agent, const std::string& body) const;

  /// @brief Value of a metric, added up over the series that contain `label`;
  /// -1 when unreachable.
  static std::int64_t Metric(const std::string& address,
                             const std::string& name,
                             const std::string& label = "");

  const std::string& LogControl() const { return log_control_; }
  std::string LogOf(const std::string& name) const;

  const std::string shared_key = "key of the process tests";
  const std::string operator_token = "token of the process tests";

 private:
  bool SetTarget(const EntryProcess& entry,
                 const std::string& name,
                 const std::string& kind,
                 Millis finish_within) const;

  TemporaryFolder folder_;
  std::string log_address_;
  std::string log_control_;
  std::unique_ptr<Process> log_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
  std::vector<std::unique_ptr<AgentProcess>> agents_;
};

}  // namespace shallotlug::apps

#endif  // SHALLOTLUG_APPS_TESTS_PROCESSES_H_
