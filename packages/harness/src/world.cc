#include "shallotlug/harness/world.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "configuration_check.h"
#include "processes.h"

namespace shallotlug::harness {
namespace {

constexpr Millis kTick{10};
constexpr Millis kStepInterval{50};
constexpr Millis kCommandDelay{2};
constexpr int kMaxDriftPpm = 10'000;

ClockModel RandomClock(Random& random) {
  return {Millis(1'000'000 + random.Below(1'000'000'000)),
          random.Below(2 * kMaxDriftPpm + 1) - kMaxDriftPpm};
}

std::string Padded(const char* prefix, int index) {
  char text[32];
  std::snprintf(text, sizeof(text), "%s-%03d", prefix, index);
  return text;
}

}  // namespace

World::World(const WorldOptions& options)
    : options_(options),
      random_(options.seed),
      clock_random_(options.seed + 3),
      network_(options.seed + 1),
      log_(options.seed + 2),
      configuration_check_(std::make_unique<ConfigurationCheck>()) {
  log_.SetRetention(options.log_retention);
  network_.tamper = [this](const ProcessRef&, Message& message) {
    Tamper(message);
  };
  for (int index = 1; index <= options.entries; ++index) {
    auto entry = std::make_unique<Entry>();
    entry->ref = {Role::kEntry, index};
    entry->clock = RandomClock(random_);
    entry->options.self.name = EntryName(Padded("entry", index));
    entry->options.data_centre = DataCentreName("dc-1");
    entry->options.peer_address = PeerAddress(entry->ref);
    entry->options.operator_address =
        "127.3.0." + std::to_string(index) + ":7001";
    entry->options.log_retention = options.log_retention;
    entry->options.guards = options.entry_guards;
    StartEntry(*entry);
    entries_.push_back(std::move(entry));
  }
  for (int index = 1; index <= options.agents; ++index) {
    auto agent = std::make_unique<Agent>();
    agent->ref = {Role::kAgent, index};
    agent->clock = RandomClock(random_);
    agent->options.self.name = AgentName(Padded("agent", index));
    agent->options.inventory.data_centre = DataCentreName("dc-1");
    agent->options.inventory.region = "region-1";
    agent->options.inventory.rack = RackName(
        Padded("rack", 1 + (index - 1) * options.racks / options.agents));
    agent->options.peer_address = PeerAddress(agent->ref);
    agent->options.entry_seeds = {kBalancerAddress};
    agent->options.guards = options.agent_guards;
    agent->worker = std::make_unique<FakeWorker>(index, RandomClock(random_),
                                                 random_.Next(), oracle_);
    StartAgent(*agent);
    agents_.push_back(std::move(agent));
  }
}

World::~World() = default;

FakeWorker& World::worker(int agent) {
  return *agents_.at(static_cast<std::size_t>(agent - 1))->worker;
}

void World::Tamper(Message& message) {
  if (auto* propose = std::get_if<ProposeJob>(&message)) {
    propose->spec.body = Stamp(
        propose->spec.body, propose->attempt.number,
        propose->members.empty() ? AgentRef{} : propose->members.front().agent);
  } else if (auto* reserve = std::get_if<Reserve>(&message)) {
    reserve->spec.body = Stamp(reserve->spec.body, reserve->attempt.number,
                               reserve->coordinator);
  } else if (auto* report = std::get_if<AgentReport>(&message)) {
    for (RunningAttempt& attempt : report->attempts) {
      attempt.spec.body = RemoveStamp(attempt.spec.body).body;
    }
  }
  auto* outcome = std::get_if<RequestOutcome>(&message);
  if (outcome != nullptr && now_ < damaged_until_ &&
      random_.Chance(damaged_percent_)) {
    outcome->answer.resize(outcome->answer.size() / 2);
  }
}

void World::Trace(const std::string& subject, const std::string& what) const {
  if (options_.trace != nullptr) {
    *options_.trace << now_.count() << " ms " << subject << ": " << what
                    << "\n";
  }
}

void World::Trace(const ProcessRef& process,
                  const std::vector<LogLine>& lines) const {
  if (options_.trace == nullptr) {
    return;
  }
  for (const LogLine& line : lines) {
    std::string text = line.event;
    for (const Label& field : line.fields) {
      text += " " + field.name + "=" + field.value;
    }
    Trace(ToString(process), text);
  }
}

void World::TraceCommand(const ProcessRef& process,
                         const agent::BackendCommand& command) const {
  if (const auto* start = std::get_if<agent::StartTask>(&command)) {
    Trace(ToString(process), "start " + start->task.value + " accelerators " +
                                 std::to_string(start->accelerators) + " " +
                                 start->body);
  } else if (const auto* it = std::get_if<agent::ControlTask>(&command)) {
    constexpr const char* kActions[] = {"checkpoint", "throttle", "resume",
                                        "stop"};
    Trace(ToString(process),
          std::string(kActions[static_cast<std::size_t>(it->action)]) + " " +
              it->task.value);
  }
}

void World::StepAgent(Agent& agent) {
  agent::Inbox inbox;
  Arrivals arrivals = network_.Take(agent.ref);
  inbox.links_up = std::move(arrivals.links_up);
  inbox.links_down = std::move(arrivals.links_down);
  inbox.received = std::move(arrivals.received);
  while (!agent.reports.empty() && agent.reports.front().first <= now_) {
    inbox.backend_reports.push_back(std::move(agent.reports.front().second));
    agent.reports.pop_front();
  }
  inbox.shutdown_requested = agent.shutdown_due;
  agent.last_step = now_;
  agent::Outbox outbox =
      agent::Step(*agent.state, inbox, TimePoint(agent.clock.Read(now_)));
  Trace(agent.ref, outbox.log_lines);
  for (const Dial& dial : outbox.dials) {
    network_.DialFrom(now_, agent.ref, dial);
  }
  for (const shallotlug::Send& send : outbox.sends) {
    network_.SendFrom(now_, agent.ref, send);
  }
  for (const CloseLink& close : outbox.closes) {
    network_.CloseFrom(now_, agent.ref, close.link);
  }
  for (agent::AddressedCommand& it : outbox.backend_commands) {
    TraceCommand(agent.ref, it.command);
    agent.commands.push_back({now_ + kCommandDelay, std::move(it)});
  }
  CheckRevision(agent.ref, agent::CurrentTargets(*agent.state).revision,
                agent.highest_revision);
  if (outbox.may_exit) {
    // Commands that were handed to the shell still reach the backend server.
    for (const PendingCommand& it : agent.commands) {
      agent.worker->Handle(now_, it.command);
    }
    Kill(agent.ref, false);
  }
}

void World::StepEntry(Entry& entry) {
  entry::Inbox inbox;
  Arrivals arrivals = network_.Take(entry.ref);
  inbox.links_up = std::move(arrivals.links_up);
  inbox.links_down = std::move(arrivals.links_down);
  inbox.received = std::move(arrivals.received);
  LogArrivals log = log_.Take(entry.ref);
  inbox.log_reads = std::move(log.reads);
  inbox.log_appends = std::move(log.appends);
  inbox.calls.swap(entry.calls);
  for (const entry::IncomingCall& it : inbox.calls) {
    OpenCall& call = open_calls_.at(it.id);
    call.taken = true;
    call.deadline = now_ + call.timeout;
    if (call.kind == CallKind::kRequest) {
      oracle_.Deadline(call.name, now_, call.timeout);
    }
  }
  inbox.shutdown_requested = entry.shutdown_due;
  entry.last_step = now_;
  entry::Outbox outbox =
      entry::Step(*entry.state, inbox, TimePoint(entry.clock.Read(now_)));
  for (const shallotlug::Send& send : outbox.sends) {
    network_.SendFrom(now_, entry.ref, send);
  }
  Trace(entry.ref, outbox.log_lines);
  for (const CloseLink& close : outbox.closes) {
    network_.CloseFrom(now_, entry.ref, close.link);
  }
  for (stream::LogAppend& append : outbox.log_appends) {
    log_.Append(now_, entry.ref, std::move(append));
  }
  for (const stream::LogRead& read : outbox.log_reads) {
    log_.Read(now_, entry.ref, read);
  }
  for (const entry::OutgoingReply& reply : outbox.replies) {
    const auto it = open_calls_.find(reply.id);
    if (it == open_calls_.end()) {
      oracle_.Report(Promise::kP3, now_, "a reply to a call that is not open");
      continue;
    }
    const OpenCall call = it->second;
    open_calls_.erase(it);
    HandleReply(call, reply.reply);
  }
  CheckRevision(entry.ref, entry::CurrentTargets(*entry.state).revision,
                entry.highest_revision);
  if (!entry.shutdown_due) {
    network_.SetReady(entry.ref, entry::Ready(*entry.state));
  }
  if (outbox.may_exit) {
    Kill(entry.ref, false);
  }
}

void World::Advance(Millis duration) {
  const Millis end = now_ + duration;
  while (now_ < end) {
    now_ = std::min(end, now_ + kTick);
    Tick();
  }
}

void World::Tick() {
  network_.Tick(now_);
  log_.Tick(now_);
  for (auto& agent : agents_) {
    while (!agent->commands.empty() && agent->commands.front().at <= now_) {
      const PendingCommand pending = std::move(agent->commands.front());
      agent->commands.pop_front();
      agent->worker->Handle(now_, pending.command);
    }
    agent->worker->Tick(now_);
    if (!agent->alive) {
      continue;
    }
    if (auto report = agent->worker->TakeReport(now_)) {
      for (const agent::TaskEvent& event : report->events) {
        constexpr const char* kKinds[] = {"started", "rejected",     "finished",
                                          "failed",  "checkpointed", "stopped",
                                          "lapsed"};
        Trace("worker " + std::to_string(agent->ref.index),
              event.task.value + " " +
                  kKinds[static_cast<std::size_t>(event.kind)]);
      }
      agent->reports.emplace_back(now_ + kCommandDelay, std::move(*report));
    }
    if (agent->frozen_until > now_) {
      agent->usable_since = now_;
      continue;
    }
    network_.SetFrozen(agent->ref, false);
    const bool due =
        now_ - agent->last_step >= kStepInterval ||
        network_.HasArrivals(agent->ref) ||
        (!agent->reports.empty() && agent->reports.front().first <= now_);
    if (due) {
      StepAgent(*agent);
    }
  }
  for (auto& entry : entries_) {
    if (!entry->alive) {
      continue;
    }
    if (entry->frozen_until > now_) {
      entry->usable_since = now_;
      continue;
    }
    network_.SetFrozen(entry->ref, false);
    const bool due = now_ - entry->last_step >= kStepInterval ||
                     network_.HasArrivals(entry->ref) ||
                     log_.HasArrivals(entry->ref) || !entry->calls.empty();
    if (due) {
      StepEntry(*entry);
    }
  }
  PollJobs();
  configuration_check_->Tick(Configured(), changes_, oracle_);
  oracle_.Tick(now_);
}

void World::CheckRevision(const ProcessRef& process,
                          std::uint64_t revision,
                          std::uint64_t& highest) {
  if (revision < highest) {
    oracle_.Report(Promise::kP8, now_,
                   ToString(process) + " went back from revision " +
                       std::to_string(highest) + " to " +
                       std::to_string(revision));
  }
  highest = std::max(highest, revision);
}

ConfiguredCluster World::Configured() const {
  ConfiguredCluster cluster;
  cluster.now = now_;
  cluster.network = &network_;
  cluster.log = &log_;
  for (const auto& it : entries_) {
    cluster.entries.push_back(
        {it->ref, it->alive ? &entry::CurrentTargets(*it->state) : nullptr,
         it->shutdown_due, it->usable_since});
  }
  for (const auto& it : agents_) {
    cluster.agents.push_back(
        {it->ref, it->alive ? &agent::CurrentTargets(*it->state) : nullptr,
         it->shutdown_due, it->usable_since});
  }
  return cluster;
}

bool World::InForceEverywhere(const OperatorChange& change) const {
  const ConfiguredCluster cluster = Configured();
  const auto uses = [&](const ConfiguredProcess& it) {
    return it.targets == nullptr || Uses(*it.targets, change);
  };
  return std::all_of(cluster.entries.begin(), cluster.entries.end(), uses) &&
         std::all_of(cluster.agents.begin(), cluster.agents.end(), uses);
}

}  // namespace shallotlug::harness
