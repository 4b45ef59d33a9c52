// Starts and faults of the World's processes.
#include <algorithm>

#include "processes.h"
#include "shallotlug/harness/workload.h"
#include "shallotlug/harness/world.h"

namespace shallotlug::harness {
namespace {

// A silent link is found after 3 s and redialled within 1 s; what waits on it
// is then resolved.
constexpr Millis kFaultRecovery{6000};

}  // namespace

void World::StartAgent(Agent& agent) {
  agent.options.self.incarnation = Incarnation{random_.Next() | 1};
  agent.options.random_seed = random_.Next();
  agent.state =
      agent::MakeState(agent.options, TimePoint(agent.clock.Read(now_)));
  agent.alive = true;
  agent.shutdown_due = false;
  agent.frozen_until = Millis(0);
  agent.usable_since = now_;
  agent.highest_revision = 0;
  agent.commands.clear();
  agent.reports.clear();
  agent.worker->ReportNow();
  network_.Start(agent.ref);
}

void World::StartEntry(Entry& entry) {
  entry.options.self.incarnation = Incarnation{random_.Next() | 1};
  entry.options.random_seed = random_.Next();
  entry.state =
      entry::MakeState(entry.options, TimePoint(entry.clock.Read(now_)));
  entry.alive = true;
  entry.shutdown_due = false;
  ++entry.life;
  entry.frozen_until = Millis(0);
  entry.usable_since = now_;
  entry.highest_revision = 0;
  entry.calls.clear();
  log_.Forget(entry.ref);
  network_.Start(entry.ref);
}

bool World::Alive(const ProcessRef& process) const {
  const auto index = static_cast<std::size_t>(process.index - 1);
  return process.role == Role::kEntry ? entries_.at(index)->alive
                                      : agents_.at(index)->alive;
}

void World::Kill(const ProcessRef& process, bool silently) {
  if (!Alive(process)) {
    return;
  }
  network_.Stop(now_, process, silently);
  const auto index = static_cast<std::size_t>(process.index - 1);
  if (process.role == Role::kAgent) {
    oracle_.HolderDied(process.index);
    Agent& agent = *agents_[index];
    agent.alive = false;
    agent.state.reset();
    agent.commands.clear();
    agent.reports.clear();
    if (silently) {
      agent.worker->Restart(now_);
      agent.clock = ClockAfterPowerLoss(agent.clock, now_, clock_random_);
    }
    return;
  }
  Entry& entry = *entries_[index];
  entry.alive = false;
  if (silently) {
    entry.clock = ClockAfterPowerLoss(entry.clock, now_, clock_random_);
  }
  entry.state.reset();
  entry.calls.clear();
  log_.Forget(process);
  std::vector<OpenCall> lost;
  std::erase_if(open_calls_, [&](const auto& it) {
    if (it.second.entry != process.index) {
      return false;
    }
    lost.push_back(it.second);
    return true;
  });
  for (const OpenCall& call : lost) {
    CallLost(call);
  }
}

void World::Restart(const ProcessRef& process) {
  Kill(process, false);
  const auto index = static_cast<std::size_t>(process.index - 1);
  if (process.role == Role::kAgent) {
    StartAgent(*agents_[index]);
  } else {
    StartEntry(*entries_[index]);
  }
}

void World::Freeze(const ProcessRef& process, Millis duration) {
  if (!Alive(process)) {
    return;
  }
  const auto index = static_cast<std::size_t>(process.index - 1);
  Millis& until = process.role == Role::kAgent ? agents_[index]->frozen_until
                                               : entries_[index]->frozen_until;
  until = std::max(until, now_ + duration);
  network_.SetFrozen(process, true);
}

void World::Shutdown(const ProcessRef& process) {
  if (!Alive(process)) {
    return;
  }
  const auto index = static_cast<std::size_t>(process.index - 1);
  if (process.role == Role::kEntry) {
    entries_[index]->shutdown_due = true;
    network_.SetReady(process, false);
  } else {
    agents_[index]->shutdown_due = true;
  }
  if (now_ < faults_until_ + kFaultRecovery) {
    return;
  }
  for (auto& open : open_calls_) {
    OpenCall& call = open.second;
    if (call.kind != CallKind::kRequest || !call.taken) {
      continue;
    }
    const bool running = oracle_.Running(call.name) > 0;
    const bool here = process.role == Role::kEntry
                          ? call.entry == process.index
                          : agents_[index]->worker->Runs(call.name);
    // The deadline must leave time for the whole run. Calls that join a request
    // end with the deadline of the first one.
    const Millis run = FromBody(requests_[call.name].body).run_time;
    const bool in_time = std::all_of(
        open_calls_.begin(), open_calls_.end(), [&](const auto& it) {
          return it.second.name != call.name ||
                 now_ + run + Millis(500) < it.second.deadline;
        });
    call.must_answer = call.must_answer || (here && running && in_time);
  }
}

void World::ExcuseInFlight(Millis until) {
  faults_until_ = std::max(faults_until_, until);
  for (auto& [id, call] : open_calls_) {
    call.must_answer = false;
  }
}

void World::DamageAnswers(int percent, Millis until) {
  damaged_percent_ = percent;
  damaged_until_ = until;
}

void World::Calm() {
  damaged_until_ = Millis(0);
  network_.ClearFaults();
  log_.ClearFaults();
  for (auto& agent : agents_) {
    agent->worker->SetFailsAll(false);
    agent->worker->SetCutsAnswers(false);
    agent->worker->SetLeaving(now_, false);
    agent->frozen_until = std::min(agent->frozen_until, now_);
  }
  for (auto& entry : entries_) {
    entry->frozen_until = std::min(entry->frozen_until, now_);
  }
  StartAll();
}

void World::StartAll() {
  for (auto& agent : agents_) {
    if (!agent->alive) {
      Restart(agent->ref);
    }
  }
  for (auto& entry : entries_) {
    if (!entry->alive) {
      Restart(entry->ref);
    }
  }
}

}  // namespace shallotlug::harness
