#include "batch.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace shallotlug::scheduler {

using joblog::AppendedBytes;
using workload::RawRecord;
using workload::TaskRef;

namespace {

// A larger append takes the store so long that urgent records would wait for
// it.
constexpr std::size_t kUsualAppendBytes = 512UL * 1024;
// Room for the claim that may be added to a batch.
constexpr std::size_t kClaimBytes = 1'024;
// A batch counts as full when it has had no room for so many occurrences.
constexpr int kLeftOutUntilFull = 4;
constexpr Millis kBacklogLogInterval{1'000};
// A record that the store has refused for good is sent again after this time.
constexpr Millis kRefusedRetry{10'000};

/// @brief Bytes that the store accepts beside a claim.
std::size_t LargestAppend(const State& state) {
  const std::size_t limit = state.options.store.request_bytes;
  return limit - std::min(limit / 2, kClaimBytes);
}

bool IsHeldBack(const OccurrenceRow& row, TimePoint now) {
  return now < row.refused_until;
}

/// @brief Of the parts of an occurrence those that were not planned before as
/// they are now. A whole record always counts as changed.
std::vector<RawRecord> ChangedRecords(const OccurrenceRow& row,
                                      workload::EncodedProgress encoded) {
  if (encoded.in_parts) {
    std::erase_if(encoded.records, [&](const RawRecord& it) {
      const auto planned = row.planned_parts.find(it.key);
      return planned != row.planned_parts.end() &&
             planned->second == std::hash<std::string>{}(it.value);
    });
  }
  return std::move(encoded.records);
}

void NoteEncoding(State& state,
                  const OccurrenceKey& key,
                  OccurrenceRow& row,
                  const workload::EncodedProgress& encoded) {
  if (encoded.in_parts && !std::exchange(row.progress.in_parts, true)) {
    Log(state, "progress_in_parts",
        {{"job", key.job.value},
         {"occurrence", std::to_string(key.number)},
         {"parts", std::to_string(encoded.records.size())}});
  }
  const bool left_out = encoded.parts_without_checkpoints > 0;
  if (left_out && !std::exchange(row.checkpoints_left_out, true)) {
    Log(state, "checkpoints_not_recorded",
        {{"job", key.job.value},
         {"occurrence", std::to_string(key.number)},
         {"parts", std::to_string(encoded.parts_without_checkpoints)}});
  }
}

void NotePlanned(Batch& batch,
                 const OccurrenceKey& key,
                 OccurrenceRow& row,
                 const std::vector<RawRecord>& records) {
  for (const RawRecord& it : records) {
    batch.occurrences.emplace(it.key, key);
    if (row.progress.in_parts) {
      row.planned_parts[it.key] = std::hash<std::string>{}(it.value);
    }
  }
}

/// @brief Fills an empty batch with some of the records, which together are
/// larger than the store accepts. Each part is true by itself; what the
/// occurrence waits for waits until all are recorded.
void AddSome(const State& state,
             Batch& batch,
             const OccurrenceKey& key,
             OccurrenceRow& row,
             const std::vector<RawRecord>& records) {
  for (const RawRecord& it : records) {
    if (!AddRecords(state, batch, {it})) {
      return;
    }
    NotePlanned(batch, key, row, {it});
  }
}

/// @brief Adds the progress of the occurrence, and its planned runs.
/// @return Whether all of it is in the batch.
bool AddProgress(State& state, Batch& batch, const OccurrenceKey& key) {
  OccurrenceRow& row = state.occurrences.at(key);
  workload::EncodedProgress encoded = workload::EncodeProgress(
      {key.job, key.number, row.progress}, state.options.store.record_bytes);
  NoteEncoding(state, key, row, encoded);
  const std::vector<RawRecord> records =
      ChangedRecords(row, std::move(encoded));
  const bool first = batch.records.empty();
  if (!AddRecords(state, batch, records)) {
    if (first) {
      AddSome(state, batch, key, row, records);
    } else if (!state.record_first) {
      state.record_first = key;
    }
    return false;
  }
  NotePlanned(batch, key, row, records);
  for (const auto& [task, run] : state.runs.OfOccurrence(key.job, key.number)) {
    if (run.state == RunState::kPlanned) {
      batch.runs.push_back(task);
    }
  }
  return true;
}

/// @brief As AddProgress(), if the occurrence is not held back; notes what is
/// recorded by the batch.
bool AddIfUnrecorded(State& state, Batch& batch, const OccurrenceKey& key) {
  if (!state.unrecorded.contains(key) ||
      IsHeldBack(state.occurrences.at(key), batch.planned_at)) {
    return true;
  }
  if (!AddProgress(state, batch, key)) {
    return false;
  }
  state.unrecorded.erase(key);
  state.awaited.erase(key);
  return true;
}

/// @brief Adds the progress of these occurrences until the batch is full. One
/// that has no room does not keep out smaller ones behind it.
/// @return Whether there was room for all.
bool AddProgressOf(State& state,
                   Batch& batch,
                   const std::set<OccurrenceKey>& keys) {
  int left_out = 0;
  // `keys` may be a table of the state, which loses those that were added.
  for (auto it = keys.begin();
       it != keys.end() && left_out < kLeftOutUntilFull;) {
    const OccurrenceKey key = *it++;
    left_out += AddIfUnrecorded(state, batch, key) ? 0 : 1;
  }
  return left_out == 0;
}

/// @brief Whether all records that the agent's reports have changed are durable
/// or in the batch.
bool IsRecorded(const State& state, const AgentRow& agent) {
  return std::none_of(
      agent.awaited.begin(), agent.awaited.end(),
      [&](const auto& it) { return state.unrecorded.contains(it); });
}

void AddNote(State& state, Batch& batch, AgentRow& agent) {
  const AgentName& name = agent.address.agent;
  BatchNote& note = batch.notes[name];
  if (state.unnoted.erase(name) > 0) {
    note.ends = {agent.worker.life, agent.processed_ends, batch.planned_at};
  }
  if (state.unsettled.erase(name) > 0) {
    note.settled = std::exchange(agent.unsettled, {});
  }
  note.awaited = std::exchange(agent.awaited, {});
}

void AddNotes(State& state, Batch& batch) {
  std::set<AgentName> names = state.unnoted;
  names.insert(state.unsettled.begin(), state.unsettled.end());
  for (const AgentName& it : names) {
    const auto agent = state.agents.find(it);
    if (agent == state.agents.end()) {
      state.unnoted.erase(it);
      state.unsettled.erase(it);
    } else if (IsRecorded(state, agent->second)) {
      AddNote(state, batch, agent->second);
    }
  }
}

void LogBacklog(State& state, const Batch& batch) {
  if (state.unrecorded.empty() ||
      batch.planned_at - state.backlog_logged_at < kBacklogLogInterval) {
    return;
  }
  state.backlog_logged_at = batch.planned_at;
  Log(state, "records_waiting",
      {{"in_batch", std::to_string(batch.records.size())},
       {"bytes", std::to_string(batch.bytes)},
       {"waiting", std::to_string(state.unrecorded.size())},
       {"awaited", std::to_string(state.awaited.size())}});
}

/// @brief The occurrences of the refused records; they wait from now on.
std::set<OccurrenceKey> HoldBack(State& state,
                                 const Batch& batch,
                                 const std::set<std::string>& refused) {
  std::set<OccurrenceKey> held;
  for (const std::string& it : refused) {
    const auto key = batch.occurrences.find(it);
    const auto row = key == batch.occurrences.end()
                         ? state.occurrences.end()
                         : state.occurrences.find(key->second);
    if (row != state.occurrences.end()) {
      row->second.refused_until = batch.planned_at + kRefusedRetry;
      row->second.planned_parts.clear();
      MarkUnrecorded(state, key->second);
      held.insert(key->second);
    }
  }
  return held;
}

void OrderRuns(State& state,
               const Batch& batch,
               const std::set<OccurrenceKey>& held) {
  for (const TaskRef& it : batch.runs) {
    RunRow* run = state.runs.Find(it);
    if (run == nullptr || run->state != RunState::kPlanned) {
      continue;
    }
    if (held.contains(KeyOf(it))) {
      AbandonRun(state, it, "record_refused", batch.planned_at);
    } else {
      run->state = RunState::kOrdered;
      state.news.insert(run->on.agent);
    }
  }
}

/// @brief The note waits for the records again.
void ReturnNote(State& state, AgentRow& agent, const BatchNote& note) {
  const AgentName& name = agent.address.agent;
  agent.awaited.insert(note.awaited.begin(), note.awaited.end());
  if (note.ends) {
    state.unnoted.insert(name);
  }
  if (!note.settled.empty()) {
    agent.unsettled.insert(note.settled.begin(), note.settled.end());
    state.unsettled.insert(name);
  }
}

void TellAgent(State& state, AgentRow& agent, const BatchNote& note) {
  agent.settled.insert(agent.settled.end(), note.settled.begin(),
                       note.settled.end());
  // A worker that has restarted since then numbers its ends from 1 again.
  if (note.ends && agent.worker.life == note.ends->life) {
    if (agent.noted_ends == agent.noted_sent) {
      agent.noted_at = note.ends->planned_at;
    }
    agent.noted_ends = std::max(agent.noted_ends, note.ends->number);
  }
  state.news.insert(agent.address.agent);
}

}  // namespace

bool AddRecords(const State& state,
                Batch& batch,
                std::vector<RawRecord> records) {
  const std::size_t bytes = AppendedBytes(records);
  const bool first = batch.records.empty();
  const std::size_t largest = LargestAppend(state);
  const std::size_t limit =
      first ? largest : std::min(largest, kUsualAppendBytes);
  const bool alone = first && records.size() == 1;
  if (!alone && batch.bytes + bytes > limit) {
    return false;
  }
  batch.bytes += bytes;
  batch.records.insert(batch.records.end(),
                       std::make_move_iterator(records.begin()),
                       std::make_move_iterator(records.end()));
  return true;
}

Batch PlanBatch(State& state, TimePoint now) {
  Batch batch;
  batch.planned_at = now;
  std::erase_if(state.awaited,
                [&](const auto& it) { return !state.unrecorded.contains(it); });
  // One that fills the whole batch goes first only in each second one.
  const auto first = std::exchange(state.record_first, std::nullopt);
  const bool has_room = (!first || AddIfUnrecorded(state, batch, *first)) &&
                        AddProgressOf(state, batch, state.awaited);
  if (CleanupIsDue(state, now)) {
    DropOldJobs(state, batch, now);
    DropLostAgents(state, batch, now);
  }
  if (has_room) {
    AddProgressOf(state, batch, state.unrecorded);
  }
  AddNotes(state, batch);
  LogBacklog(state, batch);
  return batch;
}

void CommitBatch(State& state,
                 Batch batch,
                 const std::set<std::string>& refused) {
  const std::set<OccurrenceKey> held = HoldBack(state, batch, refused);
  OrderRuns(state, batch, held);
  for (const auto& [name, note] : batch.notes) {
    const auto agent = state.agents.find(name);
    if (agent == state.agents.end()) {
      continue;
    }
    const bool waits =
        std::any_of(note.awaited.begin(), note.awaited.end(),
                    [&](const auto& it) { return held.contains(it); });
    if (waits) {
      ReturnNote(state, agent->second, note);
    } else {
      TellAgent(state, agent->second, note);
    }
  }
}

}  // namespace shallotlug::scheduler
