#include "shallotlug/stream/config_record.h"

#include "json_fields.h"

namespace shallotlug::stream {
namespace {

ConfigRecord ReadChange(FieldReader& reader) {
  TargetChangeRecord record;
  bool ok = true;
  record.change_id = reader.Text("change_id");
  record.target = ReadTarget(reader.Object("target"), ok);
  record.base_version = reader.Unsigned("base_version");
  record.remove = reader.Flag("remove");
  record.guarantees_at = reader.Unsigned("guarantees_at");
  if (!ok || !reader.ok || record.change_id.empty()) {
    return ParseFault::kMalformed;
  }
  return record;
}

ConfigRecord ReadSnapshot(FieldReader& reader) {
  TargetSnapshotRecord record;
  bool ok = true;
  record.targets.revision = reader.Unsigned("revision");
  record.folded_to = reader.Unsigned("folded_to");
  for (const json::value& it : reader.Array("entries")) {
    if (!it.is_object()) {
      return ParseFault::kMalformed;
    }
    FieldReader entry{it.get_object()};
    record.targets.entries.push_back({ReadTarget(entry.Object("target"), ok),
                                      entry.Unsigned("version"),
                                      entry.Flag("removed")});
    ok = ok && entry.ok;
  }
  if (!ok || !reader.ok) {
    return ParseFault::kMalformed;
  }
  return record;
}

}  // namespace

std::string Format(const TargetChangeRecord& record) {
  json::object object = NewRecordObject("change");
  object["change_id"] = record.change_id;
  object["target"] = ToJson(record.target);
  object["base_version"] = record.base_version;
  object["remove"] = record.remove;
  object["guarantees_at"] = record.guarantees_at;
  return json::serialize(object);
}

std::string Format(const TargetSnapshotRecord& record) {
  json::array entries;
  for (const VersionedTarget& it : record.targets.entries) {
    entries.push_back(json::object{{"target", ToJson(it.target)},
                                   {"version", it.version},
                                   {"removed", it.removed}});
  }
  json::object object = NewRecordObject("snapshot");
  object["revision"] = record.targets.revision;
  object["folded_to"] = record.folded_to;
  object["entries"] = std::move(entries);
  return json::serialize(object);
}

ConfigRecord ParseConfigRecord(std::string_view data) {
  const auto parsed = ParseRecordObject(data);
  if (const auto* fault = std::get_if<ParseFault>(&parsed)) {
    return *fault;
  }
  const auto& [object, kind] = std::get<RecordObject>(parsed);
  FieldReader reader{object};
  if (kind == "change") {
    return ReadChange(reader);
  }
  if (kind == "snapshot") {
    return ReadSnapshot(reader);
  }
  return ParseFault::kUnknownKind;
}

}  // namespace shallotlug::stream
