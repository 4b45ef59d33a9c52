#include <gtest/gtest.h>

#include <map>
#include <sstream>

#include "burn_report.h"
#include "command.h"
#include "help.h"
#include "shallotlug/cli/cli.h"

namespace shallotlug::cli {
namespace {

struct Fixture {
  std::ostringstream out;
  std::ostringstream err;
  std::vector<FetchRequest> sent;
  std::map<std::string, FetchReply> replies;  // By method and target.
  Context context{{}, {}, {}, out, err};

  Fixture() {
    context.options.operators = {"a:1"};
    context.fetch = [this](const FetchRequest& request) {
      sent.push_back(request);
      const auto it = replies.find(request.address + " " + request.method +
                                   " " + request.target);
      return it == replies.end() ? FetchReply{} : it->second;
    };
  }

  void Answer(const std::string& call, int status, const std::string& body) {
    replies[call] = {FetchStatus::kOk, status, body, ""};
  }
};

std::string BurnBody(int total, int met, const std::string& entries) {
  const std::string window = "{\"total\":" + std::to_string(total) +
                             ",\"met\":" + std::to_string(met) + "}";
  return "{\"rows\":[{\"class\":\"match\",\"customer\":\"c\","
         "\"finish_within_ms\":400,\"objective\":0.99,\"five_minutes\":" +
         window + ",\"one_hour\":" + window + ",\"six_hours\":" + window +
         ",\"guarantee\":\"lent\"}],\"entries\":[" + entries + "]}";
}

// Guards against a report that leaves out an entry without saying so.
TEST(ReportBurnTest, AddsUpEntriesAndNamesTheSilentOnes) {
  Fixture f;
  f.Answer("a:1 GET /v1/burn", 200, BurnBody(100, 98, R"("b:1","c:1")"));
  f.Answer("b:1 GET /v1/burn", 200, BurnBody(100, 100, R"("a:1")"));
  EXPECT_EQ(RunReportBurn(f.context), kExitOk);
  EXPECT_NE(f.out.str().find("99.000 %"), std::string::npos) << f.out.str();
  EXPECT_NE(f.out.str().find("no answer from c:1"), std::string::npos);
  EXPECT_NE(f.out.str().find("1.00"), std::string::npos);
}

// Guards against markup in a class name that breaks or scripts the page.
TEST(ReportBurnTest, EscapesNamesInHtml) {
  BurnReport report;
  report.lines.push_back({});
  report.lines.back().name = "<script>";
  EXPECT_EQ(ToHtml(report).find("<script>"), std::string::npos);
}

// Guards against a change that is repeated under another id after its answer
// was lost.
TEST(TargetSetTest, TellsHowToResolveALostAnswer) {
  Fixture f;
  f.context.arguments = {"match"};
  f.context.options.customer = "c";
  f.context.options.kind = "live";
  f.context.options.finish_within = Millis(400);
  f.context.options.change_id = "id-1";
  f.Answer("a:1 GET /v1/targets/match", 200,
           R"({"targets":[{"class":"match","version":9}]})");
  f.replies["a:1 PUT /v1/targets/match"] = {FetchStatus::kUnknown, 0, "",
                                            "timed out"};
  EXPECT_EQ(RunTargetSet(f.context), kExitUnknown);
  EXPECT_NE(f.sent.back().body.find("\"base_version\":9"), std::string::npos);
  EXPECT_NE(f.err.str().find("--change_id=id-1"), std::string::npos);
}

// Guards against a second entry being asked to make a change that the first
// one may have made.
TEST(TargetSetTest, AsksAnotherEntryOnlyWhenNothingWasSent) {
  Fixture f;
  f.context.options.operators = {"a:1", "b:1"};
  f.replies["a:1 PUT /x"] = {FetchStatus::kUnknown, 0, "", "reset"};
  EXPECT_EQ(FetchFromAny(f.context, "PUT", "/x").status, FetchStatus::kUnknown);
  EXPECT_EQ(f.sent.size(), 1U);
  f.replies["a:1 PUT /x"] = {FetchStatus::kNotSent, 0, "", "refused"};
  f.Answer("b:1 PUT /x", 200, "{}");
  EXPECT_EQ(FetchFromAny(f.context, "PUT", "/x").http_status, 200);
}

// Guards against a malformed guarantee that is sent or dropped.
TEST(TargetSetTest, RejectsAMalformedGuarantee) {
  for (const char* text : {"2x8", "x8@rack", "2x@rack", "0x8@rack", "2x8@"}) {
    Fixture f;
    f.context.arguments = {"match"};
    f.context.options.customer = "c";
    f.context.options.kind = "live";
    f.context.options.finish_within = Millis(400);
    f.context.options.guarantee = text;
    EXPECT_EQ(RunTargetSet(f.context), kExitUsage) << text;
    EXPECT_TRUE(f.sent.empty());
  }
}

// Guards against commands without help.
TEST(HelpTest, CoversEveryLevel) {
  EXPECT_NE(HelpText({}).find("serve"), std::string::npos);
  EXPECT_EQ(HelpText({"target"}).find("report burn"), std::string::npos);
  EXPECT_NE(HelpText({"target", "set"}).find("--guarantee"), std::string::npos);
  EXPECT_NE(HelpText({"check-config"}).find("--in_force"), std::string::npos);
  EXPECT_EQ(FindCommand({"target", "sett"}), nullptr);
}

}  // namespace
}  // namespace shallotlug::cli
