#include "shallotlug/api/json.h"

#include <array>
#include <span>

namespace shallotlug::api {
namespace {

constexpr std::array<std::string_view, 4> kAdjacencies = {"worker", "rack",
                                                          "data_centre", "any"};
constexpr std::array<std::string_view, 2> kKinds = {"live", "batch"};
constexpr std::array<std::string_view, 10> kErrors = {
    "invalid",  "unauthorized",  "not_found",
    "conflict", "can_never_run", "exceeds_capacity",
    "not_run",  "not_accepted",  "outcome_unknown",
    "failed"};
constexpr std::array<std::string_view, 6> kJobStates = {
    "queued", "running", "finished", "failed", "cancelled", "outcome_unknown"};
constexpr std::array<std::string_view, 5> kGuaranteeStates = {
    "none", "held", "lent", "reclaiming", "short"};

constexpr int kMaxAcceleratorsPerTask = 32;
constexpr int kMaxTasks = 100'000;
constexpr int kMaxGroups = 100'000;
constexpr std::int64_t kMaxMemoryMib = std::int64_t{1} << 40;

template <class Words, class Enum>
std::string_view WordAt(const Words& words, Enum value) {
  return words[static_cast<std::size_t>(value)];
}

void ReadGuarantee(ObjectReader& parent,
                   const std::string& path,
                   Guarantee& to,
                   Findings& findings) {
  const JsonNode* node = parent.Find("guarantee");
  if (!node) {
    return;
  }
  ObjectReader reader(*node, path + "/guarantee", "", findings);
  reader.Required("groups", to.groups, {0, kMaxGroups});
  reader.Required("accelerators", to.accelerators, {1, kMaxTasks});
  if (const auto n = reader.Word("within", kAdjacencies, false)) {
    to.within = static_cast<Adjacency>(*n);
  }
  reader.Finish();
  if (to.groups == 0) {
    // The formatter leaves out a guarantee without groups.
    to = Guarantee();
  }
}

}  // namespace

std::string_view ToWord(Adjacency adjacency) {
  return WordAt(kAdjacencies, adjacency);
}

std::string_view ToWord(WorkKind kind) {
  return WordAt(kKinds, kind);
}

std::string_view ToWord(ErrorCode code) {
  return WordAt(kErrors, code);
}

std::string_view ToWord(JobState state) {
  return WordAt(kJobStates, state);
}

std::string_view ToWord(GuaranteeState state) {
  return WordAt(kGuaranteeStates, state);
}

boost::json::object ToJson(const ClassTarget& target) {
  boost::json::object out;
  out["class"] = target.name.value;
  out["customer"] = target.customer.value;
  out["kind"] = ToWord(target.kind);
  out["finish_within_ms"] = target.finish_within.count();
  out["objective"] = target.objective;
  out["accelerators"] = target.accelerators;
  if (target.guarantee.groups > 0) {
    out["guarantee"] = {{"groups", target.guarantee.groups},
                        {"accelerators", target.guarantee.accelerators},
                        {"within", ToWord(target.guarantee.within)}};
  }
  return out;
}

void ReadTarget(ObjectReader& reader,
                const std::string& path,
                ClassTarget& to,
                Findings& findings) {
  reader.Required("customer", to.customer.value);
  if (const auto n = reader.Word("kind", kKinds, true)) {
    to.kind = static_cast<WorkKind>(*n);
  }
  reader.Required("finish_within_ms", to.finish_within, Millis(1));
  reader.Optional("objective", to.objective, 0.5, 0.99999);
  reader.Optional("accelerators", to.accelerators,
                  {0, kMaxAcceleratorsPerTask});
  ReadGuarantee(reader, path, to.guarantee, findings);
}

boost::json::object ToJson(const JobSpec& spec) {
  boost::json::object out;
  out["customer"] = spec.customer.value;
  out["class"] = spec.job_class.value;
  out["tasks"] = spec.shape.tasks;
  out["accelerators_per_task"] = spec.shape.accelerators_per_task;
  out["adjacency"] = ToWord(spec.shape.adjacency);
  out["declared_run_time_ms"] = spec.declared_run_time.count();
  out["declared_memory_mib"] = spec.declared_memory_mib;
  out["repeatable"] = spec.repeatable;
  out["checkpointable"] = spec.checkpointable;
  out["body"] = spec.body;
  return out;
}

void ReadJobSpec(ObjectReader& reader, JobSpec& to) {
  reader.Required("customer", to.customer.value);
  reader.Required("class", to.job_class.value);
  reader.Required("tasks", to.shape.tasks, {1, kMaxTasks});
  reader.Required("accelerators_per_task", to.shape.accelerators_per_task,
                  {0, kMaxAcceleratorsPerTask});
  if (const auto n = reader.Word("adjacency", kAdjacencies, false)) {
    to.shape.adjacency = static_cast<Adjacency>(*n);
  }
  reader.Required("declared_run_time_ms", to.declared_run_time, Millis(1));
  reader.Optional("declared_memory_mib", to.declared_memory_mib,
                  {0, kMaxMemoryMib});
  reader.Optional("repeatable", to.repeatable);
  reader.Optional("checkpointable", to.checkpointable);
  reader.Optional("body", to.body);
}

}  // namespace shallotlug::api
