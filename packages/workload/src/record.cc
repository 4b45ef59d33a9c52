#include "shallotlug/workload/record.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>

#include <boost/json.hpp>

#include "progress_record.h"
#include "record_fields.h"
#include "shallotlug/base/address.h"

namespace shallotlug::workload {

namespace json = boost::json;

using detail::Checked;
using detail::GetAmount;
using detail::GetBool;
using detail::GetInt;
using detail::GetString;
using detail::kMaxRuns;

namespace {

constexpr std::string_view kJobPrefix = "j/";
constexpr std::string_view kCancelPrefix = "c/";
constexpr std::string_view kAgentPrefix = "n/";
constexpr std::string_view kEntryPrefix = "e/";
constexpr std::string_view kClaimKey = "a";
constexpr std::int64_t kMaxPriority = 1'000;
constexpr double kMaxSlackFactor = 1e6;
constexpr std::int64_t kMaxAgents = 1'000'000;

json::object EncodeStep(const Step& it) {
  json::object to{{"count", it.count},
                  {"cpu", it.need.cpu_millis},
                  {"memory", it.need.memory_mib},
                  {"accelerators", it.need.accelerators},
                  {"estimate", it.estimate.count()}};
  const auto put_if = [&](const char* key, const auto& value, bool present) {
    if (present) {
      to[key] = value;
    }
  };
  put_if("after", json::value_from(it.depends_on), !it.depends_on.empty());
  put_if("saves", it.saves_checkpoints, it.saves_checkpoints);
  put_if("gang", it.gang, it.gang);
  put_if("same_rack", it.same_rack, it.same_rack);
  put_if("label", it.required_label, !it.required_label.empty());
  put_if("data_rack", it.data_rack, !it.data_rack.empty());
  put_if("per_worker", it.per_worker_limit, it.per_worker_limit != 0);
  put_if("speculative", it.speculative, it.speculative);
  put_if("lasting", it.lasting, it.lasting);
  put_if("image", it.image, !it.image.empty());
  put_if("tail_target", it.tail_latency_target.count(),
         it.tail_latency_target != Millis{0});
  put_if("spare_cpu", it.uses_spare_cpu, it.uses_spare_cpu);
  put_if("absences", it.absence_limit, it.absence_limit != 0);
  return to;
}

std::string GetAddress(const json::object& from) {
  std::string address(from.at("address").as_string());
  if (!IsAddress(address)) {
    throw std::invalid_argument("malformed address");
  }
  return address;
}

Step DecodeStep(const json::object& from, int position) {
  Step to;
  to.count =
      static_cast<int>(Checked(GetInt(from, "count"), 1, kMaxTasksPerJob));
  to.need = {GetAmount(from, "cpu"), GetAmount(from, "memory"),
             GetAmount(from, "accelerators")};
  to.estimate = Millis(GetAmount(from, "estimate"));
  if (const auto* it = from.if_contains("after")) {
    to.depends_on = json::value_to<std::vector<int>>(*it);
  }
  for (const int it : to.depends_on) {
    Checked(it, 0, position - 1);
  }
  to.saves_checkpoints = GetBool(from, "saves");
  to.gang = GetBool(from, "gang");
  to.same_rack = GetBool(from, "same_rack");
  to.required_label = GetString(from, "label");
  to.data_rack = GetString(from, "data_rack");
  to.per_worker_limit =
      static_cast<int>(GetAmount(from, "per_worker", kMaxTasksPerJob));
  to.speculative = GetBool(from, "speculative");
  to.lasting = GetBool(from, "lasting");
  to.image = GetString(from, "image");
  to.tail_latency_target = Millis(GetAmount(from, "tail_target"));
  to.uses_spare_cpu = GetBool(from, "spare_cpu");
  to.absence_limit =
      static_cast<int>(GetAmount(from, "absences", kMaxTasksPerJob));
  return to;
}

Terms DecodeTerms(const json::object& from) {
  Terms terms;
  terms.pool = GetString(from, "pool");
  terms.priority = static_cast<int>(GetAmount(from, "priority", kMaxPriority));
  terms.max_attempts = static_cast<int>(GetAmount(from, "attempts", kMaxRuns));
  terms.slack_factor = from.at("slack").to_number<double>();
  if (!(terms.slack_factor >= 0 && terms.slack_factor <= kMaxSlackFactor)) {
    throw std::out_of_range("slack out of range");
  }
  terms.target = Millis(GetAmount(from, "target"));
  return terms;
}

JobAccepted DecodeJob(std::string id, const json::object& from) {
  Job job;
  job.id = JobId(std::move(id));
  job.queue = GetString(from, "queue");
  job.customer = CustomerName(GetString(from, "customer"));
  job.terms = DecodeTerms(from);
  job.payload = GetString(from, "payload");
  std::int64_t tasks = 0;
  for (const json::value& it : from.at("steps").as_array()) {
    job.steps.push_back(
        DecodeStep(it.as_object(), static_cast<int>(job.steps.size())));
    tasks += job.steps.back().count;
  }
  Checked(tasks, 1, kMaxTasksPerJob);
  job.recurrence.count =
      static_cast<int>(GetAmount(from, "repeats", kMaxOccurrences));
  job.recurrence.first = WallTime(Millis(GetAmount(from, "first")));
  job.recurrence.interval = Millis(GetAmount(from, "interval"));
  job.accepted_at = WallTime(Millis(GetAmount(from, "accepted")));
  return {std::move(job)};
}

Record DecodeValue(const std::string& key, const json::object& from) {
  if (key.starts_with(kJobPrefix)) {
    return DecodeJob(key.substr(kJobPrefix.size()), from);
  }
  if (key.starts_with(kCancelPrefix)) {
    return JobCancelled{JobId(key.substr(kCancelPrefix.size())),
                        WallTime(Millis(GetAmount(from, "stated")))};
  }
  if (detail::IsProgressKey(key)) {
    return detail::DecodeProgressValue(key, from);
  }
  if (key.starts_with(kAgentPrefix)) {
    return AgentAddress{
        AgentName(key.substr(kAgentPrefix.size())), GetAddress(from),
        Incarnation{static_cast<std::uint64_t>(GetInt(from, "incarnation"))}};
  }
  if (key.starts_with(kEntryPrefix)) {
    return EntryAddress{
        EntryName(key.substr(kEntryPrefix.size())), GetAddress(from),
        WallTime(Millis(GetAmount(from, "stated"))), GetAmount(from, "cpu")};
  }
  if (key == kClaimKey) {
    return SchedulerClaim{static_cast<std::uint64_t>(GetAmount(from, "epoch")),
                          EntryName(GetString(from, "entry")),
                          static_cast<std::uint64_t>(GetInt(from, "nonce")),
                          GetBool(from, "resigned"),
                          GetBool(from, "behind"),
                          GetBool(from, "agents_lost"),
                          GetAmount(from, "agents", kMaxAgents)};
  }
  throw std::invalid_argument("unknown record key");
}

RecordDropped DecodeDropped(const std::string& key) {
  RecordDropped dropped;
  if (key.starts_with(kJobPrefix)) {
    dropped.job = JobId(key.substr(kJobPrefix.size()));
  } else if (key.starts_with(kCancelPrefix)) {
    dropped.cancelled_job = JobId(key.substr(kCancelPrefix.size()));
  } else if (key.starts_with(kAgentPrefix)) {
    dropped.agent = AgentName(key.substr(kAgentPrefix.size()));
  } else if (key.starts_with(kEntryPrefix)) {
    dropped.entry = EntryName(key.substr(kEntryPrefix.size()));
  }
  return dropped;
}

}  // namespace

RawRecord Encode(const JobAccepted& it) {
  json::array steps;
  for (const Step& step : it.job.steps) {
    steps.emplace_back(EncodeStep(step));
  }
  json::object to{{"queue", it.job.queue},
                  {"customer", it.job.customer.value},
                  {"pool", it.job.terms.pool},
                  {"priority", it.job.terms.priority},
                  {"attempts", it.job.terms.max_attempts},
                  {"slack", it.job.terms.slack_factor},
                  {"target", it.job.terms.target.count()},
                  {"payload", it.job.payload},
                  {"accepted", it.job.accepted_at.time_since_epoch().count()},
                  {"steps", std::move(steps)}};
  if (it.job.recurrence.count > 0) {
    to["repeats"] = it.job.recurrence.count;
    to["first"] = it.job.recurrence.first.time_since_epoch().count();
    to["interval"] = it.job.recurrence.interval.count();
  }
  return {std::string(kJobPrefix) + it.job.id.value, json::serialize(to)};
}

RawRecord Encode(const JobCancelled& it) {
  return {std::string(kCancelPrefix) + it.job.value,
          json::serialize(json::object{
              {"stated", it.stated_at.time_since_epoch().count()}})};
}

RawRecord Encode(const SchedulerClaim& it) {
  json::object to{{"epoch", it.epoch},
                  {"entry", it.entry.value},
                  {"nonce", static_cast<std::int64_t>(it.nonce)},
                  {"resigned", it.resigned}};
  if (it.behind) {
    to["behind"] = true;
  }
  if (it.agents_lost) {
    to["agents_lost"] = true;
  }
  if (it.agents_heard > 0) {
    to["agents"] = it.agents_heard;
  }
  return {std::string(kClaimKey), json::serialize(to)};
}

RawRecord Encode(const AgentAddress& it) {
  return {std::string(kAgentPrefix) + it.agent.value,
          json::serialize(json::object{
              {"address", it.address},
              {"incarnation", static_cast<std::int64_t>(it.incarnation)}})};
}

RawRecord Encode(const EntryAddress& it) {
  return {std::string(kEntryPrefix) + it.entry.value,
          json::serialize(
              json::object{{"address", it.address},
                           {"stated", it.stated_at.time_since_epoch().count()},
                           {"cpu", it.cpu_millis}})};
}

RawRecord DropEntry(const EntryName& entry) {
  return {std::string(kEntryPrefix) + entry.value, ""};
}

RawRecord DropAgent(const AgentName& agent) {
  return {std::string(kAgentPrefix) + agent.value, ""};
}

RawRecord DropCancel(const JobId& job) {
  return {std::string(kCancelPrefix) + job.value, ""};
}

std::vector<RawRecord> DropJob(const Job& job,
                               const std::map<int, int>& parts) {
  // The job goes first: without its progress or its cancel it would be run
  // again by a scheduler that begins between two appends.
  std::vector<RawRecord> drops{{std::string(kJobPrefix) + job.id.value, ""},
                               DropCancel(job.id)};
  for (const auto& [n, count] : parts) {
    for (int part = 0; part < count; ++part) {
      drops.push_back({detail::PartKey(job.id, n, part), ""});
    }
  }
  return drops;
}

std::size_t RecordBytes(const RawRecord& record) {
  constexpr std::size_t kKeyLengthBytes = 1;
  return kKeyLengthBytes + record.key.size() + record.value.size();
}

bool IsClaim(std::string_view key) {
  return key == kClaimKey;
}

bool IsSchedulersRecord(std::string_view key) {
  return key == kClaimKey || detail::IsProgressKey(key);
}

std::optional<Record> Decode(const std::string& key, std::string_view value) {
  if (value.empty()) {
    return DecodeDropped(key);
  }
  try {
    return DecodeValue(key, json::parse(value).as_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace shallotlug::workload
