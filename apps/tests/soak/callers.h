#ifndef SHALLOTLUG_APPS_TESTS_SOAK_CALLERS_H_
#define SHALLOTLUG_APPS_TESTS_SOAK_CALLERS_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "caller_connection.h"
#include "shallotlug/jobharness/fake_fleet.h"
#include "shallotlug/jobharness/job_oracle.h"

namespace shallotlug::soak {

struct CallerOptions {
  Millis longest_work{12'000};
  Millis job_interval{500};  ///< Longest time between two submissions.
  int cancel_percent = 10;   ///< Of the jobs.
};

/// @brief When a caller cancels its job.
enum class CancelTime {
  kNever,
  kLater,      ///< One retry interval after its acceptance.
  kAtOnce,     ///< When its acceptance is read, on the same connection.
  kElsewhere,  ///< As above, through another entry.
  kWave,       ///< Together with others.
};

/// @brief Callers that hand jobs in, ask for them and cancel some, and tell the
/// oracle what they were told. Most keep their connections for as long as they
/// can; the others use a new one for each call.
class Callers {
 public:
  Callers(boost::asio::io_context& context,
          jobharness::JobOracle& oracle,
          jobharness::FakeFleet& fleet,
          std::mt19937_64& random,
          std::vector<std::string> entries,
          const CallerOptions& options);

  /// @brief Hands in another job from time to time until told to stop.
  void Tick(TimePoint now);
  void StopSubmitting() { submitting_ = false; }

  /// @brief Whether every accepted job was shown in a final state.
  bool AllFinal() const;
  /// @brief Accepted jobs that were not, and other promises broken.
  std::vector<std::string> Findings() const;

  int Accepted() const;
  int Refused() const { return refused_; }
  int Cancelled() const { return cancelled_; }

 private:
  struct Caller {
    workload::Job job;
    bool accepted = false;
    bool refused = false;
    CancelTime cancels = CancelTime::kNever;
    bool cancel_due = false;  ///< Its time has come.
    bool cancel_confirmed = false;
    TimePoint accepted_at{};
    TimePoint next_call{};
    int attempts = 0;
    bool ambiguous = false;  ///< Some attempt may have been carried out.
    std::string state;
    std::unique_ptr<CallerConnection> connection;
    bool keeps_connection = false;
    std::size_t entry = 0;
  };
  using CallerPtr = std::shared_ptr<Caller>;

  void Add(TimePoint now);
  void Send(const CallerPtr& caller,
            const char* method,
            std::string body,
            CallerConnection::Handler done);
  void Submit(const CallerPtr& caller);
  void OnAccepted(const CallerPtr& caller, TimePoint now);
  void Ask(const CallerPtr& caller);
  void Cancel(const CallerPtr& caller);
  void StartWave(TimePoint now);
  int RandomInt(int low, int high);

  boost::asio::io_context& context_;
  jobharness::JobOracle& oracle_;
  jobharness::FakeFleet& fleet_;
  std::mt19937_64& random_;
  std::vector<std::string> entries_;
  CallerOptions options_;
  std::vector<CallerPtr> callers_;
  std::vector<std::string> findings_;
  TimePoint next_job_{};
  TimePoint next_wave_{};
  bool submitting_ = true;
  int refused_ = 0;
  int cancelled_ = 0;
};

}  // namespace shallotlug::soak

#endif  // SHALLOTLUG_APPS_TESTS_SOAK_CALLERS_H_
