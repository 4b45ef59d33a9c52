#ifndef SHALLOTLUG_APPS_TESTS_SOAK_FAULTS_H_
#define SHALLOTLUG_APPS_TESTS_SOAK_FAULTS_H_

#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "deployment.h"
#include "link_proxy.h"
#include "shallotlug/net/role_loop.h"

namespace shallotlug::soak {

struct FaultOptions {
  bool severe = true;       ///< With series of faults and late calls.
  bool store_only = false;  ///< Losses of the store alone.
};

/// @brief Injects faults into a deployment from outside, and prints each.
class Faults {
 public:
  Faults(Deployment& deployment,
         std::mt19937_64& random,
         const FaultOptions& options);

  /// @brief Begins a fault that is drawn at random.
  void Inject();
  /// @brief Begins and ends what is due.
  void Tick(TimePoint now);
  /// @brief Ends all faults, and drops those that are planned.
  void End();

 private:
  using Schedule = std::vector<std::pair<TimePoint, std::function<void()>>>;

  static void RunDue(Schedule& schedule, TimePoint now);
  int RandomInt(int low, int high);
  long long Elapsed() const;
  Member& Pick();
  /// @brief Plans another fault of a series.
  void After(int low, int high, std::function<void()> fault);
  /// @brief Ends a fault after a random time.
  void For(const char* what,
           const std::string& whom,
           std::function<void()> undo,
           int shortest,
           int longest);
  void For(const char* what,
           const std::string& whom,
           std::function<void()> undo);
  void Signal(Member& member, int number, const char* what);
  void Pause(Member& member, int shortest, int longest);
  void Cut(const std::string& name, LinkProxy& link);
  void LosePower(Member& member);
  void LoseStore();
  void EndStoreLoss();
  void HarmAgent();
  void HarmWorker();
  void RestartWorker(const std::string& name);
  void HarmAll();

  Deployment& deployment_;
  std::mt19937_64& random_;
  FaultOptions options_;
  const TimePoint began_ = net::ReadClock();
  Schedule planned_;  ///< Faults of series.
  Schedule undo_;
  bool store_down_ = false;
  bool connections_refused_ = false;  ///< While the store is down.
};

}  // namespace shallotlug::soak

#endif  // SHALLOTLUG_APPS_TESTS_SOAK_FAULTS_H_
