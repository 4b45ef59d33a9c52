#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <optional>
#include <random>

#include "command.h"
#include "json_fields.h"
#include "shallotlug/api/json.h"
#include "shallotlug/cli/cli.h"
#include "table.h"

namespace shallotlug::cli {
namespace {

namespace json = boost::json;

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;

bool Succeeded(const FetchReply& reply) {
  return reply.status == FetchStatus::kOk && reply.http_status == kHttpOk;
}

std::string EncodeSegment(std::string_view text) {
  static constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const auto n = static_cast<unsigned char>(c);
    if (std::isalnum(n) || c == '-' || c == '_' || c == '.') {
      out += c;
    } else {
      out += '%';
      out += kHexDigits[n >> 4];
      out += kHexDigits[n & 15];
    }
  }
  return out;
}

std::string DrawChangeId() {
  std::random_device device;
  std::string id = "change-";
  for (int n = 0; n < 4; ++n) {
    id += std::to_string(device()) + (n < 3 ? "-" : "");
  }
  return id;
}

int UsageError(Context& context, const std::string& message) {
  context.err << "shallotlug: " << message << "\n";
  return kExitUsage;
}

std::optional<int> ParsePositive(std::string_view text) {
  int n = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), n);
  if (result.ec != std::errc() || result.ptr != text.data() + text.size() ||
      n <= 0) {
    return std::nullopt;
  }
  return n;
}

// Parses `GROUPSxACCELERATORS@WITHIN`, such as `2x8@rack`.
std::optional<json::object> ParseGuarantee(std::string_view text) {
  const std::size_t x = text.find('x');
  const std::size_t at = text.find('@');
  if (x == std::string_view::npos || at == std::string_view::npos || at < x) {
    return std::nullopt;
  }
  const auto groups = ParsePositive(text.substr(0, x));
  const auto accelerators = ParsePositive(text.substr(x + 1, at - x - 1));
  const std::string_view within = text.substr(at + 1);
  if (!groups || !accelerators || within.empty()) {
    return std::nullopt;
  }
  return json::object{{"groups", *groups},
                      {"accelerators", *accelerators},
                      {"within", std::string(within)}};
}

// The version that a change is made from: given, or looked up.
std::variant<std::int64_t, FetchReply> BaseVersion(Context& context,
                                                   const std::string& path) {
  if (context.options.base_version >= 0) {
    return context.options.base_version;
  }
  FetchReply reply = FetchFromAny(context, "GET", path);
  if (reply.status == FetchStatus::kOk && reply.http_status == kHttpNotFound) {
    return 0;
  }
  if (!Succeeded(reply)) {
    return reply;
  }
  const auto body = ParseObject(reply.body);
  const json::array rows = body ? ArrayField(*body, "targets") : json::array();
  return rows.empty() ? 0 : IntegerField(rows.front().as_object(), "version");
}

json::object ChangeBody(const Options& options) {
  json::object body{{"customer", options.customer},
                    {"kind", options.kind},
                    {"finish_within_ms", options.finish_within.count()},
                    {"objective", options.objective},
                    {"accelerators", options.accelerators}};
  if (!options.guarantee.empty()) {
    body["guarantee"] = *ParseGuarantee(options.guarantee);
  }
  return body;
}

TableRow TargetRow(const json::object& target, const std::string& version) {
  const json::object& guarantee = ObjectField(target, "guarantee");
  std::string shape = "-";
  if (!guarantee.empty()) {
    shape = std::to_string(IntegerField(guarantee, "groups")) + "x" +
            std::to_string(IntegerField(guarantee, "accelerators")) + "@" +
            TextField(guarantee, "within");
  }
  return {TextField(target, "class"),
          TextField(target, "customer"),
          TextField(target, "kind"),
          std::to_string(IntegerField(target, "finish_within_ms")) + " ms",
          FormatNumber(NumberField(target, "objective") * 100, 2) + " %",
          shape,
          version};
}

int PrintTargets(Context& context, const std::string& path) {
  const FetchReply reply = FetchFromAny(context, "GET", path);
  const auto body = ParseObject(reply.body);
  if (!Succeeded(reply) || !body) {
    return ReportFailure(context, reply);
  }
  if (context.options.output == Output::kJson) {
    context.out << reply.body;
    return kExitOk;
  }
  std::vector<TableRow> rows = {{"CLASS", "CUSTOMER", "KIND", "FINISH WITHIN",
                                 "OBJECTIVE", "GUARANTEE", "VERSION"}};
  for (const json::value& it : ArrayField(*body, "targets")) {
    const json::object& target = it.as_object();
    rows.push_back(
        TargetRow(target, std::to_string(IntegerField(target, "version"))));
  }
  context.out << FormatTable(rows);
  return kExitOk;
}

int ReportChange(Context& context,
                 const FetchReply& reply,
                 const std::string& change_id) {
  const auto body = ParseObject(reply.body);
  if (!Succeeded(reply) || !body) {
    const int code = ReportFailure(context, reply);
    if (code == kExitUnknown) {
      context.err << "The change may have been accepted. Repeat the command "
                     "with --change_id="
                  << change_id << " to learn its outcome.\n";
    }
    return code;
  }
  if (context.options.output == Output::kJson) {
    context.out << reply.body;
  } else {
    context.out << TextField(ObjectField(*body, "target"), "class")
                << ": version " << IntegerField(*body, "version")
                << " is accepted\n";
  }
  return kExitOk;
}

}  // namespace

int RunTargetSet(Context& context) {
  const Options& options = context.options;
  if (context.arguments.size() != 1) {
    return UsageError(context, "target set takes one CLASS");
  }
  if (!options.remove && (options.customer.empty() || options.kind.empty() ||
                          options.finish_within <= Millis(0))) {
    return UsageError(
        context,
        "target set needs --customer, --kind and --finish_within, or --remove");
  }
  if (!options.guarantee.empty() && !ParseGuarantee(options.guarantee)) {
    return UsageError(context,
                      "--guarantee must look like 2x8@rack: groups x "
                      "accelerators @ worker, rack, data_centre or any");
  }
  const std::string path =
      "/v1/targets/" + EncodeSegment(context.arguments.front());
  const auto base = BaseVersion(context, path);
  if (const auto* reply = std::get_if<FetchReply>(&base)) {
    return ReportFailure(context, *reply);
  }
  json::object body = options.remove ? json::object() : ChangeBody(options);
  const std::string change_id =
      options.change_id.empty() ? DrawChangeId() : options.change_id;
  body["change_id"] = change_id;
  body["base_version"] = std::get<std::int64_t>(base);
  return ReportChange(context,
                      FetchFromAny(context, options.remove ? "DELETE" : "PUT",
                                   path, json::serialize(body)),
                      change_id);
}

int RunTargetGet(Context& context) {
  if (context.arguments.size() != 1) {
    return UsageError(context, "target get takes one CLASS");
  }
  return PrintTargets(
      context, "/v1/targets/" + EncodeSegment(context.arguments.front()));
}

int RunTargetList(Context& context) {
  return PrintTargets(context, "/v1/targets");
}

int RunTargetHistory(Context& context) {
  if (context.arguments.size() != 1) {
    return UsageError(context, "target history takes one CLASS");
  }
  const FetchReply reply = FetchFromAny(
      context, "GET",
      "/v1/targets/" + EncodeSegment(context.arguments.front()) + "/history");
  const auto body = ParseObject(reply.body);
  if (!Succeeded(reply) || !body) {
    return ReportFailure(context, reply);
  }
  if (context.options.output == Output::kJson) {
    context.out << reply.body;
    return kExitOk;
  }
  std::vector<TableRow> rows = {{"CHANGE", "OUTCOME", "CLASS", "CUSTOMER",
                                 "KIND", "FINISH WITHIN", "OBJECTIVE",
                                 "GUARANTEE", "VERSION"}};
  for (const json::value& it : ArrayField(*body, "changes")) {
    const json::object& change = it.as_object();
    const bool accepted = BoolField(change, "accepted");
    TableRow row = {TextField(change, "change_id"),
                    !accepted                      ? "rejected"
                    : BoolField(change, "removed") ? "removed"
                                                   : "accepted"};
    const TableRow target =
        TargetRow(ObjectField(change, "target"),
                  std::to_string(IntegerField(change, "version")));
    row.insert(row.end(), target.begin(), target.end());
    rows.push_back(std::move(row));
  }
  context.out << FormatTable(rows);
  return kExitOk;
}

}  // namespace shallotlug::cli
