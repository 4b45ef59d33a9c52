#include <algorithm>
#include <cstddef>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "shallotlug/workload/policy_check.h"

namespace shallotlug::workload {
namespace {

std::string Show(const std::string& text) {
  return "\"" + text + "\"";
}

std::string Show(bool value) {
  return value ? "true" : "false";
}

std::string Show(Millis value) {
  return std::to_string(value.count()) + " ms";
}

template <class Number>
std::string Show(Number value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

void AddNote(PolicyFault fault,
             PolicyPlace place,
             std::string message,
             PolicyFindings& to) {
  to.push_back({fault, Severity::kNote, place, std::move(message)});
}

// Reports the fields of one entry that differ.
class FieldDiffer {
 public:
  FieldDiffer(PolicyPlace place, std::string title, PolicyFindings& to)
      : place_(place), title_(std::move(title)), to_(to) {}

  template <class Value>
  void Compare(PolicyField field,
               std::string_view name,
               const Value& next,
               const Value& in_force) {
    if (next != in_force) {
      Report(field, std::string(name) + " changes from " + Show(in_force) +
                        " to " + Show(next));
    }
  }

  void Report(PolicyField field, const std::string& what) {
    PolicyPlace place = place_;
    place.field = field;
    AddNote(PolicyFault::kChanged, place, title_ + ": " + what, to_);
  }

 private:
  PolicyPlace place_;
  std::string title_;
  PolicyFindings& to_;
};

void CompareItems(const Queue& next,
                  const Queue& in_force,
                  FieldDiffer& fields) {
  fields.Compare(PolicyField::kHost, "host", next.host, in_force.host);
  fields.Compare(PolicyField::kPathPrefix, "path prefix", next.path_prefix,
                 in_force.path_prefix);
  fields.Compare(PolicyField::kOpen, "open", next.open, in_force.open);
  fields.Compare(PolicyField::kPool, "pool", next.terms.pool,
                 in_force.terms.pool);
  fields.Compare(PolicyField::kPriority, "priority", next.terms.priority,
                 in_force.terms.priority);
  fields.Compare(PolicyField::kMaxAttempts, "most attempts",
                 next.terms.max_attempts, in_force.terms.max_attempts);
  fields.Compare(PolicyField::kSlackFactor, "slack factor",
                 next.terms.slack_factor, in_force.terms.slack_factor);
  fields.Compare(PolicyField::kTarget, "target", next.terms.target,
                 in_force.terms.target);
  fields.Compare(PolicyField::kTimeout, "time-out", next.timeout,
                 in_force.timeout);
}

std::size_t CountMissing(const std::set<std::string>& from,
                         const std::set<std::string>& in) {
  return static_cast<std::size_t>(
      std::count_if(from.begin(), from.end(),
                    [&](const std::string& it) { return in.count(it) == 0; }));
}

// Keys are secrets, so that only their numbers are told.
void CompareItems(const Customer& next,
                  const Customer& in_force,
                  FieldDiffer& fields) {
  const std::set<std::string> now(next.keys.begin(), next.keys.end());
  const std::set<std::string> before(in_force.keys.begin(),
                                     in_force.keys.end());
  const std::size_t added = CountMissing(now, before);
  const std::size_t removed = CountMissing(before, now);
  if (added + removed > 0) {
    fields.Report(PolicyField::kKeys,
                  "keys added: " + std::to_string(added) +
                      ", removed: " + std::to_string(removed) +
                      ", kept: " + std::to_string(now.size() - added));
  }
  fields.Compare(PolicyField::kGuarantee, "guaranteed accelerators",
                 next.guaranteed_accelerators,
                 in_force.guaranteed_accelerators);
}

void CompareItems(const Pool& next, const Pool& in_force, FieldDiffer& fields) {
  fields.Compare(PolicyField::kGuardsCapacity, "guards its capacity",
                 next.guards_capacity, in_force.guards_capacity);
  fields.Compare(PolicyField::kStandby, "standby", next.standby,
                 in_force.standby);
}

const std::string& NameOf(const Queue& it) {
  return it.name;
}

const std::string& NameOf(const Customer& it) {
  return it.name.value;
}

const std::string& NameOf(const Pool& it) {
  return it.name;
}

// The first entry of that name, which is the one that lookups by name find.
template <class Item>
const Item* FindNamed(const std::vector<Item>& items, const std::string& name) {
  const auto it = std::find_if(items.begin(), items.end(), [&](const Item& i) {
    return NameOf(i) == name;
  });
  return it == items.end() ? nullptr : &*it;
}

template <class Item>
void CompareLists(const std::vector<Item>& next,
                  const std::vector<Item>& in_force,
                  PolicyPart part,
                  const std::string& kind,
                  PolicyFindings& to) {
  for (std::size_t n = 0; n < next.size(); ++n) {
    const Item& item = next[n];
    const std::string title = kind + " " + Show(NameOf(item));
    const PolicyPlace place{part, static_cast<int>(n)};
    const Item* before = FindNamed(in_force, NameOf(item));
    if (before == nullptr) {
      AddNote(PolicyFault::kAdded, place, title + " is added", to);
      continue;
    }
    FieldDiffer fields(place, title, to);
    CompareItems(item, *before, fields);
  }
  for (const Item& item : in_force) {
    if (FindNamed(next, NameOf(item)) == nullptr) {
      AddNote(PolicyFault::kRemoved, {},
              kind + " " + Show(NameOf(item)) + " is removed", to);
    }
  }
}

}  // namespace

PolicyFindings ComparePolicies(const Policy& next, const Policy& in_force) {
  PolicyFindings to;
  if (next.version <= in_force.version) {
    to.push_back({PolicyFault::kVersionDoesNotRise,
                  Severity::kError,
                  {PolicyPart::kWhole, 0, PolicyField::kVersion},
                  "is " + std::to_string(next.version) + ", and version " +
                      std::to_string(in_force.version) +
                      " is in force; state a higher one"});
  }
  CompareLists(next.queues, in_force.queues, PolicyPart::kQueue, "queue", to);
  CompareLists(next.customers, in_force.customers, PolicyPart::kCustomer,
               "customer", to);
  CompareLists(next.pools, in_force.pools, PolicyPart::kPool, "pool", to);
  return to;
}

}  // namespace shallotlug::workload
