#include "backend_tasks.h"
#include "known_requests.h"
#include "links.h"
#include "live_queue.h"
#include "live_requests.h"
#include "reports.h"
#include "state.h"
#include "throttling.h"

namespace shallotlug::agent {
namespace {

/// @brief Handles one message; unexpected kinds are counted.
struct MessageHandler {
  State& state;
  LinkId link;
  TimePoint now;
  Outbox& out;

  void operator()(const EntryHello& message) const {
    LearnEntries(state, message.known_entries, now);
    OnEntryIdentity(state, link, message.entry, now, out);
  }
  void operator()(const EntryHeartbeat& message) const {
    LearnEntries(state, message.known_entries, now);
  }
  void operator()(const StartRequest& message) const {
    OnStartRequest(state, link, message, now, out);
  }
  void operator()(const ResolveRequest& message) const {
    OnResolveRequest(state, link, message, now, out);
  }
  template <class Other>
  void operator()(const Other&) const {
    state.counters.AddTo("shallotlug_agent_unexpected_messages_total");
  }
};

void HandleLinks(State& state, const Inbox& inbox, TimePoint now, Outbox& out) {
  for (const LinkUp& event : inbox.links_up) {
    OnLinkUp(state, event, now, out);
  }
  for (const Received& it : inbox.received) {
    if (NoteReceived(state, it.link, now)) {
      std::visit(MessageHandler{state, it.link, now, out}, it.message);
    }
  }
  for (const LinkDown& event : inbox.links_down) {
    OnLinkDown(state, event, out);
  }
}

void HandleBackend(State& state,
                   const Inbox& inbox,
                   TimePoint now,
                   Outbox& out) {
  for (const BackendReport& report : inbox.backend_reports) {
    OnBackendReport(state, report, now, out);
  }
  if (inbox.backend_unreachable) {
    OnBackendUnreachable(state, out);
  }
}

}  // namespace

void StateDeleter::operator()(State* state) const {
  delete state;
}

StatePtr MakeState(const Options& options, TimePoint now) {
  StatePtr state(new State);
  state->options = options;
  state->last_step = now;
  AddSeeds(*state);
  return state;
}

Outbox Step(State& state, const Inbox& inbox, TimePoint now) {
  Outbox out;
  state.shutdown |= inbox.shutdown_requested;
  HandleBackend(state, inbox, now, out);
  HandleLinks(state, inbox, now, out);
  ForgetExpired(state, now, out);
  StartQueuedRequests(state, now, out);
  ResumeThrottledTasks(state, out);
  RenewLeases(state, now, out);
  CloseSilentLinks(state, now, out);
  DialDueTargets(state, now, out);
  SendDueReports(state, now, out);
  state.last_step = now;
  return out;
}

CounterTable& Counters(State& state) {
  return state.counters;
}

const Targets& CurrentTargets(const State& state) {
  return state.targets;
}

}  // namespace shallotlug::agent
