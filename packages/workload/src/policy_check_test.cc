#include "shallotlug/workload/policy_check.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace shallotlug::workload {
namespace {

using testing::Contains;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::Not;
using testing::Pair;

constexpr const char* kSecret = "secret-key-of-acme";

Queue MakeQueue(const std::string& name, const std::string& prefix) {
  Queue queue;
  queue.name = name;
  queue.host = "h.example";
  queue.path_prefix = prefix;
  queue.timeout = Millis(3'000);
  queue.terms = {"pool", 0, 3, 1.5, Millis(250)};
  return queue;
}

Policy MakePolicy() {
  Policy policy;
  policy.version = 7;
  policy.queues = {MakeQueue("live", "/live/"), MakeQueue("batch", "/batch/")};
  policy.customers = {{CustomerName("acme"), {kSecret}, 16},
                      {CustomerName("other"), {"another-key"}, 8}};
  policy.pools = {{"pool", true, false}};
  return policy;
}

using Found = std::pair<PolicyFault, Severity>;

std::vector<Found> FaultsOf(const PolicyFindings& findings) {
  std::vector<Found> faults;
  for (const PolicyFinding& it : findings) {
    faults.emplace_back(it.fault, it.severity);
  }
  return faults;
}

std::vector<Found> Check(const Policy& policy,
                         const PolicyCheckInput& input = {}) {
  return FaultsOf(CheckPolicy(policy, input));
}

auto IsError(PolicyFault fault) {
  return ElementsAre(Pair(fault, Severity::kError));
}

auto IsWarning(PolicyFault fault) {
  return ElementsAre(Pair(fault, Severity::kWarning));
}

// Guards against findings in a policy without faults.
TEST(PolicyCheckTest, FindsNothingInASoundPolicy) {
  EXPECT_THAT(Check(MakePolicy(), {{16'384, 262'144}, 24}), IsEmpty());
}

// Guards against a name that a lookup finds for another entry.
TEST(PolicyCheckTest, FindsDuplicateNames) {
  Policy policy = MakePolicy();
  policy.queues[1].name = "live";
  EXPECT_THAT(Check(policy), IsError(PolicyFault::kDuplicateName));
  policy = MakePolicy();
  policy.customers[1].name = CustomerName("acme");
  EXPECT_THAT(Check(policy), IsError(PolicyFault::kDuplicateName));
  policy = MakePolicy();
  policy.pools.push_back(policy.pools[0]);
  EXPECT_THAT(Check(policy), IsError(PolicyFault::kDuplicateName));
}

// Guards against jobs that wait for a pool that has no workers.
TEST(PolicyCheckTest, FindsQueuesWithoutWorkers) {
  Policy policy = MakePolicy();
  policy.queues[1].terms.pool = "pol";
  const PolicyFindings findings = CheckPolicy(policy, {});
  EXPECT_THAT(FaultsOf(findings), IsError(PolicyFault::kUnknownPool));
  EXPECT_EQ(findings[0].place,
            (PolicyPlace{PolicyPart::kQueue, 1, PolicyField::kPool}));
  policy = MakePolicy();
  policy.pools[0].standby = true;
  EXPECT_THAT(Check(policy),
              ElementsAre(Pair(PolicyFault::kPoolOff, Severity::kWarning),
                          Pair(PolicyFault::kPoolOff, Severity::kWarning)));
  policy.queues.clear();
  EXPECT_THAT(Check(policy),
              Contains(Pair(PolicyFault::kNoQueues, Severity::kWarning)));
}

// Guards against idle workers; a standby pool is a reserve.
TEST(PolicyCheckTest, FindsPoolsThatNoQueueNames) {
  Policy policy = MakePolicy();
  policy.pools.push_back({"reserve", true, true});
  EXPECT_THAT(Check(policy), IsEmpty());
  policy.pools.push_back({"forgotten", true, false});
  EXPECT_THAT(Check(policy), IsWarning(PolicyFault::kUnusedPool));
}

// Guards against a queue that the first one of the same prefix hides; the
// finding agrees with the lookup of the scheduler.
TEST(PolicyCheckTest, FindsTheQueueThatAnotherHides) {
  Policy policy = MakePolicy();
  policy.queues[1].path_prefix = "/live/";
  const PolicyFindings findings = CheckPolicy(policy, {});
  EXPECT_THAT(FaultsOf(findings), IsWarning(PolicyFault::kNeverMatches));
  EXPECT_EQ(findings[0].place.index, 1);
  EXPECT_EQ(FindQueue(policy, "h.example", "/live/0123456789abcdef"),
            &policy.queues[0]);
  policy.queues[1].host = "other.example";
  EXPECT_THAT(Check(policy), IsEmpty());
}

// Guards against hosts and prefixes that no call has.
TEST(PolicyCheckTest, FindsFormsThatNoCallHas) {
  for (const char* prefix : {"live/", "/li ve/", "/live?a=", "/live#"}) {
    Policy policy = MakePolicy();
    policy.queues[0].path_prefix = prefix;
    EXPECT_THAT(Check(policy), IsWarning(PolicyFault::kNeverMatches)) << prefix;
  }
  Policy policy = MakePolicy();
  policy.queues[0].host = "h.example:443";
  EXPECT_THAT(Check(policy), IsWarning(PolicyFault::kNeverMatches));
}

// Guards against a prefix that hides a share of another queue's ids.
TEST(PolicyCheckTest, FindsPrefixesThatTakeIds) {
  Policy policy = MakePolicy();
  policy.queues[1].path_prefix = "/live/5c";
  const PolicyFindings findings = CheckPolicy(policy, {});
  EXPECT_THAT(FaultsOf(findings), IsWarning(PolicyFault::kTakesIds));
  EXPECT_EQ(findings[0].place.index, 1);
  // No id contains a slash or another letter.
  for (const char* prefix : {"/live/5c/", "/live/x"}) {
    policy.queues[1].path_prefix = prefix;
    EXPECT_THAT(Check(policy), IsEmpty()) << prefix;
  }
}

// Guards against a queue whose every job goes to longer prefixes, directly or
// through prefixes that are longer still.
TEST(PolicyCheckTest, FindsAPrefixThatIsNeverTheLongest) {
  Policy policy = MakePolicy();
  const std::string digits = "0123456789abcdefABCDEF";
  for (const char c : digits.substr(1)) {
    const std::string suffix(1, c);
    policy.queues.push_back(MakeQueue("q" + suffix, "/live/" + suffix));
  }
  const auto never = Pair(PolicyFault::kNeverMatches, Severity::kWarning);
  EXPECT_THAT(Check(policy), Not(Contains(never)));
  for (const char c : digits) {
    const std::string suffix = std::string("0") + c;
    policy.queues.push_back(MakeQueue("q" + suffix, "/live/" + suffix));
  }
  EXPECT_THAT(Check(policy), Contains(never).Times(1));
}

// Guards against terms under which no job or call succeeds.
TEST(PolicyCheckTest, FindsTermsThatCannotBeMet) {
  Policy policy = MakePolicy();
  policy.queues[0].timeout = Millis(0);
  EXPECT_THAT(Check(policy), IsError(PolicyFault::kNoTimeout));
  policy.queues[0].timeout = Millis(249);
  EXPECT_THAT(Check(policy), IsWarning(PolicyFault::kTimeoutBelowTarget));
  policy.queues[0].timeout = Millis(250);
  EXPECT_THAT(Check(policy), IsEmpty());
  policy.queues[0].terms.max_attempts = 0;
  EXPECT_THAT(Check(policy), IsError(PolicyFault::kNoAttempts));
  policy = MakePolicy();
  policy.queues[0].terms.slack_factor = 0.99;
  EXPECT_THAT(Check(policy), IsError(PolicyFault::kSlackTooSmall));
  policy.queues[0].terms.slack_factor = 1.0;
  EXPECT_THAT(Check(policy), IsEmpty());
}

// Guards against a key that admits the jobs of one customer as another's, and
// against a finding that prints it.
TEST(PolicyCheckTest, FindsSharedKeysWithoutPrintingThem) {
  Policy policy = MakePolicy();
  policy.customers[1].keys.push_back(kSecret);
  const PolicyFindings findings = CheckPolicy(policy, {});
  EXPECT_THAT(FaultsOf(findings), IsError(PolicyFault::kDuplicateKey));
  EXPECT_EQ(findings[0].place,
            (PolicyPlace{PolicyPart::kCustomer, 1, PolicyField::kKeys, 1}));
  EXPECT_THAT(findings[0].message, HasSubstr("\"acme\""));
  EXPECT_THAT(findings[0].message, Not(HasSubstr(kSecret)));
  policy = MakePolicy();
  policy.customers[0].keys.push_back(kSecret);
  EXPECT_THAT(Check(policy), IsWarning(PolicyFault::kDuplicateKey));
}

// Guards against customers that are refused everywhere.
TEST(PolicyCheckTest, FindsCustomersWithoutKeys) {
  Policy policy = MakePolicy();
  policy.customers[1].keys.clear();
  EXPECT_THAT(Check(policy), IsWarning(PolicyFault::kNoKeys));
  policy.customers.clear();
  EXPECT_THAT(Check(policy), IsWarning(PolicyFault::kNobodyAdmitted));
  policy.queues[0].open = true;
  policy.queues[1].open = true;
  EXPECT_THAT(Check(policy), IsEmpty());
}

// Guards against guarantees that cannot be kept, or that no job may claim.
TEST(PolicyCheckTest, FindsGuaranteesThatCannotHold) {
  Policy policy = MakePolicy();
  EXPECT_THAT(Check(policy, {{}, 24}), IsEmpty());
  EXPECT_THAT(Check(policy), IsEmpty());
  const PolicyFindings findings = CheckPolicy(policy, {{}, 23});
  EXPECT_THAT(FaultsOf(findings),
              IsError(PolicyFault::kGuaranteesExceedCapacity));
  EXPECT_THAT(findings[0].message, HasSubstr("24 accelerators (16 + 8)"));
  policy.customers[1].guaranteed_accelerators = 0;
  policy.queues[0].terms.priority = 1;
  policy.queues[1].terms.priority = 2;
  EXPECT_THAT(Check(policy), IsWarning(PolicyFault::kGuaranteeUnused));
}

// Guards against limits that refuse calls which the policy admits.
TEST(PolicyCheckTest, FindsLimitsBelowWhatACallMayNeed) {
  const Policy policy = MakePolicy();
  EXPECT_THAT(Check(policy, {{0, 4'000}, {}}),
              IsError(PolicyFault::kBodyLimitTooSmall));
  EXPECT_THAT(Check(policy, {{0, 4'001}, {}}),
              IsWarning(PolicyFault::kBodyLimitTooSmall));
  EXPECT_THAT(Check(policy, {{0, 16'384}, {}}), IsEmpty());
  // 9 bytes of host, 7 of prefix, 16 of id, 18 of key and 256 of the rest.
  EXPECT_THAT(Check(policy, {{305, 0}, {}}),
              IsError(PolicyFault::kHeaderLimitTooSmall));
  EXPECT_THAT(Check(policy, {{306, 0}, {}}), IsEmpty());
}

std::vector<std::string> MessagesOf(const PolicyFindings& findings) {
  std::vector<std::string> texts;
  for (const PolicyFinding& it : findings) {
    texts.push_back(it.message);
  }
  return texts;
}

// Guards against a version that the store or the entries ignore.
TEST(PolicyCompareTest, FindsAVersionThatDoesNotRise) {
  const Policy in_force = MakePolicy();
  Policy next = in_force;
  EXPECT_THAT(FaultsOf(ComparePolicies(next, in_force)),
              IsError(PolicyFault::kVersionDoesNotRise));
  next.version = 6;
  EXPECT_THAT(FaultsOf(ComparePolicies(next, in_force)),
              IsError(PolicyFault::kVersionDoesNotRise));
  next.version = 8;
  EXPECT_THAT(ComparePolicies(next, in_force), IsEmpty());
}

// Guards against an entry that vanishes from the configuration unnoticed.
TEST(PolicyCompareTest, NamesAddedAndRemovedEntries) {
  const Policy in_force = MakePolicy();
  Policy next = in_force;
  next.version = 8;
  next.queues[1].name = "night";
  next.customers[1].name = CustomerName("new");
  next.pools[0].name = "pool2";
  EXPECT_THAT(
      MessagesOf(ComparePolicies(next, in_force)),
      ElementsAre("queue \"night\" is added", "queue \"batch\" is removed",
                  "customer \"new\" is added", "customer \"other\" is removed",
                  "pool \"pool2\" is added", "pool \"pool\" is removed"));
}

// Guards against a changed field that no note names.
TEST(PolicyCompareTest, NamesEveryChangedField) {
  const Policy in_force = MakePolicy();
  Policy next = in_force;
  next.version = 8;
  Queue& queue = next.queues[0];
  queue = {"live", "h2", "/l/", true, Millis(1), {"p", 4, 5, 2.5, Millis(6)}};
  next.customers[0].guaranteed_accelerators = 3;
  next.pools[0] = {"pool", false, true};
  EXPECT_THAT(
      MessagesOf(ComparePolicies(next, in_force)),
      ElementsAre(
          R"(queue "live": host changes from "h.example" to "h2")",
          R"(queue "live": path prefix changes from "/live/" to "/l/")",
          R"(queue "live": open changes from false to true)",
          R"(queue "live": pool changes from "pool" to "p")",
          R"(queue "live": priority changes from 0 to 4)",
          R"(queue "live": most attempts changes from 3 to 5)",
          R"(queue "live": slack factor changes from 1.5 to 2.5)",
          R"(queue "live": target changes from 250 ms to 6 ms)",
          R"(queue "live": time-out changes from 3000 ms to 1 ms)",
          R"(customer "acme": guaranteed accelerators changes from 16 to 3)",
          R"(pool "pool": guards its capacity changes from true to false)",
          R"(pool "pool": standby changes from false to true)"));
}

// Guards against printed keys, and against an exchanged key that a comparison
// of numbers alone would miss.
TEST(PolicyCompareTest, CountsKeysWithoutPrintingThem) {
  const Policy in_force = MakePolicy();
  Policy next = in_force;
  next.version = 8;
  next.customers[0].keys = {"fresh"};
  next.customers[1].keys.emplace_back("more");
  EXPECT_THAT(
      MessagesOf(ComparePolicies(next, in_force)),
      ElementsAre("customer \"acme\": keys added: 1, removed: 1, kept: 0",
                  "customer \"other\": keys added: 1, removed: 0, kept: 1"));
}

}  // namespace
}  // namespace shallotlug::workload
