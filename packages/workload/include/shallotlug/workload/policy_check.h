#ifndef SHALLOTLUG_WORKLOAD_POLICY_CHECK_H_
#define SHALLOTLUG_WORKLOAD_POLICY_CHECK_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shallotlug/base/findings.h"
#include "shallotlug/workload/policy.h"

namespace shallotlug::workload {

/// @brief How much a finding matters.
enum class Severity {
  kNote,     ///< A difference from the policy in force.
  kWarning,  ///< The policy works, but hardly as intended.
  kError,    ///< The policy is refused, or some work can never succeed.
};

/// @brief The part of a policy that a finding is about.
enum class PolicyPart { kWhole, kQueue, kCustomer, kPool, kLimits };

/// @brief The field of the part.
enum class PolicyField {
  kNone,
  kVersion,
  kName,
  kHost,
  kPathPrefix,
  kOpen,
  kPool,
  kPriority,
  kMaxAttempts,
  kSlackFactor,
  kTarget,
  kTimeout,
  kKeys,
  kGuarantee,
  kGuardsCapacity,
  kStandby,
  kHeaderBytes,
  kBodyBytes,
};

/// @brief A place in a policy, independent of its written form.
struct PolicyPlace {
  PolicyPart part = PolicyPart::kWhole;
  int index = 0;  ///< Of the queue, customer or pool.
  PolicyField field = PolicyField::kNone;
  int item = -1;  ///< Of the key; -1: the whole field.

  bool operator==(const PolicyPlace&) const = default;
};

/// @brief What was found.
enum class PolicyFault {
  kDuplicateName,
  kNoQueues,
  kDuplicateKey,
  kUnknownPool,
  kNeverMatches,
  kTakesIds,
  kUnusedPool,
  kPoolOff,
  kNoKeys,
  kNobodyAdmitted,
  kNoTimeout,
  kTimeoutBelowTarget,
  kNoAttempts,
  kSlackTooSmall,
  kGuaranteesExceedCapacity,
  kGuaranteeUnused,
  kHeaderLimitTooSmall,
  kBodyLimitTooSmall,
  kVersionDoesNotRise,
  kAdded,
  kRemoved,
  kChanged,
};

/// @brief One finding. The message never holds a key of a customer.
struct PolicyFinding {
  PolicyFault fault{};
  Severity severity = Severity::kNote;
  PolicyPlace place;
  std::string message;

  bool operator==(const PolicyFinding&) const = default;
};

using PolicyFindings = std::vector<PolicyFinding>;

/// @brief Limits of callers' requests, in bytes; 0: not stated.
struct RequestLimits {
  std::int64_t header_bytes = 0;
  std::int64_t body_bytes = 0;
};

/// @brief What a policy is checked against.
struct PolicyCheckInput {
  RequestLimits limits;
  std::optional<std::int64_t> accelerators;  ///< That all workers have.
};

/// @brief Everything that is wrong with a policy or can have no effect.
PolicyFindings CheckPolicy(const Policy& policy, const PolicyCheckInput& input);

/// @brief What differs from the policy in force: removed entries are placed at
/// the whole policy, others where they are in `next`.
PolicyFindings ComparePolicies(const Policy& next, const Policy& in_force);

/// @brief A policy as it was read from its written form.
struct PolicyDocument {
  Policy policy;
  RequestLimits limits;
  /// Faults of the form. An entry with a fault keeps its index in `policy`,
  /// with the values that could be read.
  Findings errors;
  Findings warnings;
  /// Finds a place in the written form; the message of the result is empty.
  std::function<Finding(const PolicyPlace&)> locate;
};

/// @brief Reads the written form of a policy. The file is only used in
/// findings. For a text without any readable form, the document has only
/// errors, and `locate` is empty.
using ReadPolicyDocument =
    std::function<PolicyDocument(std::string_view text,
                                 const std::string& file)>;

}  // namespace shallotlug::workload

#endif  // SHALLOTLUG_WORKLOAD_POLICY_CHECK_H_
