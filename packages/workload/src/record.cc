#include "shallotlug/workload/record.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <map>
#include <utility>

#include <boost/json.hpp>

#include "shallotlug/base/address.h"

namespace shallotlug::workload {

namespace json = boost::json;

namespace {

constexpr std::string_view kJobPrefix = "j/";
constexpr std::string_view kCancelPrefix = "c/";
constexpr std::string_view kProgressPrefix = "p/";
constexpr std::string_view kAgentPrefix = "n/";
constexpr std::string_view kEntryPrefix = "e/";
constexpr std::string_view kClaimKey = "a";
constexpr std::int64_t kMaxPriority = 1'000;
// Of runs, failures and attempts of one task.
constexpr std::int64_t kMaxRuns = 1'000'000'000;
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

std::int64_t GetInt(const json::object& from, std::string_view key) {
  const auto* it = from.if_contains(key);
  return it == nullptr ? 0 : it->to_number<std::int64_t>();
}

std::int64_t Checked(std::int64_t n, std::int64_t min, std::int64_t max) {
  if (n < min || n > max) {
    throw std::out_of_range("number out of range");
  }
  return n;
}

/// @brief A number from 0 to `max`; 0 if there is none.
std::int64_t GetAmount(const json::object& from,
                       std::string_view key,
                       std::int64_t max = kMaxAmount) {
  return Checked(GetInt(from, key), 0, max);
}

/// @brief A number from 0 to `max` at this place of a row.
int GetCell(const json::array& row, std::size_t n, std::int64_t max) {
  return static_cast<int>(Checked(row.at(n).to_number<std::int64_t>(), 0, max));
}

std::string GetAddress(const json::object& from) {
  std::string address(from.at("address").as_string());
  if (!IsAddress(address)) {
    throw std::invalid_argument("malformed address");
  }
  return address;
}

bool GetBool(const json::object& from, std::string_view key) {
  const auto* it = from.if_contains(key);
  return it != nullptr && it->as_bool();
}

std::string GetString(const json::object& from, std::string_view key) {
  const auto* it = from.if_contains(key);
  return it == nullptr ? "" : std::string(it->as_string());
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

/// @brief Numbers the workers of a record, so that each is written once.
class WorkerList {
 public:
  /// @return The worker's number; -1 for a task that is not assigned.
  int Add(const TaskProgress& task) {
    if (task.phase != TaskPhase::kAssigned) {
      return -1;
    }
    const auto [it, added] = numbers_.try_emplace(
        {task.on.agent, task.on.worker}, static_cast<int>(numbers_.size()));
    if (added) {
      rows_.emplace_back(json::array{task.on.agent.value, task.on.worker.id,
                                     task.on.worker.born});
    }
    return it->second;
  }
  json::array Take() { return std::move(rows_); }

 private:
  std::map<std::pair<AgentName, WorkerLife>, int> numbers_;
  json::array rows_;
};

constexpr int kEarlyCrashBit = 1;
constexpr int kAloneCrashBit = 2;

json::array EncodeCrashes(const std::vector<WorkerCrash>& crashes) {
  json::array rows;
  for (const WorkerCrash& it : crashes) {
    rows.emplace_back(json::array{it.run, (it.early ? kEarlyCrashBit : 0) |
                                              (it.alone ? kAloneCrashBit : 0)});
  }
  return rows;
}

std::vector<WorkerCrash> DecodeCrashes(const json::array& rows) {
  std::vector<WorkerCrash> crashes;
  for (const json::value& it : rows) {
    const json::array& row = it.as_array();
    const int bits = GetCell(row, 1, kEarlyCrashBit | kAloneCrashBit);
    crashes.push_back({GetCell(row, 0, kMaxRuns), (bits & kEarlyCrashBit) != 0,
                       (bits & kAloneCrashBit) != 0});
  }
  return crashes;
}

// One row for consecutive tasks in the same state: [step, first, count, phase,
// run, failures, failed run, worker, checkpoint, crashes]. Tasks in their
// initial state are omitted, and so are crashes and an empty checkpoint at the
// end of a row. A crash is the number of its run and two bits.
json::array EncodeTasks(const Progress& progress, WorkerList& workers) {
  json::array rows;
  for (std::size_t step = 0; step < progress.steps.size(); ++step) {
    const auto& tasks = progress.steps[step];
    std::size_t first = 0;
    while (first < tasks.size()) {
      const TaskProgress& it = tasks[first];
      std::size_t end = first + 1;
      while (end < tasks.size() && tasks[end] == it) {
        ++end;
      }
      if (it != TaskProgress{}) {
        json::array row{
            step,   first,       end - first,   static_cast<int>(it.phase),
            it.run, it.failures, it.failed_run, workers.Add(it)};
        if (!it.checkpoint.empty() || !it.crashes.empty()) {
          row.emplace_back(it.checkpoint);
        }
        if (!it.crashes.empty()) {
          row.emplace_back(EncodeCrashes(it.crashes));
        }
        rows.emplace_back(std::move(row));
      }
      first = end;
    }
  }
  return rows;
}

TaskProgress DecodeTask(const json::array& row, const json::array& workers) {
  TaskProgress task;
  task.phase = static_cast<TaskPhase>(
      GetCell(row, 3, static_cast<int>(TaskPhase::kDone)));
  task.run = GetCell(row, 4, kMaxRuns);
  task.failures = GetCell(row, 5, kMaxRuns);
  task.failed_run = GetCell(row, 6, kMaxRuns);
  if (row.size() > 8) {
    task.checkpoint = row.at(8).as_string();
  }
  if (row.size() > 9) {
    task.crashes = DecodeCrashes(row.at(9).as_array());
  }
  if (task.phase == TaskPhase::kAssigned) {
    const json::array& worker =
        workers.at(row.at(7).to_number<std::size_t>()).as_array();
    task.on = {AgentName(std::string(worker.at(0).as_string())),
               {std::string(worker.at(1).as_string()),
                worker.at(2).to_number<std::int64_t>()}};
  }
  return task;
}

Progress DecodeProgress(const json::object& from) {
  Progress progress;
  progress.outcome = static_cast<Outcome>(
      GetAmount(from, "outcome", static_cast<int>(Outcome::kCancelled)));
  std::int64_t left = kMaxTasksPerJob;
  for (const json::value& it : from.at("counts").as_array()) {
    const auto n = Checked(it.to_number<std::int64_t>(), 0, left);
    left -= n;
    progress.steps.emplace_back(static_cast<std::size_t>(n));
  }
  const json::array& workers = from.at("workers").as_array();
  for (const json::value& it : from.at("tasks").as_array()) {
    const json::array& row = it.as_array();
    auto& tasks = progress.steps.at(row.at(0).to_number<std::size_t>());
    const auto first = row.at(1).to_number<std::size_t>();
    const auto count = row.at(2).to_number<std::size_t>();
    if (count > tasks.size() || first > tasks.size() - count) {
      throw std::out_of_range("task number out of range");
    }
    std::fill_n(tasks.begin() + static_cast<std::ptrdiff_t>(first), count,
                DecodeTask(row, workers));
  }
  return progress;
}

std::string ProgressKey(const JobId& job, int occurrence) {
  return std::string(kProgressPrefix) + job.value + "/" +
         std::to_string(occurrence);
}

Record DecodeValue(const std::string& key, const json::object& from) {
  if (key.starts_with(kJobPrefix)) {
    return DecodeJob(key.substr(kJobPrefix.size()), from);
  }
  if (key.starts_with(kCancelPrefix)) {
    return JobCancelled{JobId(key.substr(kCancelPrefix.size()))};
  }
  if (key.starts_with(kProgressPrefix)) {
    const auto slash = key.rfind('/');
    int occurrence = 0;
    const char* end = key.data() + key.size();
    const auto parsed =
        std::from_chars(key.data() + slash + 1, end, occurrence);
    if (slash < kProgressPrefix.size() || parsed.ptr != end) {
      throw std::invalid_argument("malformed progress key");
    }
    return OccurrenceProgress{JobId(key.substr(kProgressPrefix.size(),
                                               slash - kProgressPrefix.size())),
                              occurrence, DecodeProgress(from)};
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
  return {std::string(kCancelPrefix) + it.job.value, "{}"};
}

RawRecord Encode(const OccurrenceProgress& it) {
  json::array counts;
  for (const auto& step : it.progress.steps) {
    counts.emplace_back(step.size());
  }
  WorkerList workers;
  json::array tasks = EncodeTasks(it.progress, workers);
  return {ProgressKey(it.job, it.occurrence),
          json::serialize(
              json::object{{"outcome", static_cast<int>(it.progress.outcome)},
                           {"counts", std::move(counts)},
                           {"workers", workers.Take()},
                           {"tasks", std::move(tasks)}})};
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

std::vector<RawRecord> DropJob(const Job& job) {
  // The job goes first: without its progress or its cancel it would be run
  // again by a scheduler that begins between two appends.
  std::vector<RawRecord> drops{{std::string(kJobPrefix) + job.id.value, ""},
                               {std::string(kCancelPrefix) + job.id.value, ""}};
  for (int n = 0; n < Occurrences(job); ++n) {
    drops.push_back({ProgressKey(job.id, n), ""});
  }
  return drops;
}

bool IsClaim(std::string_view key) {
  return key == kClaimKey;
}

bool IsSchedulersRecord(std::string_view key) {
  return key == kClaimKey || key.starts_with(kProgressPrefix);
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
