#ifndef SHALLOTLUG_APPS_TESTS_SOAK_CALLERS_H_
#define SHALLOTLUG_APPS_TESTS_SOAK_CALLERS_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "shallotlug/jobharness/fake_fleet.h"
#include "shallotlug/jobharness/job_oracle.h"
#include "shallotlug/net/http_client.h"

namespace shallotlug::soak {

/// @brief Callers that hand jobs in, ask for them and cancel some, and tell the
/// oracle what they were told. Each keeps its connection for as long as it can.
class Callers {
 public:
  Callers(boost::asio::io_context& context,
          jobharness::JobOracle& oracle,
          jobharness::FakeFleet& fleet,
          std::mt19937_64& random,
          std::vector<std::string> entries,
          Millis longest_work);

  /// @brief Hands in another job from time to time until told to stop.
  void Tick(TimePoint now);
  void StopSubmitting() { submitting_ = false; }

  /// @brief Whether every accepted job was shown in a final state.
  bool AllFinal() const;
  /// @brief Accepted jobs that were not, and other promises broken.
  std::vector<std::string> Findings() const;

  int Accepted() const;
  int Refused() const { return refused_; }

 private:
  struct Caller {
    workload::Job job;
    bool accepted = false;
    bool refused = false;
    bool cancels = false;
    bool cancel_confirmed = false;
    TimePoint accepted_at{};
    TimePoint next_call{};
    int attempts = 0;
    bool ambiguous = false;  ///< Some attempt may have been carried out.
    std::string state;
    std::unique_ptr<net::HttpClient> client;
    std::size_t entry = 0;
  };
  using CallerPtr = std::shared_ptr<Caller>;

  void Add(TimePoint now);
  void Send(const CallerPtr& caller,
            const char* method,
            std::string body,
            std::function<void(const net::FetchResult&)> done);
  void Submit(const CallerPtr& caller);
  void Ask(const CallerPtr& caller);
  void Cancel(const CallerPtr& caller);
  int RandomInt(int low, int high);

  boost::asio::io_context& context_;
  jobharness::JobOracle& oracle_;
  jobharness::FakeFleet& fleet_;
  std::mt19937_64& random_;
  std::vector<std::string> entries_;
  Millis longest_work_;
  std::vector<CallerPtr> callers_;
  std::vector<std::string> findings_;
  TimePoint next_job_{};
  bool submitting_ = true;
  int refused_ = 0;
};

}  // namespace shallotlug::soak

#endif  // SHALLOTLUG_APPS_TESTS_SOAK_CALLERS_H_
