#include "shallotlug/stream/job_record.h"

#include "json_fields.h"

namespace shallotlug::stream {
namespace {

json::array ToJson(const std::vector<GangMember>& members) {
  json::array array;
  for (const GangMember& it : members) {
    json::array tasks;
    for (const AcceleratorMask mask : it.tasks) {
      tasks.push_back(mask);
    }
    array.push_back(json::object{
        {"agent", it.agent.name.value},
        {"incarnation", static_cast<std::uint64_t>(it.agent.incarnation)},
        {"address", it.address},
        {"tasks", std::move(tasks)}});
  }
  return array;
}

AgentRef ReadAgent(FieldReader& reader) {
  AgentRef agent;
  agent.name = AgentName(reader.Text("agent"));
  agent.incarnation = Incarnation{reader.Unsigned("incarnation")};
  return agent;
}

GangMember ReadMember(const json::object& object, bool& ok) {
  FieldReader reader{object};
  GangMember member;
  member.agent = ReadAgent(reader);
  member.address = reader.Text("address");
  for (const json::value& it : reader.Array("tasks")) {
    ok = ok && it.is_int64();
    member.tasks.push_back(
        it.is_int64() ? static_cast<AcceleratorMask>(it.get_int64()) : 0);
  }
  ok = ok && reader.ok;
  return member;
}

std::vector<GangMember> ReadMembers(FieldReader& reader, bool& ok) {
  std::vector<GangMember> members;
  for (const json::value& it : reader.Array("members")) {
    if (!it.is_object()) {
      ok = false;
      continue;
    }
    members.push_back(ReadMember(it.get_object(), ok));
  }
  return members;
}

json::array ToJson(const std::vector<AgentName>& names) {
  json::array array;
  for (const AgentName& it : names) {
    array.push_back(json::string(it.value));
  }
  return array;
}

std::vector<AgentName> ReadNames(FieldReader& reader, std::string_view key) {
  std::vector<AgentName> names;
  for (const json::value& it : reader.Array(key)) {
    reader.ok = reader.ok && it.is_string();
    if (it.is_string()) {
      names.emplace_back(std::string(it.get_string()));
    }
  }
  return names;
}

void Put(json::object& object, const Attempt& attempt) {
  object["job"] = attempt.job.value;
  object["attempt"] = attempt.number;
}

Attempt ReadAttempt(FieldReader& reader) {
  return {JobId(reader.Text("job")),
          static_cast<std::uint32_t>(reader.Unsigned("attempt"))};
}

void Put(json::object& object, const AgentRef& agent) {
  object["agent"] = agent.name.value;
  object["incarnation"] = static_cast<std::uint64_t>(agent.incarnation);
}

JobRecord ReadSubmitted(FieldReader& reader) {
  JobSubmitted record;
  bool ok = true;
  record.spec = ReadJobSpec(reader.Object("spec"), ok);
  record.key = reader.Text("key");
  if (!ok || !reader.ok) {
    return ParseFault::kMalformed;
  }
  return record;
}

JobRecord ReadClaimed(FieldReader& reader) {
  JobClaimed record;
  bool ok = true;
  record.attempt = ReadAttempt(reader);
  record.coordinator = ReadAgent(reader);
  record.members = ReadMembers(reader, ok);
  if (!ok || !reader.ok || record.attempt.number == 0) {
    return ParseFault::kMalformed;
  }
  return record;
}

JobRecord ReadEnded(FieldReader& reader) {
  JobAttemptEnded record;
  record.attempt = ReadAttempt(reader);
  record.end = static_cast<AttemptEnd>(reader.Choice(
      "end", {"released", "abandoned", "checkpointed", "finished", "failed"}));
  record.progress = reader.Real("progress");
  record.text = reader.Text("text");
  record.failed_at = ReadNames(reader, "failed_at");
  record.last = reader.Flag("last");
  if (!reader.ok) {
    return ParseFault::kMalformed;
  }
  return record;
}

JobRecord ReadSnapshot(FieldReader& reader) {
  JobSnapshot record;
  bool ok = true;
  JobRow& row = record.row;
  row.spec = ReadJobSpec(reader.Object("spec"), ok);
  row.key = reader.Text("key");
  row.standing = static_cast<JobStanding>(
      reader.Choice("standing", {"queued", "claimed", "finished", "failed",
                                 "cancelled", "outcome_unknown"}));
  row.attempt = static_cast<std::uint32_t>(reader.Unsigned("attempt"));
  row.coordinator = ReadAgent(reader);
  row.members = ReadMembers(reader, ok);
  row.claim_id = reader.Text("claim_id");
  row.failures = static_cast<int>(reader.Integer("failures"));
  row.failed_at = ReadNames(reader, "failed_at");
  row.progress = reader.Real("progress");
  row.checkpoint = reader.Text("checkpoint");
  row.result = reader.Text("result");
  row.reason = reader.Text("reason");
  record.folded_to = reader.Unsigned("folded_to");
  if (!ok || !reader.ok) {
    return ParseFault::kMalformed;
  }
  return record;
}

const char* Word(AttemptEnd end) {
  constexpr const char* kWords[] = {"released", "abandoned", "checkpointed",
                                    "finished", "failed"};
  return kWords[static_cast<std::size_t>(end)];
}

const char* Word(JobStanding standing) {
  constexpr const char* kWords[] = {"queued", "claimed",   "finished",
                                    "failed", "cancelled", "outcome_unknown"};
  return kWords[static_cast<std::size_t>(standing)];
}

}  // namespace

std::string Format(const JobSubmitted& record) {
  json::object object = NewRecordObject("submitted");
  object["spec"] = ToJson(record.spec);
  object["key"] = record.key;
  return json::serialize(object);
}

std::string Format(const JobClaimed& record) {
  json::object object = NewRecordObject("claimed");
  Put(object, record.attempt);
  Put(object, record.coordinator);
  object["members"] = ToJson(record.members);
  return json::serialize(object);
}

std::string Format(const JobAttemptEnded& record) {
  json::object object = NewRecordObject("ended");
  Put(object, record.attempt);
  object["end"] = Word(record.end);
  object["progress"] = record.progress;
  object["text"] = record.text;
  object["failed_at"] = ToJson(record.failed_at);
  object["last"] = record.last;
  return json::serialize(object);
}

std::string Format(const JobCancelled& record) {
  json::object object = NewRecordObject("cancelled");
  object["job"] = record.job.value;
  return json::serialize(object);
}

std::string Format(const JobSnapshot& record) {
  const JobRow& row = record.row;
  json::object object = NewRecordObject("snapshot");
  object["spec"] = ToJson(row.spec);
  object["key"] = row.key;
  object["standing"] = Word(row.standing);
  object["attempt"] = row.attempt;
  Put(object, row.coordinator);
  object["members"] = ToJson(row.members);
  object["claim_id"] = row.claim_id;
  object["failures"] = row.failures;
  object["failed_at"] = ToJson(row.failed_at);
  object["progress"] = row.progress;
  object["checkpoint"] = row.checkpoint;
  object["result"] = row.result;
  object["reason"] = row.reason;
  object["folded_to"] = record.folded_to;
  return json::serialize(object);
}

JobRecord ParseJobRecord(std::string_view data) {
  const auto parsed = ParseRecordObject(data);
  if (const auto* fault = std::get_if<ParseFault>(&parsed)) {
    return *fault;
  }
  const auto& [object, kind] = std::get<RecordObject>(parsed);
  FieldReader reader{object};
  if (kind == "submitted") {
    return ReadSubmitted(reader);
  }
  if (kind == "claimed") {
    return ReadClaimed(reader);
  }
  if (kind == "ended") {
    return ReadEnded(reader);
  }
  if (kind == "snapshot") {
    return ReadSnapshot(reader);
  }
  if (kind == "cancelled") {
    JobCancelled record{JobId(reader.Text("job"))};
    return reader.ok ? JobRecord(record) : JobRecord(ParseFault::kMalformed);
  }
  return ParseFault::kUnknownKind;
}

}  // namespace shallotlug::stream
