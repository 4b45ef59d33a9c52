#include "log.h"

#include <algorithm>
#include <utility>

#include "config.h"
#include "job_table.h"
#include "shallotlug/stream/job_record.h"

#include "peers.h"
#include "replies.h"
#include "snapshots.h"

namespace shallotlug::entry {
namespace {

// A read without a result is restarted after this many timeouts.
constexpr int kLostReadTimeouts = 4;

Millis PollInterval(const State& state, const StreamReader& reader) {
  return reader.stream == stream::kJobStream
             ? state.options.job_poll_interval
             : state.options.config_poll_interval;
}

void HandleReadFailure(State& state, StreamReader& reader) {
  Count(state, "shallotlug_entry_log_read_failures_total", reader.stream);
  reader.due = state.now + state.options.config_poll_interval;
  if (!reader.failing) {
    reader.failing = true;
    Log(state, LogLevel::kWarning, "log_unreadable",
        {{"stream", reader.stream}});
  }
}

void HandleReadSuccess(State& state,
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
  if (reader.abandoned_reads > 0) {
    --reader.abandoned_reads;
  } else if (at_end) {
    reader.caught_up = true;
    reader.caught_up_at = reader.opened;
  }
  reader.due = at_end ? state.now + PollInterval(state, reader) : state.now;
}

void StartDueRead(State& state, StreamReader& reader) {
  const bool lost =
      reader.open && state.now - reader.opened >=
                         kLostReadTimeouts * state.options.log_timeout;
  if (lost) {
    reader.open = false;
    ++reader.abandoned_reads;
    HandleReadFailure(state, reader);
  }
  if (reader.open || state.now < reader.due) {
    return;
  }
  reader.open = true;
  reader.opened = state.now;
  state.out.log_reads.push_back({reader.stream, reader.next});
}

void HandleNotices(State& state,
                   const std::vector<stream::AppendNotice>& notices) {
  for (const stream::AppendNotice& it : notices) {
    OnChangeNotice(state, it);
    OnJobNotice(state, it);
  }
}

void RunStreamIo(State& state, StreamIo& io) {
  std::vector<stream::AppendNotice> notices;
  stream::Expire(io.appends, state.now, notices);
  HandleNotices(state, notices);
  std::optional<stream::LogAppend> append =
      stream::NextAppend(io.appends, state.next_token, state.now);
  if (append) {
    ++state.next_token;
    state.out.log_appends.push_back(std::move(*append));
  }
  StartDueRead(state, io.reader);
}

StreamIo* FindStream(State& state, const std::string& name) {
  for (StreamIo* it : {&state.config_io, &state.job_io, &state.entry_io}) {
    if (it->reader.stream == name) {
      return it;
    }
  }
  return nullptr;
}

// Applies a read to the state folded from its stream.
void ApplyRead(State& state,
               const StreamIo& io,
               const stream::LogReadResult& read,
               bool backlog) {
  if (&io == &state.config_io) {
    stream::Apply(state.config, read);
    AnswerPendingChanges(state);
  } else if (&io == &state.job_io) {
    stream::Apply(state.jobs.fold, read);
    OnJobsRead(state, read.records);
    RecordOffset(state);
  } else {
    // A live entry announces itself again within the announce interval.
    const Millis age = backlog ? state.options.announce_expiry -
                                     state.options.announce_interval * 3 / 2
                               : Millis(0);
    stream::Apply(state.entries, read, state.now, age);
    ElectPlanner(state);
  }
}

}  // namespace

void OnLogRead(State& state, const stream::LogReadResult& read) {
  StreamIo* io = FindStream(state, read.stream);
  if (io == nullptr || !io->reader.open) {
    return;
  }
  io->reader.open = false;
  if (!read.ok) {
    HandleReadFailure(state, io->reader);
    return;
  }
  const bool backlog = !io->reader.caught_up;
  HandleReadSuccess(state, io->reader, read);
  std::vector<stream::AppendNotice> notices;
  stream::OnReadBack(io->appends, read.records,
                     io->reader.caught_up_at == io->reader.opened,
                     io->reader.opened, notices);
  HandleNotices(state, notices);
  ApplyRead(state, *io, read, backlog);
}

void OnLogAppend(State& state, const stream::LogAppendResult& result) {
  for (StreamIo* io : {&state.config_io, &state.job_io, &state.entry_io}) {
    std::vector<stream::AppendNotice> notices;
    stream::OnAppendResult(io->appends, result, state.now, notices);
    if (!notices.empty()) {
      io->reader.due = state.now;  // Reads the records back at once.
    }
    HandleNotices(state, notices);
  }
}

void RunLogIo(State& state) {
  AnswerPendingChanges(state);
  for (StreamIo* io : {&state.config_io, &state.job_io, &state.entry_io}) {
    RunStreamIo(state, *io);
  }
}

bool LogAvailable(const State& state) {
  return state.config_io.reader.caught_up && !state.config_io.reader.failing &&
         state.job_io.reader.caught_up && !state.job_io.reader.failing;
}

}  // namespace shallotlug::entry
