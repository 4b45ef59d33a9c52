#include "shallotlug/workload/policy.h"

#include <algorithm>

namespace shallotlug::workload {

const Queue* FindQueue(const Policy& policy,
                       std::string_view host,
                       std::string_view path) {
  const Queue* best = nullptr;
  for (const Queue& it : policy.queues) {
    if (it.host == host && path.starts_with(it.path_prefix) &&
        (best == nullptr || it.path_prefix.size() > best->path_prefix.size())) {
      best = &it;
    }
  }
  return best;
}

const Queue* FindQueue(const Policy& policy, std::string_view name) {
  const auto it = std::find_if(policy.queues.begin(), policy.queues.end(),
                               [&](const Queue& q) { return q.name == name; });
  return it == policy.queues.end() ? nullptr : &*it;
}

const Terms& TermsOf(const Policy& policy, const Job& job) {
  const Queue* queue = FindQueue(policy, job.queue);
  return queue == nullptr ? job.terms : queue->terms;
}

const Customer* FindCustomerByKey(const Policy& policy, std::string_view key) {
  for (const Customer& it : policy.customers) {
    if (std::find(it.keys.begin(), it.keys.end(), key) != it.keys.end()) {
      return &it;
    }
  }
  return nullptr;
}

const Customer* FindCustomer(const Policy& policy, const CustomerName& name) {
  const auto it =
      std::find_if(policy.customers.begin(), policy.customers.end(),
                   [&](const Customer& c) { return c.name == name; });
  return it == policy.customers.end() ? nullptr : &*it;
}

}  // namespace shallotlug::workload
