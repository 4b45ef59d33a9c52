#ifndef SHALLOTLUG_WORKLOAD_POLICY_H_
#define SHALLOTLUG_WORKLOAD_POLICY_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "shallotlug/base/clock.h"
#include "shallotlug/base/ids.h"
#include "shallotlug/workload/job.h"

namespace shallotlug::workload {

/// @brief A class of jobs and its service target.
struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  bool open = false;  ///< Requires no key.
  Millis timeout{0};  ///< For one call.
  Terms terms;
};

/// @brief A customer with its keys and guaranteed resources.
struct Customer {
  CustomerName name;
  std::vector<std::string> keys;
  std::int64_t guaranteed_accelerators = 0;
};

/// @brief A pool of workers.
struct Pool {
  std::string name;
  /// Workers refuse tasks that do not fit. Otherwise they start every task that
  /// they are ordered to start.
  bool guards_capacity = true;
  bool standby = false;
};

/// @brief The operator's configuration at one version.
struct Policy {
  std::int64_t version = 0;
  std::vector<Queue> queues;
  std::vector<Customer> customers;
  std::vector<Pool> pools;
  /// Data centres whose workers get no new runs until the operator takes them
  /// back; independent of the version.
  std::set<std::string> evacuated_data_centres;
};

/// @brief The queue with the longest path prefix on that host, or null.
const Queue* FindQueue(const Policy& policy,
                       std::string_view host,
                       std::string_view path);

/// @brief The queue of that name, or null.
const Queue* FindQueue(const Policy& policy, std::string_view name);

/// @brief The effective terms of a job: those of its queue, or, if the queue
/// was removed, those that the job was accepted with.
const Terms& TermsOf(const Policy& policy, const Job& job);

/// @brief The customer who owns the key, or null.
const Customer* FindCustomerByKey(const Policy& policy, std::string_view key);

/// @brief The customer of that name, or null.
const Customer* FindCustomer(const Policy& policy, const CustomerName& name);

}  // namespace shallotlug::workload

#endif  // SHALLOTLUG_WORKLOAD_POLICY_H_
