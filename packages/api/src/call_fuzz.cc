#include <cstdint>
#include <cstdlib>

#include <boost/json/serialize.hpp>

#include "shallotlug/api/http.h"
#include "shallotlug/api/json.h"

namespace shallotlug::api {
namespace {

std::string_view TakeLine(std::string_view& rest) {
  const std::size_t n = rest.find('\n');
  const std::string_view line = rest.substr(0, n);
  rest = n == std::string_view::npos ? "" : rest.substr(n + 1);
  return line;
}

const Call& MustParse(const ParsedCall& parsed) {
  const auto* call = std::get_if<Call>(&parsed);
  if (call == nullptr) {
    std::abort();
  }
  return *call;
}

// The two calls whose JSON has a formatter must keep their value through it.
void CheckRoundTrip(const HttpRequestView& request, const Call& call) {
  HttpRequestView again = request;
  if (const auto* submit = std::get_if<SubmitJobCall>(&call)) {
    boost::json::object json = ToJson(submit->spec);
    json["key"] = submit->key;
    const std::string body = boost::json::serialize(json);
    again.body = body;
    const ParsedCall parsed = ParseCall(again);
    const auto& copy = std::get<SubmitJobCall>(MustParse(parsed));
    if (copy.spec != submit->spec || copy.key != submit->key) {
      std::abort();
    }
  }
  const auto* change = std::get_if<SetTargetCall>(&call);
  if (change != nullptr && !change->remove) {
    boost::json::object json = ToJson(change->target);
    json.erase("class");
    json["change_id"] = change->change_id;
    json["base_version"] = change->base_version;
    const std::string body = boost::json::serialize(json);
    again.body = body;
    const ParsedCall parsed = ParseCall(again);
    const auto& copy = std::get<SetTargetCall>(MustParse(parsed));
    if (copy.target != change->target || copy.change_id != change->change_id ||
        copy.base_version != change->base_version) {
      std::abort();
    }
  }
}

}  // namespace
}  // namespace shallotlug::api

// The input is a line with the surface, the method and the target, separated by
// spaces, and the body.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  namespace api = shallotlug::api;
  std::string_view body(reinterpret_cast<const char*>(data), size);
  std::string_view line = api::TakeLine(body);
  const auto take_word = [&line] {
    const std::size_t n = line.find(' ');
    const std::string_view word = line.substr(0, n);
    line = n == std::string_view::npos ? "" : line.substr(n + 1);
    return word;
  };
  api::HttpRequestView request;
  request.surface = take_word() == "operators" ? api::Surface::kOperators
                                               : api::Surface::kCallers;
  request.method = take_word();
  request.target = line;
  request.body = body;
  const api::ParsedCall parsed = api::ParseCall(request);
  if (const auto* error = std::get_if<api::ErrorReply>(&parsed)) {
    if (error->reason.empty() || api::RenderReply(*error).status < 400) {
      std::abort();
    }
  } else {
    api::CheckRoundTrip(request, std::get<api::Call>(parsed));
  }
  return 0;
}
