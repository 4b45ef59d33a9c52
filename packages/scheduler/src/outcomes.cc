#include <algorithm>

#include "state.h"

namespace shallotlug::scheduler {

using workload::Outcome;
using workload::TaskPhase;
using workload::TaskProgress;
using workload::TaskRef;

namespace {

bool AllDone(const OccurrenceRow& row) {
  for (int n = 0; n < static_cast<int>(row.progress.steps.size()); ++n) {
    if (!workload::StepDone(row.progress, n)) {
      return false;
    }
  }
  return true;
}

bool AttemptsUsedUp(const OccurrenceRow& row, int max_attempts) {
  for (std::size_t step = 0; step < row.progress.steps.size(); ++step) {
    if (row.job->steps[step].lasting) {
      continue;
    }
    const auto& tasks = row.progress.steps[step];
    if (std::any_of(tasks.begin(), tasks.end(), [&](const TaskProgress& it) {
          return it.phase != TaskPhase::kDone && it.failures >= max_attempts;
        })) {
      return true;
    }
  }
  return false;
}

Outcome OutcomeOf(const OccurrenceRow& row, int max_attempts) {
  if (AllDone(row)) {
    return Outcome::kCompleted;
  }
  if (row.cancelled) {
    return Outcome::kCancelled;
  }
  return AttemptsUsedUp(row, max_attempts) ? Outcome::kFailed : Outcome::kOpen;
}

const char* Name(Outcome outcome) {
  switch (outcome) {
    case Outcome::kOpen:
      return "open";
    case Outcome::kCompleted:
      return "completed";
    case Outcome::kFailed:
      return "failed";
    case Outcome::kCancelled:
      return "cancelled";
  }
  return "open";
}

// A gang member whose peers are not placed would wait in vain.
void StopBrokenGangs(State& state, TimePoint now) {
  for (auto& [task, run] : state.runs) {
    OccurrenceRow* row = FindOccurrence(state, task);
    if (row == nullptr || run.stop_requested || !StepOf(*row, task.step).gang) {
      continue;
    }
    const std::vector<TaskRef> members = GangOf(*row, task);
    const bool broken =
        std::any_of(members.begin(), members.end(), [&](const TaskRef& it) {
          return ProgressOf(*row, it).phase == TaskPhase::kWaiting;
        });
    if (broken) {
      RequestStop(state, task, run, "gang_incomplete", now);
    }
  }
}

void StopFinalOccurrences(State& state, TimePoint now) {
  for (auto& [task, run] : state.runs) {
    const OccurrenceRow* row = FindOccurrence(state, task);
    if (row == nullptr) {
      RequestStop(state, task, run, "job_unknown", now);
    } else if (row->progress.outcome == Outcome::kCancelled ||
               row->progress.outcome == Outcome::kFailed) {
      RequestStop(state, task, run, Name(row->progress.outcome), now);
    }
  }
}

// A run that was not ordered yet can be dropped without a stop.
void DropUnorderedStops(State& state, TimePoint now) {
  std::vector<TaskRef> drops;
  for (const auto& [task, run] : state.runs) {
    if (run.stop_requested && run.state == RunState::kPlanned) {
      drops.push_back(task);
    }
  }
  for (const TaskRef& it : drops) {
    AbandonRun(state, it, "not_ordered", now);
  }
}

// A task with at least this progress is left to finish.
constexpr int kAlmostDonePercent = 95;

/// @brief Remaining run time, extrapolated from the progress so far.
std::optional<Millis> TimeLeft(const RunRow& run, TimePoint now) {
  if (run.state != RunState::kRunning || run.percent <= 0) {
    return std::nullopt;
  }
  return (now - run.running_since) * (100 - run.percent) / run.percent;
}

bool AllFinal(const State& state, const OccurrenceKey& first, TimePoint limit) {
  for (auto it = state.occurrences.lower_bound(first);
       it != state.occurrences.end() && it->first.job == first.job; ++it) {
    if (it->second.progress.outcome == Outcome::kOpen || it->second.dirty ||
        it->second.final_at > limit) {
      return false;
    }
  }
  return true;
}

bool HasRuns(const State& state, const JobId& job) {
  const auto it = state.runs.lower_bound({job, 0, 0, 0});
  return it != state.runs.end() && it->first.job == job;
}

}  // namespace

void RequestStop(State& state,
                 const TaskRef& task,
                 RunRow& run,
                 const char* why,
                 TimePoint now) {
  if (run.stop_requested) {
    return;
  }
  run.stop_requested = true;
  Log(state, "stop_wanted",
      {{"job", task.job.value},
       {"task", workload::ToString(task)},
       {"run", std::to_string(run.run)},
       {"agent", run.on.agent.value},
       {"reason", why},
       Age("placed_ms_ago", run.placed_at, now)});
}

void EvictFromDrainingWorkers(State& state, TimePoint now) {
  for (auto& [task, run] : state.runs) {
    const auto agent = state.agents.find(run.on.agent);
    const OccurrenceRow* row = FindOccurrence(state, task);
    if (run.stop_requested || row == nullptr || agent == state.agents.end() ||
        !agent->second.worker.draining ||
        !StepOf(*row, task.step).saves_checkpoints ||
        run.percent >= kAlmostDonePercent) {
      continue;
    }
    const Millis remaining =
        agent->second.draining_since + agent->second.worker.remaining - now;
    const auto left = TimeLeft(run, now);
    if (left && *left > remaining) {
      RequestStop(state, task, run, "worker_leaves", now);
    }
  }
}

std::vector<workload::RawRecord> DropOldJobs(State& state, TimePoint now) {
  const TimePoint limit = now - state.options.state_retention;
  std::vector<OccurrenceKey> old;
  for (const auto& [key, row] : state.occurrences) {
    if (key.number == 0 && AllFinal(state, key, limit) &&
        !HasRuns(state, key.job)) {
      old.push_back(key);
    }
  }
  std::vector<workload::RawRecord> drops;
  for (const OccurrenceKey& it : old) {
    const std::shared_ptr<const workload::Job> job =
        state.occurrences.at(it).job;
    for (workload::RawRecord& drop : workload::DropJob(*job)) {
      drops.push_back(std::move(drop));
    }
    for (int n = 0; n < Occurrences(*job); ++n) {
      state.occurrences.erase({it.job, n});
    }
    std::erase_if(state.failed_on,
                  [&](const auto& entry) { return entry.first.job == it.job; });
    std::erase_if(state.counted_gang_failures,
                  [&](const auto& entry) { return entry.first.job == it.job; });
  }
  return drops;
}

std::vector<workload::RawRecord> DropLostAgents(State& state, TimePoint now) {
  std::vector<workload::RawRecord> drops;
  std::erase_if(state.agents, [&](const auto& it) {
    const AgentRow& agent = it.second;
    if (now - std::max(agent.heard_at, agent.added_at) <=
            state.options.agent_retention ||
        std::any_of(state.runs.begin(), state.runs.end(), [&](const auto& run) {
          return run.second.on.agent == it.first;
        })) {
      return false;
    }
    Log(state, "agent_forgotten",
        {{"agent", it.first.value}, {"address", agent.address.address}});
    drops.push_back(workload::DropAgent(it.first));
    return true;
  });
  return drops;
}

void DecideOutcomes(State& state,
                    const workload::Policy& policy,
                    TimePoint now) {
  for (auto it = state.open.begin(); it != state.open.end();) {
    OccurrenceRow& row = state.occurrences.at(*it);
    const Outcome outcome =
        OutcomeOf(row, TermsOf(policy, *row.job).max_attempts);
    if (outcome == Outcome::kOpen) {
      ++it;
      continue;
    }
    row.progress.outcome = outcome;
    row.dirty = true;
    row.final_at = now;
    Log(state, "occurrence_final",
        {{"job", it->job.value},
         {"occurrence", std::to_string(it->number)},
         {"outcome", Name(outcome)}});
    it = state.open.erase(it);
  }
  EvictFromDrainingWorkers(state, now);
  EvictFromStalledWorkers(state, now);
  StopBrokenGangs(state, now);
  StopFinalOccurrences(state, now);
  DropUnorderedStops(state, now);
}

}  // namespace shallotlug::scheduler
