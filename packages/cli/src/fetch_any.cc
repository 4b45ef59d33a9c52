#include "command.h"
#include "json_fields.h"
#include "shallotlug/cli/cli.h"

namespace shallotlug::cli {
namespace {

constexpr int kFirstErrorStatus = 400;
constexpr int kGatewayTimeout = 504;

void PrintFindings(Context& context, const boost::json::object& body) {
  for (const boost::json::value& it : ArrayField(body, "findings")) {
    if (const auto* finding = it.if_object()) {
      context.err << "  " << TextField(*finding, "path") << ": "
                  << TextField(*finding, "message") << "\n";
    }
  }
}

}  // namespace

FetchReply FetchFromAny(Context& context,
                        const std::string& method,
                        const std::string& target,
                        const std::string& body) {
  FetchReply reply;
  reply.error = "no operator listener is given";
  for (const std::string& address : context.options.operators) {
    reply = context.fetch({address, method, target, body, context.options.token,
                           context.options.timeout});
    if (reply.status != FetchStatus::kNotSent) {
      break;
    }
  }
  return reply;
}

int ReportFailure(Context& context, const FetchReply& reply) {
  if (reply.status == FetchStatus::kNotSent) {
    context.err << "shallotlug: no entry was reached: " << reply.error
                << "\nNothing was changed. Check --operators.\n";
    return kExitUnreachable;
  }
  if (reply.status == FetchStatus::kUnknown) {
    context.err << "shallotlug: the answer was lost: " << reply.error << "\n";
    return kExitUnknown;
  }
  const auto body = ParseObject(reply.body);
  context.err << "shallotlug: "
              << (body ? TextField(*body, "error") + ": " +
                             TextField(*body, "message")
                       : "HTTP status " + std::to_string(reply.http_status))
              << "\n";
  if (body) {
    PrintFindings(context, *body);
  }
  return reply.http_status == kGatewayTimeout ? kExitUnknown : kExitRefused;
}

}  // namespace shallotlug::cli
