#include "log.h"

#include <utility>

#include "config.h"
#include "replies.h"

namespace shallotlug::entry {
namespace {

// A read whose result never came is started again after this many time-outs.
constexpr int kLostReadTimeouts = 4;

void NoteReadFailure(State& state, StreamReader& reader) {
  Count(state, "shallotlug_entry_log_read_failures_total", reader.stream);
  reader.due = state.now + state.options.config_poll_interval;
  if (!reader.failing) {
    reader.failing = true;
    Log(state, LogLevel::kWarning, "log_unreadable",
        {{"stream", reader.stream}});
  }
}

void NoteReadSuccess(State& state,
                     StreamReader& reader,
                     const stream::LogReadResult& read) {
  if (reader.failing) {
    Log(state, LogLevel::kInfo, "log_readable", {{"stream", reader.stream}});
  }
  reader.failing = false;
  reader.last_ok = state.now;
  reader.next = std::max(reader.next, read.start);
  if (!read.records.empty()) {
    reader.next = std::max(reader.next, read.records.back().offset + 1);
  }
  const bool at_end = reader.next >= read.end;
  if (at_end) {
    reader.caught_up = true;
    reader.caught_up_at = reader.opened;
  }
  reader.due =
      at_end ? state.now + state.options.config_poll_interval : state.now;
}

void DriveReader(State& state, StreamReader& reader) {
  const bool lost =
      reader.open && state.now - reader.opened >=
                         kLostReadTimeouts * state.options.log_timeout;
  if (lost) {
    reader.open = false;
    NoteReadFailure(state, reader);
  }
  if (reader.open || state.now < reader.due) {
    return;
  }
  reader.open = true;
  reader.opened = state.now;
  state.out.log_reads.push_back({reader.stream, reader.next});
}

void DriveQueue(State& state, stream::AppendQueue& queue) {
  std::optional<stream::LogAppend> append =
      stream::NextAppend(queue, state.next_token, state.now);
  if (append) {
    ++state.next_token;
    state.out.log_appends.push_back(std::move(*append));
  }
}

void HandleNotices(State& state,
                   const std::vector<stream::AppendNotice>& notices) {
  for (const stream::AppendNotice& it : notices) {
    OnChangeNotice(state, it);
  }
}

}  // namespace

void OnLogRead(State& state, const stream::LogReadResult& read) {
  StreamReader& reader = state.config_reader;
  if (read.stream != reader.stream) {
    return;
  }
  reader.open = false;
  if (!read.ok) {
    NoteReadFailure(state, reader);
    return;
  }
  NoteReadSuccess(state, reader, read);
  stream::Apply(state.config, read);
  std::vector<stream::AppendNotice> notices;
  stream::OnReadBack(state.config_appends, read.records,
                     reader.caught_up_at == reader.opened, reader.opened,
                     notices);
  HandleNotices(state, notices);
}

void OnLogAppend(State& state, const stream::LogAppendResult& result) {
  std::vector<stream::AppendNotice> notices;
  stream::OnAppendResult(state.config_appends, result, state.now, notices);
  if (!notices.empty()) {
    state.config_reader.due = state.now;  // Reads the records back at once.
  }
  HandleNotices(state, notices);
}

void DriveLog(State& state) {
  std::vector<stream::AppendNotice> notices;
  stream::Expire(state.config_appends, state.now, notices);
  HandleNotices(state, notices);
  SettleChanges(state);
  DriveQueue(state, state.config_appends);
  DriveReader(state, state.config_reader);
}

bool LogAvailable(const State& state) {
  return state.config_reader.caught_up && !state.config_reader.failing;
}

}  // namespace shallotlug::entry
