#include "attempts.h"
#include "backend_tasks.h"
#include "config.h"
#include "gang_messages.h"
#include "job_rounds.h"
#include "job_stop.h"
#include "job_updates.h"
#include "jobs.h"
#include "known_requests.h"
#include "leaving.h"
#include "links.h"
#include "live_queue.h"
#include "live_requests.h"
#include "member.h"
#include "pause.h"
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
    AddEntryTargets(state, message.known_entries, now);
    OnEntryIdentity(state, link, message.entry, now, out);
    OnEntryRevision(state, link, message.config_revision, out);
  }
  void operator()(const EntryHeartbeat& message) const {
    AddEntryTargets(state, message.known_entries, now);
    OnEntryRevision(state, link, message.config_revision, out);
  }
  void operator()(const StartRequest& message) const {
    OnStartRequest(state, link, message, now, out);
  }
  void operator()(const ResolveRequest& message) const {
    OnResolveRequest(state, link, message, now, out);
  }
  void operator()(const ConfigUpdate& message) const {
    OnConfigUpdate(state, message, out);
  }
  void operator()(const ProposeJob& message) const {
    OnProposeJob(state, message, now, out);
  }
  void operator()(const StopJob& message) const {
    SupersedeLowerAttempts(state, message.attempt, now, out);
    StopAttempt(state, message.attempt, message.reason, now, out);
  }
  void operator()(const JobUpdateAck& message) const {
    OnJobUpdateAck(state, message);
  }
  void operator()(const PeerHello&) const {}
  void operator()(const Reserve& message) const {
    OnReserve(state, link, message, now, out);
  }
  void operator()(const Renew& message) const {
    OnRenew(state, link, message, now, out);
  }
  void operator()(const Release& message) const {
    OnRelease(state, link, message, now, out);
  }
  void operator()(const MemberStatus& message) const {
    OnMemberStatus(state, message, now);
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
    if (RecordReceived(state, it.link, now)) {
      std::visit(MessageHandler{state, it.link, now, out}, it.message);
    }
  }
  for (const LinkDown& event : inbox.links_down) {
    OnLinkDown(state, event, out);
  }
}

void DeliverLocal(State& state, TimePoint now, Outbox& out) {
  while (!state.gangs.local.empty()) {
    const Message message = std::move(state.gangs.local.front());
    state.gangs.local.pop_front();
    std::visit(MessageHandler{state, kLocalLink, now, out}, message);
  }
}

// Coordinators and members of this agent answer each other within one step.
// Each pass moves an attempt on by at least one stage, so that the number of
// passes is bounded.
void RunGangs(State& state, TimePoint now, Outbox& out) {
  do {
    DeliverLocal(state, now, out);
    AdvanceMembers(state, now, out);
    AdvanceJobs(state, now, out);
  } while (!state.gangs.local.empty());
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
  CheckPause(state, now, out);
  HandleBackend(state, inbox, now, out);
  HandleLinks(state, inbox, now, out);
  AnnounceLeaving(state, now, out);
  ExpireLeases(state, now, out);
  RunGangs(state, now, out);
  EraseExpiredRequests(state, now, out);
  StartQueuedRequests(state, now, out);
  ResumeThrottledTasks(state, out);
  RenewLeases(state, now, out);
  SendDueJobUpdates(state, now, out);
  RequestMemberLinks(state, now);
  CloseSilentLinks(state, now, out);
  DialDueTargets(state, now, out);
  SendDueReports(state, now, out);
  out.may_exit = MayExit(state, now);
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
