#include "shallotlug/workload/policy_check.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

namespace shallotlug::workload {
namespace {

constexpr std::size_t kJobIdDigits = 16;
constexpr std::string_view kHexDigits = "0123456789abcdefABCDEF";
// Callers may state a payload of this size; without room for it, jobs that
// are allowed are refused.
constexpr std::int64_t kMaxPayloadBytes = 4'000;
// A longest payload and some tens of steps of about 200 bytes each.
constexpr std::int64_t kLargeJobBytes = 16'384;
// The method, the names of the headers, the length and type of the body, and
// the deadline of a call. Its host, path and key are counted by their length.
constexpr std::int64_t kFixedHeaderBytes = 256;

std::string Quote(std::string_view text) {
  return "\"" + std::string(text) + "\"";
}

class Collector {
 public:
  void Error(PolicyFault fault, PolicyPlace place, std::string message) {
    findings_.push_back({fault, Severity::kError, place, std::move(message)});
  }
  void Warning(PolicyFault fault, PolicyPlace place, std::string message) {
    findings_.push_back({fault, Severity::kWarning, place, std::move(message)});
  }
  PolicyFindings Take() { return std::move(findings_); }

 private:
  PolicyFindings findings_;
};

PolicyPlace QueuePlace(std::size_t n, PolicyField field) {
  return {PolicyPart::kQueue, static_cast<int>(n), field};
}

PolicyPlace CustomerPlace(std::size_t n, PolicyField field) {
  return {PolicyPart::kCustomer, static_cast<int>(n), field};
}

PolicyPlace PoolPlace(std::size_t n, PolicyField field) {
  return {PolicyPart::kPool, static_cast<int>(n), field};
}

template <class Item, class NameOf>
void CheckNames(const std::vector<Item>& items,
                PolicyPart part,
                NameOf name_of,
                Collector& to) {
  std::map<std::string, std::size_t> seen;
  for (std::size_t n = 0; n < items.size(); ++n) {
    const std::string& name = name_of(items[n]);
    const auto [it, added] = seen.emplace(name, n);
    if (!added && !name.empty()) {
      to.Error(PolicyFault::kDuplicateName,
               {part, static_cast<int>(n), PolicyField::kName},
               Quote(name) + " is also the name of entry " +
                   std::to_string(it->second) + "; rename one of them");
    }
  }
}

void CheckAllNames(const Policy& policy, Collector& to) {
  CheckNames(
      policy.queues, PolicyPart::kQueue,
      [](const Queue& it) -> const std::string& { return it.name; }, to);
  CheckNames(
      policy.customers, PolicyPart::kCustomer,
      [](const Customer& it) -> const std::string& { return it.name.value; },
      to);
  CheckNames(
      policy.pools, PolicyPart::kPool,
      [](const Pool& it) -> const std::string& { return it.name; }, to);
}

const Pool* FindPool(const Policy& policy, std::string_view name) {
  const auto it = std::find_if(policy.pools.begin(), policy.pools.end(),
                               [&](const Pool& p) { return p.name == name; });
  return it == policy.pools.end() ? nullptr : &*it;
}

void CheckPools(const Policy& policy, Collector& to) {
  if (policy.queues.empty()) {
    to.Warning(PolicyFault::kNoQueues, {},
               "there are no queues: every call is refused; add one");
  }
  for (std::size_t n = 0; n < policy.queues.size(); ++n) {
    const std::string& name = policy.queues[n].terms.pool;
    if (name.empty()) {
      continue;
    }
    const Pool* pool = FindPool(policy, name);
    if (pool == nullptr) {
      to.Error(PolicyFault::kUnknownPool, QueuePlace(n, PolicyField::kPool),
               "there is no pool " + Quote(name) +
                   ": its jobs would never run; correct the name or add the "
                   "pool");
    } else if (pool->standby) {
      to.Warning(PolicyFault::kPoolOff, QueuePlace(n, PolicyField::kPool),
                 "the machines of pool " + Quote(name) +
                     " are off (standby); its jobs wait until machines are "
                     "moved; name another pool or take it off standby");
    }
  }
  for (std::size_t n = 0; n < policy.pools.size(); ++n) {
    const Pool& pool = policy.pools[n];
    // A standby pool without queues is a reserve of machines for the others.
    const bool used =
        pool.standby ||
        std::any_of(policy.queues.begin(), policy.queues.end(),
                    [&](const Queue& q) { return q.terms.pool == pool.name; });
    if (!used) {
      to.Warning(PolicyFault::kUnusedPool, PoolPlace(n, PolicyField::kName),
                 "no queue names pool " + Quote(pool.name) +
                     ": its workers stay idle; name it in a queue or remove "
                     "it");
    }
  }
}

bool IsHex(std::string_view text) {
  return text.find_first_not_of(kHexDigits) == std::string_view::npos;
}

bool CanBeginAPath(std::string_view prefix) {
  return prefix.starts_with('/') &&
         std::all_of(prefix.begin(), prefix.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; }) &&
         prefix.find_first_of("?#") == std::string_view::npos;
}

// Whether every id, written in either case, goes to a longer prefix of the
// host. A prefix is either longer than `prefix` by hexadecimal digits or takes
// no ids from it.
bool LosesEveryId(const std::vector<std::string_view>& longer,
                  const std::string& prefix,
                  std::size_t digits) {
  if (digits == kJobIdDigits) {
    return false;
  }
  return std::all_of(kHexDigits.begin(), kHexDigits.end(), [&](char digit) {
    const std::string next = prefix + digit;
    const bool taken =
        std::find(longer.begin(), longer.end(), next) != longer.end();
    const bool deeper =
        std::any_of(longer.begin(), longer.end(),
                    [&](std::string_view it) { return it.starts_with(next); });
    return taken || (deeper && LosesEveryId(longer, next, digits + 1));
  });
}

void CheckForm(const Queue& queue, std::size_t n, Collector& to) {
  if (queue.host.find(':') != std::string::npos) {
    to.Warning(PolicyFault::kNeverMatches, QueuePlace(n, PolicyField::kHost),
               "calls are matched without their port, so that this host "
               "matches none; leave out the port");
  }
  if (!queue.path_prefix.empty() && !CanBeginAPath(queue.path_prefix)) {
    to.Warning(PolicyFault::kNeverMatches,
               QueuePlace(n, PolicyField::kPathPrefix),
               "no path begins with " + Quote(queue.path_prefix) +
                   ": a path begins with / and has no ?, # or spaces; correct "
                   "it");
  }
}

// Reports the longer prefixes that take calls of queue `n`.
void CheckLongerPrefixes(const Policy& policy, std::size_t n, Collector& to) {
  const Queue& queue = policy.queues[n];
  std::vector<std::string_view> longer;
  for (std::size_t k = 0; k < policy.queues.size(); ++k) {
    const Queue& other = policy.queues[k];
    if (other.host != queue.host ||
        !other.path_prefix.starts_with(queue.path_prefix)) {
      continue;
    }
    const auto rest =
        std::string_view(other.path_prefix).substr(queue.path_prefix.size());
    if (!rest.empty() && rest.size() <= kJobIdDigits && IsHex(rest)) {
      longer.emplace_back(other.path_prefix);
      to.Warning(PolicyFault::kTakesIds,
                 QueuePlace(k, PolicyField::kPathPrefix),
                 "takes the calls of queue " + Quote(queue.name) +
                     " for jobs whose id begins with " + Quote(rest) +
                     ", and refuses them; end the shorter prefix with / or "
                     "choose another one");
    }
  }
  if (!longer.empty() && LosesEveryId(longer, queue.path_prefix, 0)) {
    to.Warning(PolicyFault::kNeverMatches,
               QueuePlace(n, PolicyField::kPathPrefix),
               "is never the longest prefix of a job: longer prefixes take "
               "every id; remove the queue or change the prefix");
  }
}

void CheckMatching(const Policy& policy, Collector& to) {
  using HostAndPrefix = std::pair<std::string_view, std::string_view>;
  std::map<HostAndPrefix, std::string_view> first;
  for (std::size_t n = 0; n < policy.queues.size(); ++n) {
    const Queue& queue = policy.queues[n];
    if (queue.host.empty() || queue.path_prefix.empty()) {
      continue;
    }
    CheckForm(queue, n, to);
    const auto [it, added] =
        first.emplace(HostAndPrefix(queue.host, queue.path_prefix), queue.name);
    if (!added) {
      to.Warning(PolicyFault::kNeverMatches,
                 QueuePlace(n, PolicyField::kPathPrefix),
                 "queue " + Quote(it->second) +
                     " has the same host and prefix and comes first, so that "
                     "this one gets no calls; remove one or change its "
                     "prefix");
      continue;
    }
    CheckLongerPrefixes(policy, n, to);
  }
}

void CheckTerms(const Policy& policy, Collector& to) {
  for (std::size_t n = 0; n < policy.queues.size(); ++n) {
    const Queue& it = policy.queues[n];
    if (it.timeout <= Millis(0)) {
      to.Error(PolicyFault::kNoTimeout, QueuePlace(n, PolicyField::kTimeout),
               "is missing or 0: a call would have no time for its answer; "
               "state at least 1 ms");
    } else if (it.timeout < it.terms.target) {
      to.Warning(PolicyFault::kTimeoutBelowTarget,
                 QueuePlace(n, PolicyField::kTimeout),
                 "is " + std::to_string(it.timeout.count()) +
                     " ms, shorter than the target of " +
                     std::to_string(it.terms.target.count()) +
                     " ms; lengthen it or lower the target");
    }
    if (it.terms.max_attempts < 1) {
      to.Error(PolicyFault::kNoAttempts,
               QueuePlace(n, PolicyField::kMaxAttempts),
               "must be at least 1: with 0, no task would ever start");
    }
    if (it.terms.slack_factor < 1.0) {
      to.Error(PolicyFault::kSlackTooSmall,
               QueuePlace(n, PolicyField::kSlackFactor),
               "must be at least 1: no job ends before its critical path");
    }
  }
}

void CheckKeys(const Policy& policy, Collector& to) {
  std::map<std::string_view, std::size_t> owners;
  for (std::size_t n = 0; n < policy.customers.size(); ++n) {
    const Customer& customer = policy.customers[n];
    if (customer.keys.empty()) {
      to.Warning(PolicyFault::kNoKeys, CustomerPlace(n, PolicyField::kKeys),
                 "customer " + Quote(customer.name.value) +
                     " has no keys and can send no job; add one, or remove "
                     "the customer");
    }
    for (std::size_t k = 0; k < customer.keys.size(); ++k) {
      PolicyPlace place = CustomerPlace(n, PolicyField::kKeys);
      place.item = static_cast<int>(k);
      const auto [it, added] = owners.emplace(customer.keys[k], n);
      if (added) {
        continue;
      }
      if (it->second == n) {
        to.Warning(PolicyFault::kDuplicateKey, place,
                   "the key is listed twice; remove one of them");
      } else {
        to.Error(PolicyFault::kDuplicateKey, place,
                 "customer " + Quote(policy.customers[it->second].name.value) +
                     " has the same key, and gets the jobs; issue another "
                     "key to one of them");
      }
    }
  }
  const bool admits =
      std::any_of(policy.customers.begin(), policy.customers.end(),
                  [](const Customer& it) { return !it.keys.empty(); });
  const bool all_open = std::all_of(policy.queues.begin(), policy.queues.end(),
                                    [](const Queue& it) { return it.open; });
  if (!admits && !all_open) {
    to.Warning(PolicyFault::kNobodyAdmitted, {},
               "no customer has a key, and some queues need one; they refuse "
               "every call; add keys");
  }
}

void CheckGuarantees(const Policy& policy,
                     const PolicyCheckInput& input,
                     Collector& to) {
  const bool usable =
      std::any_of(policy.queues.begin(), policy.queues.end(),
                  [](const Queue& it) { return it.terms.priority == 0; });
  std::int64_t sum = 0;
  std::string arithmetic;
  for (std::size_t n = 0; n < policy.customers.size(); ++n) {
    const std::int64_t share = policy.customers[n].guaranteed_accelerators;
    if (share <= 0) {
      continue;
    }
    sum += share;
    arithmetic += (arithmetic.empty() ? "" : " + ") + std::to_string(share);
    if (!usable) {
      to.Warning(PolicyFault::kGuaranteeUnused,
                 CustomerPlace(n, PolicyField::kGuarantee),
                 "guarantees are for jobs of priority 0, and no queue has "
                 "this priority; add one or drop the guarantee");
    }
  }
  if (input.accelerators && sum > *input.accelerators) {
    to.Error(PolicyFault::kGuaranteesExceedCapacity, {},
             "the guarantees need " + std::to_string(sum) + " accelerators (" +
                 arithmetic + ") and there are " +
                 std::to_string(*input.accelerators) + "; lower some of them");
  }
}

// The longest header of a call that this policy admits.
std::int64_t LongestHeader(const Policy& policy) {
  std::size_t target = 0;
  for (const Queue& it : policy.queues) {
    target = std::max(target, it.host.size() + it.path_prefix.size());
  }
  std::size_t longest_key = 0;
  for (const Customer& it : policy.customers) {
    for (const std::string& key : it.keys) {
      longest_key = std::max(longest_key, key.size());
    }
  }
  return static_cast<std::int64_t>(target + kJobIdDigits + longest_key) +
         kFixedHeaderBytes;
}

void CheckLimits(const Policy& policy,
                 const RequestLimits& limits,
                 Collector& to) {
  const std::int64_t header = LongestHeader(policy);
  if (limits.header_bytes > 0 && limits.header_bytes < header) {
    to.Error(PolicyFault::kHeaderLimitTooSmall,
             {PolicyPart::kLimits, 0, PolicyField::kHeaderBytes},
             "the header of a call may need " + std::to_string(header) +
                 " bytes; raise the limit to that");
  }
  if (limits.body_bytes <= 0) {
    return;
  }
  const PolicyPlace body{PolicyPart::kLimits, 0, PolicyField::kBodyBytes};
  if (limits.body_bytes <= kMaxPayloadBytes) {
    to.Error(PolicyFault::kBodyLimitTooSmall, body,
             "the payload of a job alone may have " +
                 std::to_string(kMaxPayloadBytes) +
                 " bytes; raise the limit to " +
                 std::to_string(kLargeJobBytes) + " or more");
  } else if (limits.body_bytes < kLargeJobBytes) {
    to.Warning(PolicyFault::kBodyLimitTooSmall, body,
               "a job of some tens of steps may need " +
                   std::to_string(kLargeJobBytes) + " bytes; raise the limit");
  }
}

}  // namespace

PolicyFindings CheckPolicy(const Policy& policy,
                           const PolicyCheckInput& input) {
  Collector to;
  CheckAllNames(policy, to);
  CheckPools(policy, to);
  CheckMatching(policy, to);
  CheckTerms(policy, to);
  CheckKeys(policy, to);
  CheckGuarantees(policy, input, to);
  CheckLimits(policy, input.limits, to);
  return to.Take();
}

}  // namespace shallotlug::workload
