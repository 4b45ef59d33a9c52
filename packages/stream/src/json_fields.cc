#include "json_fields.h"

#include <cmath>

namespace shallotlug::stream {
namespace {

constexpr std::string_view kAdjacencyWords[] = {"worker", "rack", "data_centre",
                                                "any"};

json::string_view Word(Adjacency adjacency) {
  return kAdjacencyWords[static_cast<std::size_t>(adjacency)];
}

Adjacency ReadAdjacency(FieldReader& reader, std::string_view key) {
  return static_cast<Adjacency>(
      reader.Choice(key, {"worker", "rack", "data_centre", "any"}));
}

}  // namespace

const json::value* FieldReader::Find(std::string_view key) {
  const json::value* it = object.if_contains(key);
  ok = ok && it != nullptr;
  return it;
}

std::string FieldReader::Text(std::string_view key) {
  const json::value* it = Find(key);
  if (it == nullptr || !it->is_string()) {
    ok = false;
    return "";
  }
  return std::string(it->get_string());
}

std::int64_t FieldReader::Integer(std::string_view key) {
  const json::value* it = Find(key);
  if (it == nullptr || !it->is_int64()) {
    ok = false;
    return 0;
  }
  return it->get_int64();
}

std::uint64_t FieldReader::Unsigned(std::string_view key) {
  const json::value* it = Find(key);
  if (it != nullptr && it->is_uint64()) {
    return it->get_uint64();
  }
  if (it == nullptr || !it->is_int64() || it->get_int64() < 0) {
    ok = false;
    return 0;
  }
  return static_cast<std::uint64_t>(it->get_int64());
}

double FieldReader::Real(std::string_view key) {
  const json::value* it = Find(key);
  if (it != nullptr && it->is_double()) {
    // The JSON parser makes infinity of 1e999 and NaN of 0e999. A record with
    // NaN could not be formatted again for a snapshot.
    ok = ok && std::isfinite(it->get_double());
    return it->get_double();
  }
  return it == nullptr ? 0 : static_cast<double>(Integer(key));
}

bool FieldReader::Flag(std::string_view key) {
  const json::value* it = Find(key);
  if (it == nullptr || !it->is_bool()) {
    ok = false;
    return false;
  }
  return it->get_bool();
}

json::array FieldReader::Array(std::string_view key) {
  const json::value* it = Find(key);
  if (it == nullptr || !it->is_array()) {
    ok = false;
    return {};
  }
  return it->get_array();
}

json::object FieldReader::Object(std::string_view key) {
  const json::value* it = Find(key);
  if (it == nullptr || !it->is_object()) {
    ok = false;
    return {};
  }
  return it->get_object();
}

int FieldReader::Choice(std::string_view key,
                        std::initializer_list<std::string_view> words) {
  const std::string text = Text(key);
  int n = 0;
  for (const std::string_view word : words) {
    if (word == text) {
      return n;
    }
    ++n;
  }
  ok = false;
  return 0;
}

std::optional<json::object> ParseObject(std::string_view data) {
  json::error_code ec;
  json::parse_options options;
  // Bodies of jobs are opaque bytes.
  options.allow_invalid_utf8 = true;
  const json::value value = json::parse(data, ec, {}, options);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  return value.get_object();
}

std::variant<RecordObject, ParseFault> ParseRecordObject(
    std::string_view data) {
  std::optional<json::object> object = ParseObject(data);
  if (!object) {
    return ParseFault::kMalformed;
  }
  FieldReader reader{*object};
  const std::int64_t version = reader.Integer("v");
  std::string kind = reader.Text("kind");
  if (!reader.ok) {
    return ParseFault::kMalformed;
  }
  if (version != kRecordVersion) {
    return ParseFault::kUnknownKind;
  }
  return RecordObject{std::move(*object), std::move(kind)};
}

json::object NewRecordObject(std::string_view kind) {
  return {{"v", kRecordVersion}, {"kind", json::string_view(kind)}};
}

json::object ToJson(const ClassTarget& target) {
  return {{"name", target.name.value},
          {"customer", target.customer.value},
          {"kind", target.kind == WorkKind::kLive ? "live" : "batch"},
          {"finish_within_ms", target.finish_within.count()},
          {"objective", target.objective},
          {"accelerators", target.accelerators},
          {"guarantee",
           {{"groups", target.guarantee.groups},
            {"accelerators", target.guarantee.accelerators},
            {"within", Word(target.guarantee.within)}}}};
}

ClassTarget ReadTarget(const json::object& object, bool& ok) {
  FieldReader reader{object};
  ClassTarget target;
  target.name = ClassName(reader.Text("name"));
  target.customer = CustomerName(reader.Text("customer"));
  target.kind = static_cast<WorkKind>(reader.Choice("kind", {"live", "batch"}));
  target.finish_within = Millis(reader.Integer("finish_within_ms"));
  target.objective = reader.Real("objective");
  target.accelerators = static_cast<int>(reader.Integer("accelerators"));
  const json::object guarantee = reader.Object("guarantee");
  FieldReader inner{guarantee};
  target.guarantee.groups = static_cast<int>(inner.Integer("groups"));
  target.guarantee.accelerators =
      static_cast<int>(inner.Integer("accelerators"));
  target.guarantee.within = ReadAdjacency(inner, "within");
  ok = ok && reader.ok && inner.ok && !target.name.empty();
  return target;
}

json::object ToJson(const JobSpec& spec) {
  return {{"id", spec.id.value},
          {"customer", spec.customer.value},
          {"class", spec.job_class.value},
          {"tasks", spec.shape.tasks},
          {"accelerators_per_task", spec.shape.accelerators_per_task},
          {"adjacency", Word(spec.shape.adjacency)},
          {"run_time_ms", spec.declared_run_time.count()},
          {"memory_mib", spec.declared_memory_mib},
          {"repeatable", spec.repeatable},
          {"checkpointable", spec.checkpointable},
          {"body", spec.body}};
}

JobSpec ReadJobSpec(const json::object& object, bool& ok) {
  FieldReader reader{object};
  JobSpec spec;
  spec.id = JobId(reader.Text("id"));
  spec.customer = CustomerName(reader.Text("customer"));
  spec.job_class = ClassName(reader.Text("class"));
  spec.shape.tasks = static_cast<int>(reader.Integer("tasks"));
  spec.shape.accelerators_per_task =
      static_cast<int>(reader.Integer("accelerators_per_task"));
  spec.shape.adjacency = ReadAdjacency(reader, "adjacency");
  spec.declared_run_time = Millis(reader.Integer("run_time_ms"));
  spec.declared_memory_mib = reader.Integer("memory_mib");
  spec.repeatable = reader.Flag("repeatable");
  spec.checkpointable = reader.Flag("checkpointable");
  spec.body = reader.Text("body");
  ok = ok && reader.ok && !spec.id.empty();
  return spec;
}

}  // namespace shallotlug::stream
