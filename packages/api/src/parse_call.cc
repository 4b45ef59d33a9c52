#include <functional>
#include <utility>

#include "path.h"
#include "shallotlug/api/http.h"
#include "shallotlug/api/json.h"

namespace shallotlug::api {
namespace {

constexpr std::size_t kMaxKeyLength = 128;
constexpr std::size_t kMaxIdsPerCancel = 100'000;
constexpr std::int64_t kMaxVersion = std::int64_t{1} << 53;

using detail::Path;

ErrorReply Invalid(Findings findings) {
  ErrorReply reply;
  reply.code = ErrorCode::kInvalid;
  reply.reason = "bad_body";
  reply.message = "The request body has " + std::to_string(findings.size()) +
                  " fault(s); see findings.";
  reply.findings = std::move(findings);
  return reply;
}

ErrorReply NoSuchCall(const HttpRequestView& request) {
  ErrorReply reply;
  reply.code = ErrorCode::kNotFound;
  reply.reason = "no_such_call";
  reply.message = std::string(request.method) + " " +
                  std::string(request.target.substr(0, 200)) +
                  " is not a call of this listener; docs/api.md lists them.";
  return reply;
}

ErrorReply BadRequestId() {
  ErrorReply reply;
  reply.code = ErrorCode::kInvalid;
  reply.reason = "bad_request_id";
  reply.message =
      "The request id in the path was not made by /v1/requests:mint.";
  return reply;
}

// Parses the body as one object and reads it; any finding wins over the call.
template <class T>
ParsedCall ReadBody(
    const HttpRequestView& request,
    T call,
    const std::function<void(ObjectReader&, Findings&, T&)>& read) {
  auto parsed = ParseJson(request.body, "");
  if (auto* findings = std::get_if<Findings>(&parsed)) {
    return Invalid(std::move(*findings));
  }
  Findings findings;
  ObjectReader reader(std::get<JsonNode>(parsed), "", "", findings);
  read(reader, findings, call);
  reader.Finish();
  if (!findings.empty()) {
    return Invalid(std::move(findings));
  }
  return Call(std::move(call));
}

template <class T>
void ReadRequest(ObjectReader& reader, Findings&, T& call) {
  reader.Required("customer", call.customer.value);
  reader.Required("class", call.request_class.value);
  reader.Optional("timeout_ms", call.timeout, Millis(1));
  reader.Optional("repeatable", call.repeatable);
  reader.Optional("body", call.body);
}

void ReadMint(ObjectReader& reader, Findings&, MintCall& call) {
  reader.Required("customer", call.customer.value);
  reader.Required("class", call.request_class.value);
}

void ReadResolve(ObjectReader& reader, Findings&, ResolveCall& call) {
  reader.Required("customer", call.customer.value);
}

void ReadSubmit(ObjectReader& reader, Findings&, SubmitJobCall& call) {
  reader.Required("key", call.key);
  if (call.key.size() > kMaxKeyLength) {
    reader.Fault("key", "must have at most 128 characters");
  }
  ReadJobSpec(reader, call.spec);
}

void ReadCancel(ObjectReader& reader, Findings&, CancelJobsCall& call) {
  reader.Required("customer", call.customer.value);
  std::vector<std::string> ids;
  reader.Optional("ids", ids);
  reader.Optional("class", call.job_class.value);
  if (ids.empty() == call.job_class.empty()) {
    reader.Fault("ids", "give either ids or a class");
  }
  if (ids.size() > kMaxIdsPerCancel) {
    reader.Fault("ids", "must have at most 100000 elements");
  }
  for (std::string& id : ids) {
    call.ids.emplace_back(std::move(id));
  }
}

void ReadChange(ObjectReader& reader, Findings& findings, SetTargetCall& call) {
  reader.Required("change_id", call.change_id);
  if (call.change_id.size() > kMaxKeyLength) {
    reader.Fault("change_id", "must have at most 128 characters");
  }
  reader.Required("base_version", call.base_version, {0, kMaxVersion});
  if (!call.remove) {
    ReadTarget(reader, "", call.target, findings);
  }
}

ParsedCall ParseRequestCall(const HttpRequestView& request, const Path& path) {
  const std::size_t n = path.segments.size();
  if (n == 2 && path.verb == "mint") {
    return ReadBody<MintCall>(request, {}, ReadMint);
  }
  if (n == 2 && path.verb.empty()) {
    return ReadBody<OneShotCall>(request, {}, ReadRequest<OneShotCall>);
  }
  if (n != 3) {
    return NoSuchCall(request);
  }
  const auto id = ParseRequestId(path.segments[2]);
  if (!id) {
    return BadRequestId();
  }
  if (path.verb.empty()) {
    SendCall call;
    call.id = *id;
    return ReadBody<SendCall>(request, std::move(call), ReadRequest<SendCall>);
  }
  if (path.verb == "resolve" || path.verb == "cancel") {
    ResolveCall call;
    call.id = *id;
    call.cancel = path.verb == "cancel";
    return ReadBody<ResolveCall>(request, std::move(call), ReadResolve);
  }
  return NoSuchCall(request);
}

// A job id may contain a slash, so the rest of the path is the id.
std::string JoinRest(const Path& path, std::size_t from) {
  std::string text;
  for (std::size_t n = from; n < path.segments.size(); ++n) {
    text += (n > from ? "/" : "") + path.segments[n];
  }
  return text + (path.verb.empty() ? "" : ":" + path.verb);
}

ParsedCall ParseCallerCall(const HttpRequestView& request, const Path& path) {
  const bool post = request.method == "POST";
  const std::string& kind = path.segments[1];
  if (kind == "requests" && post) {
    return ParseRequestCall(request, path);
  }
  if (kind == "jobs" && post && path.segments.size() == 2) {
    if (path.verb.empty()) {
      return ReadBody<SubmitJobCall>(request, {}, ReadSubmit);
    }
    if (path.verb == "cancel") {
      return ReadBody<CancelJobsCall>(request, {}, ReadCancel);
    }
  }
  if (kind == "jobs" && request.method == "GET" && path.segments.size() > 2) {
    return Call(GetJobCall{JobId(JoinRest(path, 2))});
  }
  return NoSuchCall(request);
}

ParsedCall ParseTargetsCall(const HttpRequestView& request, const Path& path) {
  const std::size_t n = path.segments.size();
  const bool get = request.method == "GET";
  const ClassName name(n > 2 ? path.segments[2] : "");
  if (get && n <= 3) {
    return Call(GetTargetsCall{name});
  }
  if (get && n == 4 && path.segments[3] == "history") {
    return Call(HistoryCall{name});
  }
  if (n == 3 && (request.method == "PUT" || request.method == "DELETE")) {
    SetTargetCall call;
    call.target.name = name;
    call.remove = request.method == "DELETE";
    return ReadBody<SetTargetCall>(request, std::move(call), ReadChange);
  }
  return NoSuchCall(request);
}

ParsedCall ParseOperatorCall(const HttpRequestView& request, const Path& path) {
  const std::string& kind = path.segments[1];
  const std::size_t n = path.segments.size();
  if (kind == "targets" && path.verb.empty()) {
    return ParseTargetsCall(request, path);
  }
  if (request.method != "GET" || !path.verb.empty()) {
    return NoSuchCall(request);
  }
  if (kind == "changes" && n == 3) {
    return Call(GetChangeCall{path.segments[2]});
  }
  if (kind == "status" && n == 2) {
    return Call(StatusCall{});
  }
  if (kind == "burn" && n == 2) {
    return Call(BurnCall{});
  }
  return NoSuchCall(request);
}

}  // namespace

ParsedCall ParseCall(const HttpRequestView& request) {
  const auto path = detail::ParsePath(request.target);
  if (!path || path->segments.size() < 2 || path->segments[0] != "v1") {
    return NoSuchCall(request);
  }
  return request.surface == Surface::kCallers
             ? ParseCallerCall(request, *path)
             : ParseOperatorCall(request, *path);
}

}  // namespace shallotlug::api
