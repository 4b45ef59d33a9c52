#include "shallotlug/stream/job_fold.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include <xxhash.h>

namespace shallotlug::stream {
namespace {

void NoteChanged(JobFold& fold, const JobRow& row, bool was_final) {
  fold.changed.push_back(row.spec.id);
  if (was_final || !IsFinal(row.standing)) {
    return;
  }
  fold.final_order.push_back(row.spec.id);
  if (fold.final_order.size() > fold.options.final_limit) {
    fold.rows.erase(fold.final_order.front());
    fold.dropped.push_back(fold.final_order.front());
    fold.final_order.pop_front();
  }
}

void KeepOrphan(JobFold& fold, const JobId& job, const LogRecord& record) {
  const bool start_is_known = fold.first_offset == 0;
  if (start_is_known || fold.orphan_count >= fold.options.orphan_limit) {
    ++fold.ignored;
    return;
  }
  fold.orphans[job].push_back(record);
  ++fold.orphan_count;
}

template <class Change>
void ChangeRow(JobFold& fold,
               const JobId& job,
               const LogRecord& record,
               const Change& change) {
  const auto it = fold.rows.find(job);
  if (it == fold.rows.end()) {
    KeepOrphan(fold, job, record);
    return;
  }
  const bool was_final = IsFinal(it->second.standing);
  if (change(it->second)) {
    NoteChanged(fold, it->second, was_final);
  } else {
    ++fold.ignored;
  }
}

void ApplyRecord(JobFold& fold, const LogRecord& record);

void ApplyOne(JobFold& fold, const LogRecord& it, const JobSubmitted& record) {
  JobRow row;
  row.spec = record.spec;
  row.key = record.key;
  row.oldest_offset = it.offset;
  const auto [place, inserted] =
      fold.rows.try_emplace(record.spec.id, std::move(row));
  if (inserted) {
    fold.changed.push_back(record.spec.id);
  } else {
    ++fold.ignored;  // The same key again.
  }
}

void ApplyOne(JobFold& fold, const LogRecord& it, const JobClaimed& record) {
  ChangeRow(fold, record.attempt.job, it,
            [&](JobRow& row) { return ApplyTo(row, record, it.id); });
}

void ApplyOne(JobFold& fold,
              const LogRecord& it,
              const JobAttemptEnded& record) {
  ChangeRow(fold, record.attempt.job, it,
            [&](JobRow& row) { return ApplyTo(row, record); });
}

void ApplyOne(JobFold& fold, const LogRecord& it, const JobCancelled& record) {
  ChangeRow(fold, record.job, it,
            [&](JobRow& row) { return ApplyTo(row, record); });
}

// Takes a job whose submission was dropped before this fold began, and applies
// the records that its writer had not seen.
void Restore(JobFold& fold, const JobSnapshot& record) {
  const JobId job = record.row.spec.id;
  if (record.folded_to < fold.first_offset) {
    ++fold.ignored;  // Records between the two positions may be missing.
    return;
  }
  fold.rows[job] = record.row;
  fold.rows[job].oldest_offset = record.folded_to;
  fold.changed.push_back(job);
  const auto node = fold.orphans.extract(job);
  if (node.empty()) {
    return;
  }
  fold.orphan_count -= node.mapped().size();
  for (const LogRecord& it : node.mapped()) {
    if (it.offset >= record.folded_to) {
      ApplyRecord(fold, it);
    }
  }
}

void ApplyOne(JobFold& fold,
              const LogRecord& /*it*/,
              const JobSnapshot& record) {
  const auto row = fold.rows.find(record.row.spec.id);
  if (row == fold.rows.end()) {
    Restore(fold, record);
    return;
  }
  // A known job is at least as new as any snapshot of it.
  row->second.oldest_offset =
      std::max(row->second.oldest_offset, record.folded_to);
}

void ApplyOne(JobFold& fold, const LogRecord& /*it*/, const ParseFault& fault) {
  ++(fault == ParseFault::kUnknownKind ? fold.unknown_kinds : fold.malformed);
}

void ApplyRecord(JobFold& fold, const LogRecord& record) {
  std::visit([&](const auto& it) { ApplyOne(fold, record, it); },
             ParseJobRecord(record.data));
}

// Records that were never read have been dropped. Live jobs are written again
// before that, so the fold begins anew with what is left.
void Restart(JobFold& fold, std::uint64_t start) {
  for (const auto& [job, row] : fold.rows) {
    fold.dropped.push_back(job);
  }
  fold.rows.clear();
  fold.orphans.clear();
  fold.orphan_count = 0;
  fold.final_order.clear();
  fold.first_offset = start;
  fold.next_offset = start;
  fold.started = true;
}

void EndAttempt(JobRow& row, JobStanding standing, const std::string& reason) {
  row.standing = standing;
  row.reason = reason;
  row.members.clear();
}

void OnFailed(JobRow& row, const JobAttemptEnded& record) {
  ++row.failures;
  for (const AgentName& it : record.failed_at) {
    if (std::find(row.failed_at.begin(), row.failed_at.end(), it) ==
        row.failed_at.end()) {
      row.failed_at.push_back(it);
    }
  }
  const bool last = record.last || !row.spec.repeatable;
  EndAttempt(row, last ? JobStanding::kFailed : JobStanding::kQueued,
             record.text);
}

}  // namespace

void Apply(JobFold& fold, const LogReadResult& read) {
  if (!read.ok) {
    return;
  }
  if (!fold.started || read.start > fold.next_offset) {
    Restart(fold, read.start);
  }
  for (const LogRecord& it : read.records) {
    if (it.offset >= fold.next_offset) {
      ApplyRecord(fold, it);
      fold.next_offset = it.offset + 1;
    }
  }
}

const JobRow* FindJob(const JobFold& fold, const JobId& job) {
  const auto it = fold.rows.find(job);
  return it == fold.rows.end() ? nullptr : &it->second;
}

bool ApplyTo(JobRow& row, const JobClaimed& record, const std::string& id) {
  // Numbers may skip claims that were lost with an entry during an outage of
  // the log; a queued job has no unresolved claim.
  if (row.standing != JobStanding::kQueued ||
      record.attempt.number <= row.attempt) {
    return false;
  }
  row.standing = JobStanding::kClaimed;
  row.attempt = record.attempt.number;
  row.coordinator = record.coordinator;
  row.members = record.members;
  row.claim_id = id;
  return true;
}

bool ApplyTo(JobRow& row, const JobAttemptEnded& record) {
  if (IsFinal(row.standing)) {
    return false;
  }
  const bool current = row.standing == JobStanding::kClaimed &&
                       row.attempt == record.attempt.number;
  // A repeatable job may have been run twice; the first result counts.
  if (record.end == AttemptEnd::kFinished && (current || row.spec.repeatable)) {
    row.result = record.text;
    row.progress = 1;
    row.attempt = std::max(row.attempt, record.attempt.number);
    EndAttempt(row, JobStanding::kFinished, "");
    return true;
  }
  if (!current) {
    return false;
  }
  switch (record.end) {
    case AttemptEnd::kReleased:
      EndAttempt(row, JobStanding::kQueued, record.text);
      break;
    case AttemptEnd::kAbandoned:
      EndAttempt(row,
                 row.spec.repeatable ? JobStanding::kQueued
                                     : JobStanding::kOutcomeUnknown,
                 record.text);
      break;
    case AttemptEnd::kCheckpointed:
      // A job that must not run twice is not claimed again once it has run.
      EndAttempt(row,
                 row.spec.repeatable ? JobStanding::kQueued
                                     : JobStanding::kOutcomeUnknown,
                 "checkpointed");
      row.checkpoint = record.text;
      row.progress = record.progress;
      break;
    case AttemptEnd::kFailed:
      OnFailed(row, record);
      break;
    case AttemptEnd::kFinished:
      break;
  }
  return true;
}

bool ApplyTo(JobRow& row, const JobCancelled& /*record*/) {
  if (IsFinal(row.standing)) {
    return false;
  }
  // Members are kept: the attempt is stopped by its coordinator.
  row.standing = JobStanding::kCancelled;
  return true;
}

JobId MakeJobId(const CustomerName& customer, const std::string& key) {
  const std::string text = customer.value + '\0' + key;
  std::string id(33, '\0');
  std::snprintf(
      id.data(), id.size(), "%016llx%016llx",
      static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)),
      static_cast<unsigned long long>(XXH64(text.data(), text.size(), 1)));
  id.pop_back();
  return JobId("j" + id);
}

}  // namespace shallotlug::stream
