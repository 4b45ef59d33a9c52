#include <type_traits>
#include <utility>
#include <variant>

#include "agents.h"
#include "config.h"
#include "live.h"
#include "log.h"
#include "replies.h"
#include "state.h"

namespace shallotlug::entry {
namespace {

constexpr Millis kHousekeepingInterval{50};

void Handle(State& state, LinkId link, const AgentHello& message) {
  OnAgentHello(state, link, message);
}

void Handle(State& state, LinkId link, const AgentReport& message) {
  OnAgentReport(state, link, message);
}

void Handle(State& state, LinkId link, const RequestOutcome& message) {
  OnRequestOutcome(state, link, message);
}

void Handle(State& state, LinkId /*link*/, const ConfigUpdate& message) {
  OnConfigUpdate(state, message);
}

// Messages that only agents receive.
template <class Other>
void Handle(State& state, LinkId /*link*/, const Other& /*message*/) {
  Count(state, "shallotlug_entry_unexpected_messages_total");
}

void OnReceived(State& state, const Received& received) {
  const auto it = state.links.find(received.link);
  if (it == state.links.end()) {
    return;  // The link was closed earlier in this step.
  }
  it->second.last_heard = state.now;
  if (Agent* agent = AgentOfLink(state, received.link)) {
    agent->last_heard = state.now;
  }
  std::visit(
      [&](const auto& message) { Handle(state, received.link, message); },
      received.message);
}

void OnCall(State& state, CallId id, const api::MintCall& call) {
  OnMint(state, id, call);
}

void OnCall(State& state, CallId id, const api::SendCall& call) {
  OnSend(state, id, call);
}

void OnCall(State& state, CallId id, const api::OneShotCall& call) {
  OnOneShot(state, id, call);
}

void OnCall(State& state, CallId id, const api::ResolveCall& call) {
  OnResolve(state, id, call);
}

void OnCall(State& state, CallId id, const api::SetTargetCall& call) {
  OnSetTarget(state, id, call);
}

void OnCall(State& state, CallId id, const api::GetTargetsCall& call) {
  OnGetTargets(state, id, call);
}

void OnCall(State& state, CallId id, const api::HistoryCall& call) {
  OnHistory(state, id, call);
}

void OnCall(State& state, CallId id, const api::GetChangeCall& call) {
  OnGetChange(state, id, call);
}

template <class Other>
void OnCall(State& state, CallId id, const Other& /*call*/) {
  ReplyError(state, id, api::ErrorCode::kNotFound, "not_available",
             "this call is not available");
}

void TakeLinks(State& state, const Inbox& inbox) {
  for (const LinkDown& it : inbox.links_down) {
    OnLinkDown(state, it.link);
  }
  for (const LinkUp& it : inbox.links_up) {
    OnLinkUp(state, it);
  }
}

void TakeLog(State& state, const Inbox& inbox) {
  for (const stream::LogAppendResult& it : inbox.log_appends) {
    OnLogAppend(state, it);
  }
  for (const stream::LogReadResult& it : inbox.log_reads) {
    OnLogRead(state, it);
  }
}

void TakeCalls(State& state, const Inbox& inbox) {
  for (const IncomingCall& it : inbox.calls) {
    std::visit([&](const auto& call) { OnCall(state, it.id, call); }, it.call);
  }
  for (const CallId it : inbox.callers_gone) {
    OnCallerGone(state, it);
  }
}

// Work over whole tables, which is not repeated for every input.
void KeepHouse(State& state) {
  const bool due = state.now >= state.next_housekeeping;
  const bool newer =
      stream::Current(state.config).revision != state.config_pushed;
  if (due || newer) {
    PushConfig(state);
  }
  if (!due) {
    return;
  }
  state.next_housekeeping = state.now + kHousekeepingInterval;
  CloseSilentLinks(state);
  decision::UpdateHealth(state.health, state.now);
}

}  // namespace

Outbox Step(State& state, const Inbox& inbox, TimePoint now) {
  state.out = Outbox{};
  state.now = now;
  TakeLinks(state, inbox);
  for (const Received& it : inbox.received) {
    OnReceived(state, it);
  }
  TakeLog(state, inbox);
  TakeCalls(state, inbox);
  KeepHouse(state);
  HandleRequestTimers(state);
  DriveLog(state);
  SendHeartbeats(state);
  state.last_step = now;
  return std::move(state.out);
}

}  // namespace shallotlug::entry
