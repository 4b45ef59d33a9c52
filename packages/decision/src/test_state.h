#ifndef SHALLOTLUG_DECISION_TEST_STATE_H_
#define SHALLOTLUG_DECISION_TEST_STATE_H_

#include <optional>
#include <string>
#include <vector>

#include "random.h"
#include "shallotlug/decision/plan.h"

namespace shallotlug::decision {

/// @brief A random cluster with guarantees and work, for the property tests.
class TestState {
 public:
  explicit TestState(std::uint64_t seed);

  /// @brief Submits jobs, plans, applies the plan and ends some work. Returns
  /// the fault of the plan, or the empty string.
  std::string Advance();

  /// @brief Ends all work of one random customer and asks for its whole
  /// guarantee. Returns the requests that were not placed at once.
  std::vector<JobId> RequestWholeGuarantee();

  /// @brief Plans for `waiting` and checks the plan; `fault` says what is wrong
  /// with it.
  Plan MakeCheckedPlan(const std::vector<WaitingJob>& waiting,
                       std::string& fault) const;
  PlanOptions options;
  bool marks_stopping = true;  ///< Victims stop in a later step.

 private:
  int Below(int n) { return static_cast<int>(NextRandom(random_) % n); }
  void AddTargets();
  WaitingJob RandomJob();
  std::vector<WaitingJob> GuaranteeRequests(const CustomerName& customer);
  void ApplyPlan(const Plan& plan, const std::vector<WaitingJob>& waiting);
  void EndRandomJobs();
  JobId NewId() { return JobId("job" + std::to_string(next_id_++)); }

  std::uint64_t random_;
  int next_id_ = 0;
  int workers_ = 0;
  Cluster cluster_;
  Targets targets_;
  TimePoint now_{Millis(1'000'000)};
  std::vector<JobId> running_;
};

}  // namespace shallotlug::decision

#endif  // SHALLOTLUG_DECISION_TEST_STATE_H_
