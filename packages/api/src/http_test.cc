#include "shallotlug/api/http.h"

#include <gtest/gtest.h>

namespace shallotlug::api {
namespace {

HttpRequestView Caller(std::string_view method,
                       std::string_view target,
                       std::string_view body = "") {
  return {Surface::kCallers, method, target, body};
}

HttpRequestView Operator(std::string_view method,
                         std::string_view target,
                         std::string_view body = "") {
  return {Surface::kOperators, method, target, body};
}

template <class T>
T Get(const ParsedCall& parsed) {
  const auto* error = std::get_if<ErrorReply>(&parsed);
  EXPECT_EQ(error, nullptr) << (error ? error->message : "");
  return std::get<T>(std::get<Call>(parsed));
}

ErrorReply Error(const ParsedCall& parsed) {
  return std::get<ErrorReply>(parsed);
}

// Guards against a body that reaches the backend server under another class or
// flag than the caller's.
TEST(ParseCallTest, ReadsAOneShotRequest) {
  const auto call = Get<OneShotCall>(ParseCall(Caller(
      "POST", "/v1/requests",
      R"({"customer":"c","class":"match","timeout_ms":250,"body":"x"})")));
  EXPECT_EQ(call.customer.value, "c");
  EXPECT_EQ(call.request_class.value, "match");
  EXPECT_EQ(call.timeout, Millis(250));
  EXPECT_FALSE(call.repeatable);
  EXPECT_EQ(call.body, "x");
}

// Guards against a job id that a percent-encoded or plain slash cuts short.
TEST(ParseCallTest, KeepsSlashesInJobIds) {
  EXPECT_EQ(Get<GetJobCall>(ParseCall(Caller("GET", "/v1/jobs/c/k%2F1"))).id,
            JobId("c/k/1"));
}

// Guards against unknown fields that are silently dropped.
TEST(ParseCallTest, ReportsAllFaultsOfABody) {
  const ErrorReply error =
      Error(ParseCall(Caller("POST", "/v1/jobs",
                             R"({"key":"k","customer":"c","class":"a","tasks":0,
"accelerators_per_task":2,"declared_run_time_ms":1,"color":"red"})")));
  EXPECT_EQ(error.code, ErrorCode::kInvalid);
  ASSERT_EQ(error.findings.size(), 2U);
  EXPECT_EQ(error.findings[0].path, "/tasks");
  EXPECT_EQ(error.findings[1].path, "/color");
  EXPECT_EQ(error.findings[1].line, 2);
}

// Guards against operator calls that callers can make.
TEST(ParseCallTest, SeparatesTheListeners) {
  EXPECT_EQ(Error(ParseCall(Caller("GET", "/v1/targets"))).code,
            ErrorCode::kNotFound);
  EXPECT_EQ(Error(ParseCall(Operator("POST", "/v1/requests", "{}"))).code,
            ErrorCode::kNotFound);
}

// Guards against an objective of NaN, which passes both comparisons with its
// limits and makes the record of the change unreadable.
TEST(ParseCallTest, RefusesAnObjectiveThatIsNoNumber) {
  for (const std::string number : {"0e999", "1e999", "-1e999"}) {
    const ErrorReply error = Error(ParseCall(Operator(
        "PUT", "/v1/targets/match",
        R"({"change_id":"c1","base_version":0,"customer":"c","kind":"live",
"finish_within_ms":800,"objective":)" +
            number + "}")));
    ASSERT_EQ(error.findings.size(), 1U) << number;
    EXPECT_EQ(error.findings[0].path, "/objective");
  }
}

// Guards against a target that differs from the one that was set after an
// operator's client has read it: no groups means no guarantee, in one form.
TEST(ParseCallTest, ReadsAGuaranteeWithoutGroupsAsNone) {
  const auto call = Get<SetTargetCall>(
      ParseCall(Operator("PUT", "/v1/targets/match",
                         R"({"change_id":"c1","base_version":0,"customer":"c",
"kind":"live","finish_within_ms":800,
"guarantee":{"groups":0,"accelerators":7,"within":"rack"}})")));
  EXPECT_EQ(call.target.guarantee, Guarantee());
}

// Guards against an empty cancel call that cancels everything.
TEST(ParseCallTest, CancelNeedsIdsOrAClass) {
  EXPECT_EQ(
      Error(ParseCall(Caller("POST", "/v1/jobs:cancel", R"({"customer":"c"})")))
          .code,
      ErrorCode::kInvalid);
  EXPECT_EQ(Get<CancelJobsCall>(
                ParseCall(Caller("POST", "/v1/jobs:cancel",
                                 R"({"customer":"c","ids":["a","b"]})")))
                .ids.size(),
            2U);
}

// Guards against a change without the version it was made from.
TEST(ParseCallTest, ReadsATargetChange) {
  const auto call = Get<SetTargetCall>(ParseCall(Operator(
      "PUT", "/v1/targets/match",
      R"({"change_id":"x","base_version":7,"customer":"c","kind":"live",
          "finish_within_ms":400,
          "guarantee":{"groups":2,"accelerators":4,"within":"rack"}})")));
  EXPECT_EQ(call.target.name.value, "match");
  EXPECT_EQ(call.base_version, 7U);
  EXPECT_EQ(call.target.guarantee, (Guarantee{2, 4, Adjacency::kRack}));
  EXPECT_EQ(Error(ParseCall(Operator("PUT", "/v1/targets/match",
                                     R"({"change_id":"x","customer":"c",
          "kind":"live","finish_within_ms":400})")))
                .findings.at(0)
                .path,
            "/base_version");
}

// Guards against targets that crash or are taken for another call.
TEST(ParseCallTest, RejectsOtherTargets) {
  for (const char* target :
       {"", "/", "v1/jobs", "/v1", "/v2/jobs", "/v1/jobs%", "/v1/jobs%zz",
        "/v1/jobs?x=1", "/v1/requests/", "/v1/requests/a/b", "/v1/:", "//"}) {
    EXPECT_TRUE(std::holds_alternative<ErrorReply>(
        ParseCall(Caller("POST", target, "{}"))))
        << target;
  }
}

// Guards against an answer that is changed on its way to the caller.
TEST(RenderReplyTest, SendsTheAnswerAsItIs) {
  AnswerReply answer;
  answer.id.agent.name = AgentName("a");
  answer.body = std::string("\0{\"", 3);
  const HttpReply reply = RenderReply(answer);
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body, answer.body);
  EXPECT_EQ(reply.request_id, ToString(answer.id));
}

// Guards against "not run" and "outcome unknown" sharing a status or word.
TEST(RenderReplyTest, KeepsNotRunApartFromUnknown) {
  ErrorReply error;
  error.code = ErrorCode::kNotRun;
  const HttpReply not_run = RenderReply(error);
  error.code = ErrorCode::kOutcomeUnknown;
  const HttpReply unknown = RenderReply(error);
  EXPECT_EQ(not_run.status, 503);
  EXPECT_EQ(unknown.status, 504);
  EXPECT_NE(not_run.body.find("\"not_run\""), std::string::npos);
  EXPECT_NE(unknown.body.find("\"outcome_unknown\""), std::string::npos);
}

}  // namespace
}  // namespace shallotlug::api
