#include "snapshots.h"

#include "job_table.h"
#include "peers.h"
#include "replies.h"

namespace shallotlug::entry {
namespace {

constexpr std::size_t kJobsPerRound = 1000;
constexpr Millis kRoundInterval{1000};

// Assumed age of records that existed before this entry started: a quarter of
// the retention.
Millis BacklogAge(const State& state) {
  return state.options.log_retention / 4;
}

bool ConfigSnapshotIsDue(State& state) {
  const stream::ConfigFold& fold = state.config;
  if (!fold.complete || fold.folded.revision == 0) {
    return false;
  }
  if (fold.last_snapshot != state.last_config_snapshot) {
    state.last_config_snapshot = fold.last_snapshot;
    state.config_snapshot_at = state.now;
  }
  return state.now - state.config_snapshot_at >=
         state.options.log_retention / 2;
}

void WriteConfigSnapshot(State& state) {
  if (!ConfigSnapshotIsDue(state) || !IsResponsible(state, "config-snapshot")) {
    return;
  }
  // Retries after an eighth of the retention if the snapshot has not been read
  // back.
  state.config_snapshot_at += state.options.log_retention / 8;
  stream::Add(state.config_io.appends,
              {{MakeRecordId(state),
                stream::Format(stream::MakeSnapshot(state.config))},
               state.now + state.options.log_retention / 8});
  Count(state, "shallotlug_entry_snapshots_total", "config");
}

// Offset before which records are half of the retention old.
std::uint64_t OldOffset(State& state) {
  std::deque<OffsetSample>& samples = state.jobs.offsets;
  std::uint64_t offset = 0;
  for (const OffsetSample& it : samples) {
    if (state.now - it.at < state.options.log_retention / 2) {
      break;
    }
    offset = it.offset;
  }
  return offset;
}

bool WriteJobSnapshot(State& state, const JobId& job, JobTrack& track) {
  const stream::JobRow* row = stream::FindJob(state.jobs.fold, job);
  if (row == nullptr ||
      !stream::Add(
          state.job_io.appends,
          {{MakeRecordId(state), stream::Format(stream::JobSnapshot{
                                     *row, state.jobs.fold.next_offset})},
           state.now + state.options.log_retention / 8})) {
    return false;
  }
  track.snapshot_at = state.now;
  Count(state, "shallotlug_entry_snapshots_total", "job");
  return true;
}

void WriteJobSnapshots(State& state) {
  const std::uint64_t old = OldOffset(state);
  if (old == 0 || !IsResponsible(state, "job-snapshots")) {
    return;
  }
  std::size_t written = 0;
  for (auto& [job, track] : state.jobs.tracks) {
    const stream::JobRow* row = stream::FindJob(state.jobs.fold, job);
    const bool due = row != nullptr && row->oldest_offset < old;
    const bool tried =
        track.snapshot_at != TimePoint{} &&
        state.now - track.snapshot_at < state.options.log_retention / 8;
    if (due && !tried && written < kJobsPerRound &&
        WriteJobSnapshot(state, job, track)) {
      ++written;
    }
  }
}

}  // namespace

void WriteSnapshots(State& state) {
  if (state.now < state.next_snapshot_round) {
    return;
  }
  state.next_snapshot_round = state.now + kRoundInterval;
  WriteConfigSnapshot(state);
  WriteJobSnapshots(state);
}

void RecordOffset(State& state) {
  std::deque<OffsetSample>& samples = state.jobs.offsets;
  const Millis interval = state.options.log_retention / 32;
  if (!samples.empty() && state.now - samples.back().at < interval) {
    return;
  }
  const TimePoint at =
      samples.empty() ? state.now - BacklogAge(state) : state.now;
  samples.push_back({at, state.jobs.fold.next_offset});
  while (samples.size() > 1 &&
         state.now - samples[1].at >= state.options.log_retention / 2) {
    samples.pop_front();
  }
}

}  // namespace shallotlug::entry
