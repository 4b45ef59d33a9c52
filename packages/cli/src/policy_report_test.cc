#include "policy_report.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <sstream>
#include <string>

#include "command.h"
#include "shallotlug/cli/cli.h"

namespace shallotlug::cli {
namespace {

using testing::HasSubstr;
using testing::IsEmpty;
using testing::Not;
using testing::SizeIs;
using workload::PolicyDocument;
using workload::PolicyPlace;

// Paths are the part, index and field by their numbers.
std::string PathOf(const PolicyPlace& place) {
  return "/" + std::to_string(static_cast<int>(place.part)) + "/" +
         std::to_string(place.index) + "/" +
         std::to_string(static_cast<int>(place.field));
}

PolicyDocument MakeDocument() {
  PolicyDocument document;
  workload::Policy& policy = document.policy;
  policy.version = 7;
  workload::Queue queue;
  queue.name = "live";
  queue.host = "h.example";
  queue.path_prefix = "/live/";
  queue.timeout = Millis(3'000);
  queue.terms.pool = "pool";
  policy.queues = {queue};
  policy.customers = {{CustomerName("acme"), {"secret"}, 16}};
  policy.pools = {{"pool", true, false}};
  document.locate = [](const PolicyPlace& place) {
    Finding finding;
    finding.file = "c.json";
    finding.path = PathOf(place);
    return finding;
  };
  return document;
}

// Guards against an exit code by which a script sends a faulty configuration
// or holds back one that only differs.
TEST(PolicyReportTest, ExitCodeFollowsTheWorstFinding) {
  PolicyDocument document = MakeDocument();
  PolicyReport report = ReportPolicy(document, {});
  EXPECT_EQ(ExitCodeOf(report), kExitOk);
  EXPECT_EQ(ToString(report), "no findings\n");
  PolicyDocument in_force = MakeDocument();
  in_force.policy.version = 6;
  in_force.policy.pools.push_back({"old", true, false});
  AddDifferences(document, in_force, report);
  EXPECT_THAT(report.notes, SizeIs(1));
  EXPECT_EQ(ExitCodeOf(report), kExitOk);
  document.policy.customers[0].keys.clear();
  report = ReportPolicy(document, {});
  EXPECT_EQ(ExitCodeOf(report), kExitWarnings);
  document.policy.queues[0].terms.max_attempts = 0;
  report = ReportPolicy(document, {});
  EXPECT_EQ(ExitCodeOf(report), kExitFindings);
  EXPECT_THAT(ToString(report), HasSubstr("1 error, 2 warnings\n"));
}

// Guards against a second finding about a value that could not be read, and
// against faults that hide those of other fields.
TEST(PolicyReportTest, LeavesOutWhatFollowsFromAFaultOfTheForm) {
  PolicyDocument document = MakeDocument();
  document.policy.queues[0].timeout = Millis(0);
  document.policy.queues[0].terms.max_attempts = 0;
  Finding fault;
  fault.path = PathOf(
      {workload::PolicyPart::kQueue, 0, workload::PolicyField::kTimeout});
  fault.message = "must be a whole number";
  document.errors = {fault};
  const PolicyReport report = ReportPolicy(document, {});
  ASSERT_THAT(report.errors, SizeIs(2));
  EXPECT_EQ(report.errors[0], fault);
  EXPECT_THAT(report.errors[1].message, HasSubstr("at least 1"));
}

// Guards against a comparison that is left out without a word.
TEST(PolicyReportTest, SaysThatTheVersionInForceIsFaulty) {
  const PolicyDocument document = MakeDocument();
  Finding fault;
  fault.file = "old.json";
  fault.message = "is missing";
  PolicyDocument unread;
  unread.errors = {fault};
  PolicyReport report = ReportPolicy(document, {});
  AddDifferences(document, unread, report);
  EXPECT_THAT(report.errors, SizeIs(1));
  PolicyDocument in_force = MakeDocument();
  in_force.policy.version = 6;
  in_force.errors = {fault};
  report = ReportPolicy(document, {});
  AddDifferences(document, in_force, report);
  EXPECT_THAT(report.errors, IsEmpty());
  ASSERT_THAT(report.warnings, SizeIs(1));
  EXPECT_EQ(report.warnings[0].file, "old.json");
}

// Guards against a command that runs without its file or its reader.
TEST(CheckConfigTest, RefusesWrongCommandLines) {
  std::ostringstream out;
  std::ostringstream err;
  Context context{{}, {}, {}, out, err};
  context.read_policy = [](std::string_view, const std::string&) {
    return MakeDocument();
  };
  EXPECT_EQ(RunCheckConfig(context), kExitUsage);
  context.arguments = {"a.json", "b.json"};
  EXPECT_EQ(RunCheckConfig(context), kExitUsage);
  context.arguments = {"a.json"};
  context.options.fleet_accelerators = -1;
  EXPECT_EQ(RunCheckConfig(context), kExitUsage);
  EXPECT_THAT(out.str(), IsEmpty());
}

// Guards against a missing file that passes as an empty configuration.
TEST(CheckConfigTest, ReportsAFileThatCannotBeRead) {
  std::ostringstream out;
  std::ostringstream err;
  Context context{{}, {}, {}, out, err};
  context.read_policy = [](std::string_view, const std::string&) {
    return MakeDocument();
  };
  context.arguments = {"/no/such/file.json"};
  EXPECT_EQ(RunCheckConfig(context), kExitFindings);
  EXPECT_THAT(out.str(), HasSubstr("cannot be read"));
  EXPECT_THAT(out.str(), Not(HasSubstr("no findings")));
}

}  // namespace
}  // namespace shallotlug::cli
