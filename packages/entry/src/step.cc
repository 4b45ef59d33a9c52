#include <type_traits>
#include <utility>
#include <variant>

#include "agents.h"
#include "attempts.h"
#include "burn.h"
#include "cluster_sync.h"
#include "config.h"
#include "live.h"
#include "log.h"
#include "pause.h"
#include "peers.h"
#include "planner.h"
#include "replies.h"
#include "shutdown.h"
#include "snapshots.h"
#include "state.h"
#include "status.h"
#include "submissions.h"

namespace shallotlug::entry {
namespace {

constexpr Millis kHousekeepingInterval{50};

void HandleMessage(State& state, LinkId link, const AgentHello& message) {
  OnAgentHello(state, link, message);
}

void HandleMessage(State& state, LinkId link, const AgentReport& message) {
  OnAgentReport(state, link, message);
}

void HandleMessage(State& state, LinkId link, const RequestOutcome& message) {
  OnRequestOutcome(state, link, message);
}

void HandleMessage(State& state, LinkId link, const JobUpdate& message) {
  OnJobUpdate(state, link, message);
}

void HandleMessage(State& state, LinkId /*link*/, const ConfigUpdate& message) {
  OnConfigUpdate(state, message);
}

// Counts messages that only agents should receive.
template <class Other>
void HandleMessage(State& state, LinkId /*link*/, const Other& /*message*/) {
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
      [&](const auto& message) {
        HandleMessage(state, received.link, message);
      },
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

void OnCall(State& state, CallId id, const api::SubmitJobCall& call) {
  OnSubmitJob(state, id, call);
}

void OnCall(State& state, CallId id, const api::GetJobCall& call) {
  OnGetJob(state, id, call);
}

void OnCall(State& state, CallId id, const api::CancelJobsCall& call) {
  OnCancelJobs(state, id, call);
}

void OnCall(State& state, CallId id, const api::StatusCall& /*call*/) {
  OnStatus(state, id);
}

void OnCall(State& state, CallId id, const api::BurnCall& /*call*/) {
  OnBurn(state, id);
}

void HandleLinks(State& state, const Inbox& inbox) {
  for (const LinkDown& it : inbox.links_down) {
    OnLinkDown(state, it.link);
  }
  for (const LinkUp& it : inbox.links_up) {
    OnLinkUp(state, it);
  }
}

void HandleLogResults(State& state, const Inbox& inbox) {
  for (const stream::LogAppendResult& it : inbox.log_appends) {
    OnLogAppend(state, it);
  }
  for (const stream::LogReadResult& it : inbox.log_reads) {
    OnLogRead(state, it);
  }
}

void DispatchCall(State& state, const IncomingCall& incoming) {
  std::visit([&](const auto& call) { OnCall(state, incoming.id, call); },
             incoming.call);
}

void HandleCalls(State& state, const Inbox& inbox) {
  for (const HeldCall& it : ReleaseHeldCalls(state)) {
    state.call_arrived = it.arrived;
    DispatchCall(state, it.call);
  }
  state.call_arrived = state.now;
  for (const IncomingCall& it : inbox.calls) {
    if (!HoldDuringRefresh(state, it)) {
      DispatchCall(state, it);
    }
  }
  for (const CallId it : inbox.callers_gone) {
    DropHeldCall(state, it);
    OnCallerGone(state, it);
  }
}

void SetGauge(State& state,
              std::string_view name,
              const char* label,
              std::int64_t value) {
  const std::vector<Label> labels = {{"stream", label}};
  state.counters.Set(state.counters.Define(name, labels, CounterKind::kGauge),
                     value);
}

void ExportFoldCounters(State& state) {
  constexpr std::string_view kUnknown = "shallotlug_entry_records_unknown";
  constexpr std::string_view kMalformed = "shallotlug_entry_records_malformed";
  constexpr std::string_view kDepth = "shallotlug_entry_append_queue_depth";
  SetGauge(state, kUnknown, "config", state.config.unknown_kinds);
  SetGauge(state, kUnknown, "jobs", state.jobs.fold.unknown_kinds);
  SetGauge(state, kUnknown, "entries", state.entries.unknown_kinds);
  SetGauge(state, kMalformed, "config", state.config.malformed);
  SetGauge(state, kMalformed, "jobs", state.jobs.fold.malformed);
  SetGauge(state, kMalformed, "entries", state.entries.malformed);
  for (const StreamIo* io :
       {&state.config_io, &state.job_io, &state.entry_io}) {
    SetGauge(state, kDepth, io->reader.stream.c_str(),
             static_cast<std::int64_t>(stream::Depth(io->appends)));
  }
}

// Periodic work over whole tables; too expensive for every input.
void RunHousekeeping(State& state) {
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
  RemoveDeadWorkers(state);
  SyncJobsOfNewWorkers(state);
  MaintainEntries(state);
  RecordFinals(state);
  AnswerAcknowledgedSubmits(state);
  RemoveExpiredAgents(state);
  WriteSnapshots(state);
  ExportFoldCounters(state);
}

}  // namespace

Outbox Step(State& state, const Inbox& inbox, TimePoint now) {
  state.out = Outbox{};
  state.now = now;
  CheckPause(state);
  HandleLinks(state, inbox);
  for (const Received& it : inbox.received) {
    OnReceived(state, it);
  }
  HandleLogResults(state, inbox);
  HandleCalls(state, inbox);
  // Calls that arrive together with the shutdown request are still accepted.
  if (inbox.shutdown_requested) {
    BeginShutdown(state);
  }
  RunHousekeeping(state);
  HandleRequestTimers(state);
  PlanJobs(state);
  RunLogIo(state);
  SendHeartbeats(state);
  state.out.may_exit = MayExit(state);
  state.last_step = now;
  return std::move(state.out);
}

}  // namespace shallotlug::entry
