#include "batch.h"

#include <algorithm>
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
constexpr Millis kBacklogLogInterval{1'000};
// A record that the store has refused for good is sent again after this time.
constexpr Millis kRefusedRetry{10'000};

std::size_t LargestAppend(const State& state) {
  const std::size_t limit = state.options.store.request_bytes;
  return std::min(kUsualAppendBytes, limit - std::min(limit / 2, kClaimBytes));
}

bool IsHeldBack(const OccurrenceRow& row, TimePoint now) {
  return now < row.refused_until;
}

/// @brief Adds the progress of the occurrence, and its planned runs.
bool AddProgress(State& state, Batch& batch, const OccurrenceKey& key) {
  const OccurrenceRow& row = state.occurrences.at(key);
  RawRecord record = workload::Encode(
      workload::OccurrenceProgress{key.job, key.number, row.progress});
  const std::string name = record.key;
  if (!AddRecords(state, batch, {std::move(record)})) {
    return false;
  }
  batch.occurrences.emplace(name, key);
  for (const auto& [task, run] : state.runs.OfOccurrence(key.job, key.number)) {
    if (run.state == RunState::kPlanned) {
      batch.runs.push_back(task);
    }
  }
  return true;
}

/// @brief Adds the progress of these occurrences until the batch is full.
/// @return Whether there was room for all.
bool AddProgressOf(State& state,
                   Batch& batch,
                   const std::set<OccurrenceKey>& keys) {
  // `keys` may be a table of the state, which loses those that were added.
  for (auto it = keys.begin(); it != keys.end();) {
    const OccurrenceKey key = *it++;
    if (IsHeldBack(state.occurrences.at(key), batch.planned_at)) {
      continue;
    }
    if (!AddProgress(state, batch, key)) {
      return false;
    }
    state.unrecorded.erase(key);
    state.awaited.erase(key);
  }
  return true;
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
  if (!batch.records.empty() && batch.bytes + bytes > LargestAppend(state)) {
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
  const bool has_room = AddProgressOf(state, batch, state.awaited);
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
