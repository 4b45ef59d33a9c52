#ifndef SHALLOTLUG_APPS_TESTS_SOAK_DEPLOYMENT_H_
#define SHALLOTLUG_APPS_TESTS_SOAK_DEPLOYMENT_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "../processes.h"
#include "link_proxy.h"
#include "platform_servers.h"
#include "shallotlug/jobharness/fake_fleet.h"
#include "shallotlug/jobharness/job_oracle.h"

namespace shallotlug::soak {

/// @brief One of the system's processes, with its link to the store.
struct Member {
  std::string name;
  std::string program;
  std::string settings;  ///< File.
  std::string log;
  std::unique_ptr<StoreServer> store;
  std::unique_ptr<LinkProxy> store_link;
  /// To callers of an entry, or to the worker of an agent.
  std::unique_ptr<LinkProxy> other_link;
  std::unique_ptr<apps::Process> process;
  TimePoint start_at{};
  Millis clock_offset{0};  ///< Of its machine's clock.
};

/// @brief For how long a machine has run when a day begins.
Millis RandomUptime(std::mt19937_64& random);

struct DeploymentOptions {
  int entries = 3;
  int agents = 6;    ///< Each with a worker.
  std::string logs;  ///< Folder of the programs' output; empty: not kept.
};

/// @brief The programs as processes, and the stand-ins of the platform that
/// they talk to.
class Deployment {
 public:
  Deployment(boost::asio::io_context& context,
             std::mt19937_64& random,
             jobharness::JobOracle& oracle,
             const DeploymentOptions& options);

  /// @brief Advances the stand-ins, and starts programs that have ended again,
  /// as the platform does.
  /// @return Whether a program was started.
  bool Tick(TimePoint now);

  /// @brief The entries, then the agents.
  std::vector<std::unique_ptr<Member>>& Members() { return members_; }
  /// @brief In the order of their agents.
  std::vector<std::unique_ptr<WorkerServer>>& Workers() { return workers_; }
  jobharness::FakeFleet& Fleet() { return fleet_; }
  StoreFaults& Store() { return faults_; }

  /// @brief Where callers reach the entries.
  std::vector<std::string> CallerAddresses() const;

  /// @brief The store forgets all but the newest record of each key.
  void DropHistory();
  /// @brief Writes a configuration whose version is higher by `steps`.
  /// @return Its version.
  int RaiseConfiguration(int steps);

 private:
  Member& AddMember(const std::string& name, const std::string& program);
  void AddEntry(const std::string& name);
  void AddAgent(const std::string& name, int rack);
  int RandomInt(int low, int high);

  boost::asio::io_context& context_;
  std::mt19937_64& random_;
  DeploymentOptions options_;
  apps::TemporaryFolder folder_;
  jobharness::FakeFleet fleet_;
  StoreServer::Topics topics_;
  StoreFaults faults_;
  int version_ = 0;
  int fleet_size_ = 0;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::unique_ptr<WorkerServer>> workers_;
};

}  // namespace shallotlug::soak

#endif  // SHALLOTLUG_APPS_TESTS_SOAK_DEPLOYMENT_H_
