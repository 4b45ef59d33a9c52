#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "shallotlug/api/http.h"
#include "shallotlug/api/json.h"

namespace shallotlug::api {
namespace {

namespace json = boost::json;
using api::ToJson;

int StatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalid:
      return 400;
    case ErrorCode::kUnauthorized:
      return 401;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kCanNeverRun:
    case ErrorCode::kExceedsCapacity:
      return 422;
    case ErrorCode::kNotRun:
    case ErrorCode::kNotAccepted:
      return 503;
    case ErrorCode::kOutcomeUnknown:
      return 504;
    case ErrorCode::kFailed:
      return 502;
  }
  return 500;
}

HttpReply Json(int status, const json::object& body) {
  HttpReply reply;
  reply.status = status;
  reply.body = json::serialize(body) + "\n";
  return reply;
}

json::array ToJson(const Findings& findings) {
  json::array out;
  for (const Finding& it : findings) {
    json::object row;
    if (it.line > 0) {
      row["line"] = it.line;
    }
    row["path"] = it.path;
    row["message"] = it.message;
    out.push_back(std::move(row));
  }
  return out;
}

json::array ToJson(const std::vector<std::string>& texts) {
  return json::array(texts.begin(), texts.end());
}

json::object ToJson(const TargetChange& change) {
  json::object out;
  out["change_id"] = change.change_id;
  out["accepted"] = change.accepted;
  out["version"] = change.version;
  out["base_version"] = change.base_version;
  out["removed"] = change.removed;
  out["target"] = ToJson(change.target);
  return out;
}

json::object ToJson(const WorkerStatus& worker) {
  return {{"agent", worker.agent},
          {"data_centre", worker.data_centre},
          {"rack", worker.rack},
          {"alive", worker.alive},
          {"leaving", worker.leaving},
          {"quarantined", worker.quarantined},
          {"accelerators", worker.accelerators},
          {"free_accelerators", worker.free_accelerators},
          {"live_running", worker.live_running},
          {"config_revision", worker.config_revision}};
}

json::object ToJson(const BurnWindow& window) {
  return {{"total", window.total}, {"met", window.met}};
}

json::object ToJson(const BurnRow& row) {
  return {{"class", row.name.value},
          {"customer", row.customer.value},
          {"finish_within_ms", row.finish_within.count()},
          {"objective", row.objective},
          {"five_minutes", ToJson(row.five_minutes)},
          {"one_hour", ToJson(row.one_hour)},
          {"six_hours", ToJson(row.six_hours)},
          {"guarantee", ToWord(row.guarantee)}};
}

HttpReply Render(const ErrorReply& error) {
  json::object body;
  body["error"] = ToWord(error.code);
  body["reason"] = error.reason;
  body["message"] = error.message;
  if (!error.findings.empty()) {
    body["findings"] = ToJson(error.findings);
  }
  HttpReply reply = Json(StatusOf(error.code), body);
  if (error.id) {
    reply.request_id = ToString(*error.id);
  }
  return reply;
}

HttpReply Render(const MintReply& mint) {
  HttpReply reply = Json(201, {{"id", ToString(mint.id)},
                               {"expires_in_ms", mint.expires_in.count()}});
  reply.request_id = ToString(mint.id);
  return reply;
}

HttpReply Render(const AnswerReply& answer) {
  HttpReply reply;
  reply.content_type = "application/octet-stream";
  reply.body = answer.body;
  reply.request_id = ToString(answer.id);
  return reply;
}

HttpReply Render(const JobReply& job) {
  json::object body = ToJson(job.spec);
  body["id"] = job.spec.id.value;
  body["state"] = ToWord(job.state);
  body["attempts"] = job.attempts;
  body["progress"] = job.progress;
  body["result"] = job.result;
  body["reason"] = job.reason;
  return Json(job.created ? 201 : 200, body);
}

HttpReply Render(const CancelJobsReply& cancel) {
  return Json(200, {{"cancelled", cancel.cancelled},
                    {"already_final", cancel.already_final},
                    {"unknown", cancel.unknown}});
}

HttpReply Render(const TargetsReply& targets) {
  json::array rows;
  for (const VersionedTarget& it : targets.targets.entries) {
    if (it.removed) {
      continue;
    }
    json::object row = ToJson(it.target);
    row["version"] = it.version;
    rows.push_back(std::move(row));
  }
  return Json(200, {{"revision", targets.targets.revision},
                    {"targets", std::move(rows)}});
}

HttpReply Render(const ChangeReply& change) {
  return Json(200, ToJson(change.change));
}

HttpReply Render(const HistoryReply& history) {
  json::array rows;
  for (const TargetChange& it : history.changes) {
    rows.push_back(ToJson(it));
  }
  return Json(200, {{"changes", std::move(rows)}});
}

HttpReply Render(const StatusReply& status) {
  json::array workers;
  for (const WorkerStatus& it : status.workers) {
    workers.push_back(ToJson(it));
  }
  return Json(200, {{"entry", status.entry},
                    {"data_centre", status.data_centre},
                    {"planner", status.planner},
                    {"log_available", status.log_available},
                    {"config_revision", status.config_revision},
                    {"jobs_queued", status.jobs_queued},
                    {"jobs_running", status.jobs_running},
                    {"workers", std::move(workers)},
                    {"entries", ToJson(status.entries)}});
}

HttpReply Render(const BurnReply& burn) {
  json::array rows;
  for (const BurnRow& it : burn.rows) {
    rows.push_back(ToJson(it));
  }
  return Json(200, {{"entry", burn.entry},
                    {"rows", std::move(rows)},
                    {"entries", ToJson(burn.entries)}});
}

}  // namespace

HttpReply RenderReply(const Reply& reply) {
  return std::visit([](const auto& it) { return Render(it); }, reply);
}

}  // namespace shallotlug::api
