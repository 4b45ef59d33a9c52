#include <algorithm>
#include <utility>

#include "batch.h"
#include "occurrences.h"
#include "state.h"
#include "suspects.h"
#include "units.h"

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

bool HasTaskGivenUp(const OccurrenceRow& row) {
  const auto& steps = row.progress.steps;
  return std::any_of(steps.begin(), steps.end(), [](const auto& tasks) {
    return std::any_of(tasks.begin(), tasks.end(), [](const auto& it) {
      return it.phase != TaskPhase::kDone && IsGivenUp(it);
    });
  });
}

Outcome OutcomeOf(const OccurrenceRow& row, int max_attempts) {
  if (AllDone(row)) {
    return Outcome::kCompleted;
  }
  if (row.cancelled) {
    return Outcome::kCancelled;
  }
  return AttemptsUsedUp(row, max_attempts) || HasTaskGivenUp(row)
             ? Outcome::kFailed
             : Outcome::kOpen;
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
void StopBrokenGangs(State& state,
                     const OccurrenceKey& key,
                     const OccurrenceRow& row,
                     TimePoint now) {
  for (std::size_t n = 0; n < row.progress.steps.size(); ++n) {
    if (!row.job->steps[n].gang) {
      continue;
    }
    const auto& tasks = row.progress.steps[n];
    const bool broken = std::any_of(
        tasks.begin(), tasks.end(),
        [](const TaskProgress& it) { return it.phase == TaskPhase::kWaiting; });
    if (!broken) {
      continue;
    }
    for (const auto& [task, run] :
         state.runs.OfStep(key.job, key.number, static_cast<int>(n))) {
      RequestStop(state, task, *state.runs.Find(task), "gang_incomplete", now);
    }
  }
}

void StopRuns(State& state,
              const OccurrenceKey& key,
              const char* why,
              TimePoint now) {
  for (const auto& [task, run] : state.runs.OfOccurrence(key.job, key.number)) {
    RequestStop(state, task, *state.runs.Find(task), why, now);
  }
}

/// @brief The tasks of the step that wait and have no run; of a gang none if
/// not all of them do.
WaitingStep WaitingTasks(const State& state,
                         const OccurrenceKey& key,
                         const OccurrenceRow& row,
                         int step) {
  const auto& tasks = row.progress.steps[static_cast<std::size_t>(step)];
  WaitingStep waiting;
  waiting.step = step;
  auto run = state.runs.OfStep(key.job, key.number, step);
  for (int n = 0; n < static_cast<int>(tasks.size()); ++n) {
    const bool present = run.first != run.last && run.first->first.index == n;
    if (present) {
      ++run.first;
    }
    if (!present &&
        tasks[static_cast<std::size_t>(n)].phase == TaskPhase::kWaiting) {
      waiting.tasks.push_back(n);
    } else if (StepOf(row, step).gang) {
      waiting.tasks.clear();
      return waiting;
    }
  }
  return waiting;
}

void DeriveWaiting(State& state, const OccurrenceKey& key, OccurrenceRow& row) {
  row.waiting.clear();
  state.waiting.erase(key);
  if (row.progress.outcome != Outcome::kOpen || row.cancelled) {
    return;
  }
  for (int n = 0; n < static_cast<int>(row.progress.steps.size()); ++n) {
    if (!StepReady(*row.job, row.progress, n)) {
      continue;
    }
    WaitingStep it = WaitingTasks(state, key, row, n);
    if (!it.tasks.empty()) {
      row.waiting.push_back(std::move(it));
    }
  }
  if (!row.waiting.empty()) {
    state.waiting.insert(key);
  }
}

void DeriveTerms(const workload::Policy& policy, OccurrenceRow& row) {
  row.terms = TermsOf(policy, *row.job);
  row.objective_span = ObjectiveSpan(*row.job, row.terms);
}

constexpr Millis kCleanupInterval{1'000};
// A task with at least this progress is left to finish.
constexpr int kAlmostDonePercent = 95;

// A leaving worker often stays longer than it has announced. A run without
// checkpoints that would need more than this of it is lost in any case.
constexpr Millis kMaxOverstay{2'000};

/// @brief Remaining run time, extrapolated from the progress so far.
std::optional<Millis> TimeLeft(const RunRow& run, TimePoint now) {
  if (run.state != RunState::kRunning || run.percent <= 0) {
    return std::nullopt;
  }
  return (now - run.running_since) * (100 - run.percent) / run.percent;
}

/// @brief Number of records of each occurrence.
std::map<int, int> PartsOf(const State& state, const workload::Job& job) {
  std::map<int, int> parts;
  for (auto it = state.occurrences.lower_bound({job.id, 0});
       it != state.occurrences.end() && it->first.job == job.id; ++it) {
    parts[it->first.number] = it->second.progress.in_parts
                                  ? workload::PartCount(it->second.progress)
                                  : 1;
  }
  return parts;
}

bool AllFinal(const State& state, const OccurrenceKey& first, TimePoint limit) {
  if (state.upcoming.contains(first.job)) {
    return false;
  }
  for (auto it = state.occurrences.lower_bound(first);
       it != state.occurrences.end() && it->first.job == first.job; ++it) {
    if (it->second.progress.outcome == Outcome::kOpen ||
        state.unrecorded.contains(it->first) || it->second.final_at > limit) {
      return false;
    }
  }
  return true;
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
  run.stop_requested_at = now;
  state.news.insert(run.on.agent);
  Log(state, "stop_wanted",
      {{"job", task.job.value},
       {"task", workload::ToString(task)},
       {"run", std::to_string(run.run)},
       {"agent", run.on.agent.value},
       {"reason", why},
       Age("placed_ms_ago", run.placed_at, now)});
}

void EvictFromDrainingWorkers(State& state, TimePoint now) {
  for (const auto& [name, agent] : state.agents) {
    if (!agent.worker.draining) {
      continue;
    }
    const Millis remaining =
        agent.draining_since + agent.worker.remaining - now;
    for (const auto& [task, run] : state.runs.On(name).rows) {
      const OccurrenceRow* row = FindOccurrence(state, task);
      if (run->stop_requested || row == nullptr ||
          StepOf(*row, task.step).lasting ||
          run->percent >= kAlmostDonePercent) {
        continue;
      }
      const auto left = TimeLeft(*run, now);
      const Millis allowed = StepOf(*row, task.step).saves_checkpoints
                                 ? remaining
                                 : remaining + kMaxOverstay;
      if (left && *left > allowed) {
        RequestStop(state, task, *run, "worker_leaves", now);
      }
    }
  }
}

bool CleanupIsDue(State& state, TimePoint now) {
  if (now - state.cleaned_at < kCleanupInterval) {
    return false;
  }
  state.cleaned_at = now;
  return true;
}

void DropOldJobs(State& state, Batch& batch, TimePoint now) {
  const TimePoint limit = now - state.options.state_retention;
  std::vector<OccurrenceKey> old;
  for (const auto& [key, row] : state.occurrences) {
    if (key.number == 0 && AllFinal(state, key, limit) &&
        !state.runs.HasJob(key.job)) {
      old.push_back(key);
    }
  }
  for (const OccurrenceKey& it : old) {
    const std::shared_ptr<const workload::Job> job =
        state.occurrences.at(it).job;
    // The others go with the next batches.
    const std::map<int, int> parts = PartsOf(state, *job);
    if (!AddRecords(state, batch, workload::DropJob(*job, parts))) {
      return;
    }
    for (const auto& [n, count] : parts) {
      state.occurrences.erase({it.job, n});
      state.changed.erase({it.job, n});
      state.guaranteed.erase({it.job, n});
    }
    std::erase_if(state.failed_on,
                  [&](const auto& entry) { return entry.first.job == it.job; });
  }
}

void DropLostAgents(State& state, Batch& batch, TimePoint now) {
  std::erase_if(state.agents, [&](const auto& it) {
    const AgentRow& agent = it.second;
    if (now - std::max(agent.heard_at, agent.added_at) <=
            state.options.agent_retention ||
        !state.runs.On(it.first).rows.empty() ||
        !AddRecords(state, batch, {workload::DropAgent(it.first)})) {
      return false;
    }
    Log(state, "agent_forgotten",
        {{"agent", it.first.value}, {"address", agent.address.address}});
    DropWorker(state.speeds, it.first);
    ++state.agents_version;
    return true;
  });
}

void ApplyPolicy(State& state, const workload::Policy& policy) {
  if (policy.version == state.policy_version) {
    return;
  }
  state.policy_version = policy.version;
  state.lowest_priority = 0;
  for (const workload::Queue& it : policy.queues) {
    state.lowest_priority = std::max(state.lowest_priority, it.terms.priority);
  }
  state.guarantees_outdated = true;
  for (const OccurrenceKey& it : state.open) {
    DeriveTerms(policy, state.occurrences.at(it));
    MarkChanged(state, it);
  }
}

namespace {

void DecideOutcome(State& state,
                   const OccurrenceKey& key,
                   OccurrenceRow& row,
                   TimePoint now) {
  row.progress.outcome = OutcomeOf(row, row.terms.max_attempts);
  if (row.progress.outcome == Outcome::kOpen) {
    return;
  }
  state.unrecorded.insert(key);
  state.open.erase(key);
  NoteFinal(state, key.job);
  DropOccurrence(state.speeds, key.job, key.number);
  state.guarantees_outdated = true;
  row.final_at = now;
  Log(state, "occurrence_final",
      {{"job", key.job.value},
       {"occurrence", std::to_string(key.number)},
       {"outcome", Name(row.progress.outcome)},
       {"crashes_workers", HasTaskGivenUp(row) ? "true" : "false"}});
}

}  // namespace

void DecideOutcomes(State& state,
                    const workload::Policy& policy,
                    TimePoint now) {
  EvictFromDrainingWorkers(state, now);
  EvictFromStalledWorkers(state, now);
  for (const OccurrenceKey& it : std::exchange(state.changed, {})) {
    const auto found = state.occurrences.find(it);
    if (found == state.occurrences.end()) {
      continue;
    }
    OccurrenceRow& row = found->second;
    if (row.progress.outcome == Outcome::kOpen) {
      DeriveTerms(policy, row);
      DecideOutcome(state, it, row, now);
    }
    if (row.progress.outcome == Outcome::kCancelled ||
        row.progress.outcome == Outcome::kFailed) {
      StopRuns(state, it, Name(row.progress.outcome), now);
    }
    StopBrokenGangs(state, it, row, now);
    DeriveWaiting(state, it, row);
  }
}

}  // namespace shallotlug::scheduler
