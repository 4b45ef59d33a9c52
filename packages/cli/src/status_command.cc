#include <boost/json/object.hpp>

#include "command.h"
#include "json_fields.h"
#include "shallotlug/cli/cli.h"
#include "table.h"

namespace shallotlug::cli {
namespace {

namespace json = boost::json;

std::string WorkerState(const json::object& worker) {
  if (!BoolField(worker, "alive")) {
    return "silent";
  }
  if (BoolField(worker, "leaving")) {
    return "leaving";
  }
  return BoolField(worker, "quarantined") ? "quarantined" : "ready";
}

TableRow WorkerRow(const json::object& worker) {
  return {TextField(worker, "agent"),
          TextField(worker, "data_centre"),
          TextField(worker, "rack"),
          WorkerState(worker),
          std::to_string(IntegerField(worker, "free_accelerators")) + "/" +
              std::to_string(IntegerField(worker, "accelerators")),
          std::to_string(IntegerField(worker, "live_running")),
          std::to_string(IntegerField(worker, "config_revision"))};
}

}  // namespace

int RunStatus(Context& context) {
  const FetchReply reply = FetchFromAny(context, "GET", "/v1/status");
  const auto body = ParseObject(reply.body);
  if (reply.status != FetchStatus::kOk || reply.http_status != 200 || !body) {
    return ReportFailure(context, reply);
  }
  if (context.options.output == Output::kJson) {
    context.out << reply.body;
    return kExitOk;
  }
  context.out << "entry " << TextField(*body, "entry") << " in "
              << TextField(*body, "data_centre")
              << (BoolField(*body, "planner") ? ", planner" : "")
              << ", configuration " << IntegerField(*body, "config_revision")
              << ", log service "
              << (BoolField(*body, "log_available") ? "available"
                                                    : "unavailable")
              << "\njobs: " << IntegerField(*body, "jobs_queued") << " queued, "
              << IntegerField(*body, "jobs_running") << " running\n\n";
  std::vector<TableRow> rows = {{"WORKER", "DATA CENTRE", "RACK", "STATE",
                                 "FREE", "LIVE", "CONFIGURATION"}};
  for (const json::value& it : ArrayField(*body, "workers")) {
    rows.push_back(WorkerRow(it.as_object()));
  }
  context.out << FormatTable(rows);
  return kExitOk;
}

}  // namespace shallotlug::cli
