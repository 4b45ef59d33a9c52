#include "shallotlug/workload/ledger.h"

#include <algorithm>

namespace shallotlug::workload {
namespace {

void ApplyRecord(Ledger& ledger, JobAccepted record) {
  JobEntry& entry = ledger.jobs[record.job.id];
  // A repeated submission has no effect.
  if (!entry.job) {
    ledger.early_cancels.erase(record.job.id);
    entry.job = std::move(record.job);
  }
}

void ApplyRecord(Ledger& ledger, const JobCancelled& record) {
  JobEntry& entry = ledger.jobs[record.job];
  entry.cancelled = true;
  if (!entry.job) {
    ledger.early_cancels[record.job] = record.stated_at;
  }
}

// A whole record is older than the parts of its occurrence.
void ApplyRecord(Ledger& ledger, OccurrenceProgress record) {
  Progress& progress = ledger.jobs[record.job].occurrences[record.occurrence];
  if (progress.in_parts) {
    FillMissing(progress, record.progress);
  } else {
    progress = std::move(record.progress);
  }
}

void ApplyRecord(Ledger& ledger, const ProgressPart& record) {
  ApplyPart(ledger.jobs[record.job].occurrences[record.occurrence], record);
}

void ApplyRecord(Ledger& ledger, const SchedulerClaim& record) {
  ledger.claim = record;
}

void ApplyRecord(Ledger& ledger, const AgentAddress& record) {
  ledger.agents[record.agent] = record;
}

void ApplyRecord(Ledger& ledger, const EntryAddress& record) {
  ledger.entries[record.entry] = record;
}

void ApplyRecord(Ledger& ledger, const RecordDropped& record) {
  if (record.job) {
    ledger.jobs.erase(*record.job);
    ledger.early_cancels.erase(*record.job);
  }
  // A job that was stored meanwhile stays cancelled.
  if (record.cancelled_job &&
      ledger.early_cancels.erase(*record.cancelled_job) > 0) {
    ledger.jobs.erase(*record.cancelled_job);
  }
  if (record.agent) {
    ledger.agents.erase(*record.agent);
  }
  if (record.entry) {
    ledger.entries.erase(*record.entry);
  }
}

bool HasJob(const JobEntry& entry) {
  return entry.job.has_value();
}

JobState FinalState(const JobEntry& entry) {
  JobState state = JobState::kCompleted;
  for (const auto& [n, progress] : entry.occurrences) {
    if (progress.outcome == Outcome::kCancelled) {
      return JobState::kCancelled;
    }
    if (progress.outcome == Outcome::kFailed) {
      state = JobState::kFailed;
    }
  }
  return state;
}

bool AllOccurrencesEnded(const JobEntry& entry) {
  return static_cast<int>(entry.occurrences.size()) >=
             Occurrences(*entry.job) &&
         std::all_of(entry.occurrences.begin(), entry.occurrences.end(),
                     [](const auto& it) {
                       return it.second.outcome != Outcome::kOpen;
                     });
}

JobState StateOf(const JobEntry& entry) {
  if (AllOccurrencesEnded(entry)) {
    return FinalState(entry);
  }
  if (entry.cancelled) {
    return JobState::kCancelled;
  }
  const bool started =
      std::any_of(entry.occurrences.begin(), entry.occurrences.end(),
                  [](const auto& it) { return HasStarted(it.second); });
  return started ? JobState::kInProgress : JobState::kQueued;
}

}  // namespace

const char* Name(JobState state) {
  switch (state) {
    case JobState::kQueued:
      return "queued";
    case JobState::kInProgress:
      return "in_progress";
    case JobState::kCompleted:
      return "completed";
    case JobState::kFailed:
      return "failed";
    case JobState::kCancelled:
      return "cancelled";
  }
  return "queued";
}

Applied Apply(Ledger& ledger,
              const std::string& key,
              std::string_view value,
              std::uint64_t offset) {
  const auto newest = ledger.offsets.find(key);
  if (newest != ledger.offsets.end() && offset <= newest->second) {
    return Applied::kOutdated;
  }
  std::optional<Record> record = Decode(key, value);
  if (!record) {
    ++ledger.skipped;
    return Applied::kMalformed;
  }
  std::visit([&](auto& it) { ApplyRecord(ledger, std::move(it)); }, *record);
  if (value.empty()) {
    ledger.offsets.erase(key);
  } else {
    ledger.offsets[key] = offset;
  }
  return Applied::kYes;
}

std::optional<JobState> StateOf(const Ledger& ledger, const JobId& job) {
  const auto it = ledger.jobs.find(job);
  if (it == ledger.jobs.end() || !HasJob(it->second)) {
    return std::nullopt;
  }
  return StateOf(it->second);
}

bool IsCancelledEarly(const Ledger& ledger, const JobId& job) {
  return ledger.early_cancels.contains(job);
}

std::size_t CountEarlyCancels(const Ledger& ledger, WallTime now) {
  return static_cast<std::size_t>(std::count_if(
      ledger.early_cancels.begin(), ledger.early_cancels.end(),
      [&](const auto& it) { return now - it.second < kEarlyCancelRetention; }));
}

std::int64_t PendingJobs(const Ledger& ledger, std::string_view queue) {
  return std::count_if(
      ledger.jobs.begin(), ledger.jobs.end(), [&](const auto& it) {
        return HasJob(it.second) && it.second.job->queue == queue &&
               StateOf(it.second) == JobState::kQueued;
      });
}

}  // namespace shallotlug::workload
