#include "shallotlug/stream/entry_record.h"

#include "json_fields.h"

namespace shallotlug::stream {

std::string Format(const EntryAnnouncement& record) {
  json::object object = NewRecordObject("entry");
  object["entry"] = record.entry.name.value;
  object["incarnation"] = static_cast<std::uint64_t>(record.entry.incarnation);
  object["data_centre"] = record.data_centre.value;
  object["peer_address"] = record.peer_address;
  object["operator_address"] = record.operator_address;
  object["expires_in_ms"] = record.expires_in.count();
  return json::serialize(object);
}

EntryRecord ParseEntryRecord(std::string_view data) {
  const auto parsed = ParseRecordObject(data);
  if (const auto* fault = std::get_if<ParseFault>(&parsed)) {
    return *fault;
  }
  const auto& [object, kind] = std::get<RecordObject>(parsed);
  FieldReader reader{object};
  if (kind != "entry") {
    return ParseFault::kUnknownKind;
  }
  EntryAnnouncement record;
  record.entry = {EntryName(reader.Text("entry")),
                  Incarnation{reader.Unsigned("incarnation")}};
  record.data_centre = DataCentreName(reader.Text("data_centre"));
  record.peer_address = reader.Text("peer_address");
  record.operator_address = reader.Text("operator_address");
  record.expires_in = Millis(reader.Integer("expires_in_ms"));
  if (!reader.ok || record.entry.name.empty()) {
    return ParseFault::kMalformed;
  }
  return record;
}

}  // namespace shallotlug::stream
