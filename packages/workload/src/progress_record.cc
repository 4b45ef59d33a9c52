#include "progress_record.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <map>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "record_fields.h"

namespace shallotlug::workload {

namespace json = boost::json;

using detail::Checked;
using detail::GetAmount;
using detail::GetCell;
using detail::kMaxRuns;

namespace {

constexpr std::string_view kProgressPrefix = "p/";
// After the other prefix, so that a reader of the newest records in order of
// their keys finds a whole record before the parts that replace it.
constexpr std::string_view kPartPrefix = "q/";

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

/// @brief A range of tasks, counted over all steps.
struct TaskRange {
  std::size_t first = 0;
  std::size_t end = 0;
};

std::size_t CountTasks(const std::vector<std::size_t>& counts) {
  std::size_t total = 0;
  for (const std::size_t it : counts) {
    total += it;
  }
  return total;
}

TaskRange RangeOf(int part, std::size_t tasks) {
  const std::size_t first = static_cast<std::size_t>(part) * kTasksPerPart;
  return {std::min(first, tasks), std::min(first + kTasksPerPart, tasks)};
}

/// @brief What is recorded of a task.
TaskProgress Recorded(const TaskProgress& task, bool with_checkpoint) {
  TaskProgress recorded = task;
  if (!with_checkpoint) {
    recorded.checkpoint.clear();
  }
  return recorded;
}

json::array EncodeRow(std::size_t step,
                      std::size_t first,
                      std::size_t count,
                      const TaskProgress& it,
                      WorkerList& workers) {
  json::array row{
      step,   first,       count,         static_cast<int>(it.phase),
      it.run, it.failures, it.failed_run, workers.Add(it)};
  if (!it.checkpoint.empty() || !it.crashes.empty()) {
    row.emplace_back(it.checkpoint);
  }
  if (!it.crashes.empty()) {
    row.emplace_back(EncodeCrashes(it.crashes));
  }
  return row;
}

// One row for consecutive tasks in the same state: [step, first, count, phase,
// run, failures, failed run, worker, checkpoint, crashes]. Tasks in their
// initial state are omitted, and so are crashes and an empty checkpoint at the
// end of a row. A crash is the number of its run and two bits.
json::array EncodeTasks(const Progress& progress,
                        TaskRange range,
                        bool with_checkpoints,
                        WorkerList& workers) {
  json::array rows;
  std::size_t before = 0;  // Tasks of the steps before.
  for (std::size_t step = 0; step < progress.steps.size(); ++step) {
    const auto& tasks = progress.steps[step];
    std::size_t first = range.first > before ? range.first - before : 0;
    const std::size_t last =
        range.end > before ? std::min(range.end - before, tasks.size()) : 0;
    before += tasks.size();
    while (first < last) {
      const TaskProgress it = Recorded(tasks[first], with_checkpoints);
      std::size_t end = first + 1;
      while (end < last && Recorded(tasks[end], with_checkpoints) == it) {
        ++end;
      }
      if (it != TaskProgress{}) {
        rows.emplace_back(EncodeRow(step, first, end - first, it, workers));
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

std::vector<std::size_t> DecodeCounts(const json::object& from) {
  std::vector<std::size_t> counts;
  std::int64_t left = kMaxTasksPerJob;
  for (const json::value& it : from.at("counts").as_array()) {
    const auto n = Checked(it.to_number<std::int64_t>(), 0, left);
    left -= n;
    counts.push_back(static_cast<std::size_t>(n));
  }
  return counts;
}

Outcome DecodeOutcome(const json::object& from) {
  return static_cast<Outcome>(
      GetAmount(from, "outcome", static_cast<int>(Outcome::kCancelled)));
}

/// @brief The tasks of a range, by the rows of a record.
std::vector<TaskProgress> DecodeTasks(const json::object& from,
                                      const std::vector<std::size_t>& counts,
                                      TaskRange range) {
  std::vector<std::size_t> begins;
  std::size_t total = 0;
  for (const std::size_t it : counts) {
    begins.push_back(total);
    total += it;
  }
  std::vector<TaskProgress> tasks(range.end - range.first);
  const json::array& workers = from.at("workers").as_array();
  for (const json::value& it : from.at("tasks").as_array()) {
    const json::array& row = it.as_array();
    const auto step = row.at(0).to_number<std::size_t>();
    const auto first = row.at(1).to_number<std::size_t>();
    const auto count = row.at(2).to_number<std::size_t>();
    const std::size_t of_step = counts.at(step);
    if (count > of_step || first > of_step - count ||
        begins[step] + first < range.first ||
        begins[step] + first + count > range.end) {
      throw std::out_of_range("task number out of range");
    }
    std::fill_n(tasks.begin() + static_cast<std::ptrdiff_t>(
                                    begins[step] + first - range.first),
                count, DecodeTask(row, workers));
  }
  return tasks;
}

Progress DecodeWhole(const json::object& from) {
  const std::vector<std::size_t> counts = DecodeCounts(from);
  const std::vector<TaskProgress> tasks =
      DecodeTasks(from, counts, {0, CountTasks(counts)});
  Progress progress;
  progress.outcome = DecodeOutcome(from);
  auto next = tasks.begin();
  for (const std::size_t it : counts) {
    const auto end = next + static_cast<std::ptrdiff_t>(it);
    progress.steps.emplace_back(next, end);
    next = end;
  }
  return progress;
}

ProgressPart DecodePart(const json::object& from, int part) {
  ProgressPart to;
  to.part = part;
  to.counts = DecodeCounts(from);
  const TaskRange range = RangeOf(part, CountTasks(to.counts));
  if (part > 0 && range.first == range.end) {
    throw std::out_of_range("part number out of range");
  }
  if (part == 0) {
    to.outcome = DecodeOutcome(from);
  }
  to.tasks = DecodeTasks(from, to.counts, range);
  return to;
}

std::vector<std::size_t> CountsOf(const Progress& progress) {
  std::vector<std::size_t> counts;
  for (const auto& it : progress.steps) {
    counts.push_back(it.size());
  }
  return counts;
}

/// @brief The fields that a whole record and a part have in common.
json::object EncodeFields(const OccurrenceProgress& it,
                          TaskRange range,
                          bool with_checkpoints) {
  json::array counts;
  for (const std::size_t n : CountsOf(it.progress)) {
    counts.emplace_back(n);
  }
  WorkerList workers;
  json::array tasks =
      EncodeTasks(it.progress, range, with_checkpoints, workers);
  return {{"outcome", static_cast<int>(it.progress.outcome)},
          {"counts", std::move(counts)},
          {"workers", workers.Take()},
          {"tasks", std::move(tasks)}};
}

RawRecord EncodePart(const OccurrenceProgress& it,
                     int part,
                     bool with_checkpoints) {
  const TaskRange range = RangeOf(part, CountTasks(CountsOf(it.progress)));
  json::object fields = EncodeFields(it, range, with_checkpoints);
  fields["part"] = part;
  return {detail::PartKey(it.job, it.occurrence, part),
          json::serialize(fields)};
}

/// @brief A number at the end of a key, behind a slash, which is cut off.
int TakeNumber(std::string_view& key) {
  const auto slash = key.rfind('/');
  if (slash == std::string_view::npos) {
    throw std::invalid_argument("malformed progress key");
  }
  int number = 0;
  const char* end = key.data() + key.size();
  const auto parsed = std::from_chars(key.data() + slash + 1, end, number);
  if (parsed.ptr != end || parsed.ec != std::errc{} || number < 0) {
    throw std::invalid_argument("malformed progress key");
  }
  key = key.substr(0, slash);
  return number;
}

}  // namespace

RawRecord Encode(const OccurrenceProgress& it) {
  const TaskRange all{0, CountTasks(CountsOf(it.progress))};
  return {detail::ProgressKey(it.job, it.occurrence),
          json::serialize(EncodeFields(it, all, true))};
}

int PartCount(const Progress& progress) {
  const std::size_t tasks = CountTasks(CountsOf(progress));
  return static_cast<int>(
      std::max<std::size_t>((tasks + kTasksPerPart - 1) / kTasksPerPart, 1));
}

EncodedProgress EncodeProgress(const OccurrenceProgress& it,
                               std::size_t record_bytes) {
  EncodedProgress encoded;
  if (!it.progress.in_parts) {
    RawRecord whole = Encode(it);
    if (RecordBytes(whole) <= record_bytes) {
      encoded.records.push_back(std::move(whole));
      return encoded;
    }
  }
  encoded.in_parts = true;
  for (int part = PartCount(it.progress) - 1; part >= 0; --part) {
    RawRecord record = EncodePart(it, part, true);
    if (RecordBytes(record) > record_bytes) {
      record = EncodePart(it, part, false);
      ++encoded.parts_without_checkpoints;
    }
    encoded.records.push_back(std::move(record));
  }
  return encoded;
}

void ApplyPart(Progress& progress, const ProgressPart& part) {
  if (CountsOf(progress) != part.counts) {
    progress = {};
    for (const std::size_t it : part.counts) {
      progress.steps.emplace_back(it);
    }
  }
  progress.in_parts = true;
  if (part.outcome) {
    progress.outcome = *part.outcome;
  }
  const TaskRange range = RangeOf(part.part, CountTasks(part.counts));
  std::size_t before = 0;  // Tasks of the steps before.
  for (auto& tasks : progress.steps) {
    const std::size_t first = std::max(range.first, before);
    const std::size_t end = std::min(range.end, before + tasks.size());
    for (std::size_t n = first; n < end; ++n) {
      tasks[n - before] = part.tasks[n - range.first];
    }
    before += tasks.size();
  }
}

void FillMissing(Progress& progress, const Progress& older) {
  if (CountsOf(progress) != CountsOf(older)) {
    return;
  }
  for (std::size_t step = 0; step < progress.steps.size(); ++step) {
    for (std::size_t n = 0; n < progress.steps[step].size(); ++n) {
      TaskProgress& it = progress.steps[step][n];
      if (it == TaskProgress{}) {
        it = older.steps[step][n];
      }
    }
  }
}

namespace detail {

std::string ProgressKey(const JobId& job, int occurrence) {
  return std::string(kProgressPrefix) + job.value + "/" +
         std::to_string(occurrence);
}

std::string PartKey(const JobId& job, int occurrence, int part) {
  return part == 0
             ? ProgressKey(job, occurrence)
             : std::string(kPartPrefix) + job.value + "/" +
                   std::to_string(occurrence) + "/" + std::to_string(part);
}

bool IsProgressKey(std::string_view key) {
  return key.starts_with(kProgressPrefix) || key.starts_with(kPartPrefix);
}

Record DecodeProgressValue(std::string_view key, const json::object& from) {
  const bool later_part = key.starts_with(kPartPrefix);
  key.remove_prefix(kProgressPrefix.size());
  const int part = later_part ? TakeNumber(key) : 0;
  const int occurrence = TakeNumber(key);
  const JobId job{std::string(key)};
  if (later_part || from.contains("part")) {
    ProgressPart to = DecodePart(from, part);
    to.job = job;
    to.occurrence = occurrence;
    return to;
  }
  return OccurrenceProgress{job, occurrence, DecodeWhole(from)};
}

}  // namespace detail

}  // namespace shallotlug::workload
