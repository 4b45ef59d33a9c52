#ifndef REVIEW_STANDINS_DEPLOYMENT_H_
#define REVIEW_STANDINS_DEPLOYMENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "http.h"
#include "record.h"
#include "store.h"
#include "worker.h"

namespace review {

/// @brief Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// @brief Whether the case shall cause its disruption (TROUBLE is not 0).
bool WithTrouble();

struct EntryAddresses {
  std::string callers;
  std::string readiness;
};

/// @brief A small deployment on loopback: entries and agents of the project as
/// processes, and stand-ins for the store and the workers.
class Deployment {
 public:
  Deployment(int entries, int workers, int workers_a_rack, Record& record);
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  /// @brief Ends all processes that it started.
  void Stop();

  /// @brief Waits until a first job has run on the workers.
  bool WaitUntilServing();

  /// @brief The address of a queue's prefix, with the job's id.
  static std::string JobPath(const std::string& id);
  /// @brief A call of a client of the only customer.
  static Request ClientCall(const std::string& method,
                            const std::string& target,
                            const std::string& body = "");

  const EntryAddresses& Entry(int n) const { return entries_.at(n); }
  int Entries() const { return static_cast<int>(entries_.size()); }
  LogStore& Store() { return store_; }
  /// @brief The path of the entry to the store.
  HttpServer& StoreLink(int entry) { return *store_links_.at(entry); }
  Worker& WorkerAt(int n) { return *workers_.at(n); }
  /// @brief All starts that the workers have carried out.
  std::vector<Start> Starts();

 private:
  std::unique_ptr<HttpServer> LinkToStore(const std::string& caller);
  void Run(const std::string& name,
           const std::string& program,
           const std::string& settings);

  Record& record_;
  std::string folder_;
  LogStore store_;
  std::vector<std::unique_ptr<HttpServer>> store_links_;
  std::vector<std::unique_ptr<HttpServer>> agent_links_;
  std::vector<std::unique_ptr<Worker>> workers_;
  std::vector<EntryAddresses> entries_;
  std::vector<pid_t> processes_;
};

/// @brief Runs a case with a deployment, which lives as long as this process,
/// and ends the processes.
/// @param words The path of the record.
int Main(int count,
         char** words,
         int entries,
         int workers,
         int workers_a_rack,
         const std::function<int(Deployment&, Record&)>& run);

}  // namespace review

#endif  // REVIEW_STANDINS_DEPLOYMENT_H_
