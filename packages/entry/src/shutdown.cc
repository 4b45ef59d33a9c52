#include "shutdown.h"

#include "peers.h"
#include "replies.h"

namespace shallotlug::entry {
namespace {

// Appends that remain while the log is unreachable are not waited for: other
// entries recover them from the agents, which keep final updates until
// acknowledged.
bool IsDrained(const StreamIo& io) {
  return stream::Depth(io.appends) == 0 || io.reader.failing;
}

}  // namespace

void BeginShutdown(State& state) {
  if (state.shutting_down) {
    return;
  }
  AnnounceLeaving(state);
  state.shutting_down = true;
  Log(state, LogLevel::kInfo, "shutdown_started", {});
}

bool MayExit(const State& state) {
  if (!state.shutting_down) {
    return false;
  }
  if (!state.options.guards.drain_on_shutdown) {
    return true;
  }
  const bool answered =
      state.requests.empty() && state.pending_changes.empty() &&
      state.jobs.submits.empty() && state.jobs.cancels.empty() &&
      state.refresh.held.empty();
  return answered && IsDrained(state.config_io) && IsDrained(state.job_io) &&
         IsDrained(state.entry_io);
}

}  // namespace shallotlug::entry
