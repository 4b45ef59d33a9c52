#include <algorithm>

#include "avoidance.h"
#include "crash_counts.h"
#include "rates.h"
#include "waits.h"

namespace shallotlug::scheduler {

using protocol::RefusalReason;
using protocol::SyncReply;
using workload::EndReason;
using workload::RunRef;
using workload::TaskPhase;
using workload::TaskProgress;
using workload::TaskRef;

namespace {

void SetWaiting(TaskProgress& task) {
  task.phase = TaskPhase::kWaiting;
  task.on = {};
}

void SetDone(TaskProgress& task) {
  task.phase = TaskPhase::kDone;
  task.on = {};
  task.checkpoint.clear();
  task.crashes.clear();
}

/// @brief Whether the end belongs to the newest run of its task, and the task
/// is not running elsewhere.
bool IsCurrent(const State& state,
               const TaskProgress& progress,
               const RunRef& run) {
  return progress.run == run.run && progress.phase != TaskPhase::kDone &&
         (progress.phase == TaskPhase::kAssigned ||
          !state.runs.Contains(run.task));
}

void ApplyDone(OccurrenceRow& row, const TaskRef& task) {
  if (StepOf(row, task.step).lasting) {
    SetWaiting(ProgressOf(row, task));
    return;
  }
  // The members of a gang complete together, so one end completes all.
  for (const TaskRef& it : GangOf(row, task)) {
    SetDone(ProgressOf(row, it));
  }
}

// Failures of several gang members in one run count as one failed attempt.
void ApplyFailure(OccurrenceRow& row, const RunRef& run) {
  if (ProgressOf(row, run.task).failed_run < run.run) {
    for (const TaskRef& it : GangOf(row, run.task)) {
      TaskProgress& task = ProgressOf(row, it);
      ++task.failures;
      task.failed_run = run.run;
    }
  }
  SetWaiting(ProgressOf(row, run.task));
}

// All members of a gang resume from the same checkpoint.
void SetCheckpoint(OccurrenceRow& row,
                   const TaskRef& task,
                   const std::string& checkpoint) {
  if (checkpoint.empty()) {
    return;
  }
  if (!StepOf(row, task.step).gang) {
    ProgressOf(row, task).checkpoint = checkpoint;
    return;
  }
  for (TaskProgress& it :
       row.progress.steps[static_cast<std::size_t>(task.step)]) {
    it.checkpoint = checkpoint;
  }
}

void ApplyEnd(State& state,
              AgentRow& agent,
              const workload::RunEnd& end,
              TimePoint now) {
  const TaskRef& task = end.run.task;
  OccurrenceRow* row = FindOccurrence(state, task);
  const RunRow* run = state.runs.Find(task);
  const bool known_run = run != nullptr && run->run == end.run.run &&
                         run->on.agent == agent.address.agent;
  const bool current =
      row != nullptr && IsCurrent(state, ProgressOf(*row, task), end.run);
  const TimePoint placed_at = known_run ? run->placed_at : TimePoint{};
  Log(state, "run_ended",
      {{"job", task.job.value},
       {"task", workload::ToString(task)},
       {"run", std::to_string(end.run.run)},
       {"agent", agent.address.agent.value},
       {"reason", Name(end.reason)},
       {"current", current ? "true" : "false"}});
  if (known_run) {
    EraseRun(state, task);
  }
  if (row != nullptr) {
    AwaitRecord(state, agent, KeyOf(task));
  }
  if (!current) {
    return;
  }
  SetCheckpoint(*row, task, end.checkpoint);
  MarkUnrecorded(state, KeyOf(task));
  switch (end.reason) {
    case EndReason::kDone:
      CountSuccess(state, agent);
      ApplyDone(*row, task);
      return;
    case EndReason::kFailed:
      ApplyFailure(*row, end.run);
      state.failed_on[task][agent.address.agent] = now;
      CountFailure(state, agent, task, placed_at, now);
      return;
    case EndReason::kStopped:
    case EndReason::kLapsed:
    case EndReason::kBroken:
    case EndReason::kAlone:
      SetWaiting(ProgressOf(*row, task));
      return;
  }
}

void ApplyRefusal(State& state,
                  AgentRow& agent,
                  const protocol::Refusal& refusal,
                  TimePoint now) {
  const TaskRef& task = refusal.run.task;
  const RunRow* run = state.runs.Find(task);
  // The agent may forget the refusal once the end of the run is recorded: a
  // successor that still reads the run as placed orders it again.
  agent.unsettled.insert(refusal.run);
  state.unsettled.insert(agent.address.agent);
  AwaitRecord(state, agent, KeyOf(task));
  if (run == nullptr || run->run != refusal.run.run ||
      run->on.agent != agent.address.agent) {
    return;
  }
  const TimePoint placed_at = run->placed_at;
  AbandonRun(state, task, Name(refusal.reason), now);
  if (refusal.reason == RefusalReason::kUnhealthy ||
      refusal.reason == RefusalReason::kNoAnswer) {
    AvoidWorker(state, agent, Name(refusal.reason), placed_at, now);
  }
}

void ApplyRunReport(State& state,
                    RunRow& row,
                    const protocol::RunReport& report,
                    TimePoint now) {
  if (report.phase == protocol::RunPhase::kStarting) {
    row.state = RunState::kStarting;
    return;
  }
  if (row.state != RunState::kRunning) {
    row.state = RunState::kRunning;
    row.running_since = now;
    row.advanced_at = now;
    LogIfBegun(state, report.active.run.task, now);
  }
  if (report.active.percent > row.percent) {
    row.advanced_at = now;
  }
  row.percent = report.active.percent;
}

// A checkpoint alone is not recorded: it goes into the next record of the
// occurrence, and a new scheduler hears it from the agent. Only work whose
// worker is lost together with the scheduler starts from an older one.
void ApplyCheckpoint(State& state,
                     const protocol::RunReport& report,
                     RunRow& row) {
  const std::string& checkpoint = report.active.checkpoint;
  if (checkpoint.empty() || checkpoint == row.checkpoint) {
    return;
  }
  row.checkpoint = checkpoint;
  OccurrenceRow* occurrence = FindOccurrence(state, report.active.run.task);
  if (occurrence != nullptr) {
    SetCheckpoint(*occurrence, report.active.run.task, checkpoint);
  }
}

void ApplyRunReports(State& state,
                     AgentRow& agent,
                     const SyncReply& reply,
                     TimePoint now) {
  const ReadTimes times(reply, now);
  const bool had_orphans = !agent.orphans.empty();
  agent.orphans.clear();
  std::set<RunRef> reported;
  for (const protocol::RunReport& it : reply.runs) {
    const RunRef& run = it.active.run;
    RunRow* row = state.runs.Find(run.task);
    if (row == nullptr || row->run != run.run ||
        row->on.agent != agent.address.agent) {
      agent.orphans.push_back(run);
      continue;
    }
    reported.insert(run);
    ApplyRunReport(state, *row, it, now);
    CountProgress(state, agent, *row, now);
    ApplyCheckpoint(state, it, *row);
    MeasureRate(state, it, *row, times);
  }
  if (had_orphans && agent.orphans.empty()) {
    state.placement_outdated = true;
  }
  if (reply.more_ends) {
    return;
  }
  // Order a run again that the agent no longer reports; its worker refuses it
  // if it has ended.
  for (const auto& [task, run] : state.runs.On(agent.address.agent).rows) {
    if ((run->state == RunState::kStarting ||
         run->state == RunState::kRunning) &&
        !reported.contains({task, run->run})) {
      run->state = RunState::kOrdered;
      state.news.insert(agent.address.agent);
    }
  }
}

void ApplyEnds(State& state,
               AgentRow& agent,
               const SyncReply& reply,
               TimePoint now) {
  for (const workload::RunEnd& it : reply.ends) {
    if (it.number > agent.processed_ends) {
      agent.processed_ends = it.number;
      state.unnoted.insert(agent.address.agent);
      ApplyEnd(state, agent, it, now);
    }
  }
}

std::vector<TaskRef> RunsOn(const State& state, const AgentName& agent) {
  std::vector<TaskRef> tasks;
  for (const auto& [task, run] : state.runs.On(agent).rows) {
    if (run->state != RunState::kPlanned) {
      tasks.push_back(task);
    }
  }
  return tasks;
}

// Runs of a former worker life have ended, except those that the agent still
// reports: their start may still reach the new life, and the agent refuses them
// once they have been stopped there. `announced`: the former life said that it
// would leave.
void AbandonRunsOfFormerLife(State& state,
                             const AgentRow& agent,
                             const SyncReply& reply,
                             bool announced,
                             const char* why,
                             TimePoint now) {
  for (const TaskRef& it : RunsOn(state, agent.address.agent)) {
    const RunRow& run = *state.runs.Find(it);
    const bool listed = std::any_of(
        reply.runs.begin(), reply.runs.end(), [&](const auto& report) {
          return report.active.run == RunRef{it, run.run};
        });
    const bool former = run.on.worker != reply.worker.life;
    const bool gone = reply.worker_state == protocol::WorkerState::kGone;
    if (listed || (!former && !gone)) {
      continue;
    }
    if (!gone && !announced) {
      CountUnreportedCrash(state, agent, {it, run.run});
    }
    AbandonRun(state, it, why, now);
  }
}

void ApplyWorkerFacts(State& state,
                      AgentRow& agent,
                      const SyncReply& reply,
                      TimePoint now) {
  if (reply.worker_state != agent.worker_state ||
      reply.worker.life != agent.worker.life ||
      reply.worker.draining != agent.worker.draining) {
    Log(state, "worker_changed",
        {{"agent", agent.address.agent.value},
         {"worker", reply.worker.life.id},
         {"born", std::to_string(reply.worker.life.born)},
         {"state", Name(reply.worker_state)},
         {"draining", reply.worker.draining ? "true" : "false"}});
  }
  if (reply.worker.life != agent.worker.life) {
    agent.processed_ends = 0;
    agent.noted_ends = 0;
    agent.noted_sent = 0;
    agent.avoidance = {};
  }
  if (reply.worker.draining &&
      (!agent.worker.draining ||
       agent.worker.remaining != reply.worker.remaining)) {
    agent.draining_since = now;
  }
  if (reply.worker_state != agent.worker_state ||
      reply.worker != agent.worker) {
    state.placement_outdated = true;
  }
  if (state.options.learn_speeds) {
    NoteLife(state.speeds, agent.address.agent, reply.worker.life, reply.speed);
  }
  const bool announced = agent.worker.draining;
  agent.worker_state = reply.worker_state;
  agent.worker = reply.worker;
  agent.rack =
      state.racks
          .try_emplace(reply.worker.rack, static_cast<int>(state.racks.size()))
          .first->second;
  if (reply.worker_state == protocol::WorkerState::kPresent) {
    AbandonRunsOfFormerLife(state, agent, reply, announced, "worker_restarted",
                            now);
  } else if (reply.worker_state == protocol::WorkerState::kGone) {
    AbandonRunsOfFormerLife(state, agent, reply, announced, "worker_gone", now);
  }
}

void LogAgentRestart(State& state,
                     const AgentRow& agent,
                     const SyncReply& reply,
                     TimePoint now) {
  const Millis expected = now - agent.heard_at;
  const Millis step = reply.clock - agent.clock.at - expected;
  Log(state, "agent_restarted",
      {{"agent", agent.address.agent.value},
       {"silent_ms", std::to_string(expected.count())},
       {"clock_step_ms", std::to_string(step.count())}});
}

void LogIgnoredReply(State& state,
                     const AgentRow& agent,
                     const SyncReply& reply) {
  Log(state, "reply_of_other_incarnation",
      {{"agent", agent.address.agent.value},
       {"worker", reply.worker.life.id},
       {"born", std::to_string(reply.worker.life.born)},
       {"version", std::to_string(reply.version)}});
}

}  // namespace

void AbandonRun(State& state,
                const TaskRef& task,
                const std::string& reason,
                TimePoint now) {
  const RunRow* run = state.runs.Find(task);
  if (run == nullptr) {
    return;
  }
  Log(state, "run_over",
      {{"job", task.job.value},
       {"task", workload::ToString(task)},
       {"run", std::to_string(run->run)},
       {"agent", run->on.agent.value},
       {"reason", reason},
       Age("placed_ms_ago", run->placed_at, now)});
  OccurrenceRow* row = FindOccurrence(state, task);
  if (row != nullptr) {
    TaskProgress& progress = ProgressOf(*row, task);
    if (progress.phase == TaskPhase::kAssigned && progress.run == run->run) {
      SetWaiting(progress);
      MarkUnrecorded(state, KeyOf(task));
    }
  }
  EraseRun(state, task);
}

void ExpireLeases(State& state, TimePoint now) {
  for (const auto& [name, agent] : state.agents) {
    if (now < agent.lease_expiry) {
      continue;
    }
    const std::vector<TaskRef> over = RunsOn(state, name);
    if (over.empty()) {
      continue;
    }
    Log(state, "lease_lapsed",
        {{"agent", name.value},
         {"runs", std::to_string(over.size())},
         {"worker_state", Name(agent.worker_state)},
         Age("heard_ms_ago", agent.heard_at, now),
         Age("lapsed_ms_ago", agent.lease_expiry, now)});
    for (const TaskRef& it : over) {
      AbandonRun(state, it, "lease_lapsed", now);
    }
  }
}

void ApplyReply(State& state,
                const AgentName& name,
                Incarnation known,
                const SyncReply& reply,
                TimePoint now) {
  const auto found = state.agents.find(name);
  if (found == state.agents.end() || !reply.accepted) {
    return;
  }
  AgentRow& agent = found->second;
  const bool other = reply.incarnation != agent.clock.incarnation;
  if (!other && reply.version < agent.version) {
    // Replies to two calls may arrive out of order.
    return;
  }
  if (agent.heard && other && known != agent.clock.incarnation) {
    // Only the answer to a request that was made after the present incarnation
    // was heard is certain to come from a later one.
    LogIgnoredReply(state, agent, reply);
    return;
  }
  if (!agent.heard) {
    // From now on the agent accepts no lower epoch; a lease of a predecessor
    // started at an earlier reading of the agent's clock.
    agent.lease_expiry = LeaseExpiry(state.options, now, state.options.lease);
    state.placement_outdated = true;
  }
  if (agent.heard && other) {
    LogAgentRestart(state, agent, reply, now);
  }
  agent.version = reply.version;
  agent.heard = true;
  agent.heard_at = now;
  agent.clock = {reply.incarnation, reply.clock};
  // Must precede ApplyWorkerFacts(), which abandons runs of a former life.
  for (const workload::RunEnd& it : reply.former_ends) {
    ApplyEnd(state, agent, it, now);
    agent.unsettled.insert(it.run);
    state.unsettled.insert(name);
  }
  for (const protocol::CrashReport& it : reply.crashes) {
    ApplyCrash(state, agent, it);
  }
  ApplyWorkerFacts(state, agent, reply, now);
  if (reply.worker_state == protocol::WorkerState::kUnknown) {
    return;
  }
  agent.more_ends = reply.more_ends;
  ApplyEnds(state, agent, reply, now);
  for (const protocol::Refusal& it : reply.refusals) {
    ApplyRefusal(state, agent, it, now);
  }
  ApplyRunReports(state, agent, reply, now);
}

}  // namespace shallotlug::scheduler
