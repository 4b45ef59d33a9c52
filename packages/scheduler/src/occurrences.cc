#include "occurrences.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "units.h"

namespace shallotlug::scheduler {

using workload::Outcome;
using workload::TaskPhase;

namespace {

workload::WallTime DueTime(const workload::Job& job, int number) {
  return job.recurrence.count > 0
             ? job.recurrence.first + number * job.recurrence.interval
             : job.accepted_at;
}

OccurrenceRow MakeRow(const std::shared_ptr<const workload::Job>& job,
                      int number) {
  OccurrenceRow row;
  row.job = job;
  row.progress = workload::MakeProgress(*job);
  row.due = DueTime(*job, number);
  return row;
}

/// @brief Whether recorded progress has the job's steps and task counts.
bool Matches(const workload::Job& job, const workload::Progress& progress) {
  if (progress.steps.size() != job.steps.size()) {
    return false;
  }
  for (std::size_t n = 0; n < job.steps.size(); ++n) {
    if (progress.steps[n].size() !=
        static_cast<std::size_t>(job.steps[n].count)) {
      return false;
    }
  }
  return true;
}

/// @brief The members of a gang complete together; a predecessor may have
/// recorded that of some of them only.
void CompleteGangs(const workload::Job& job, workload::Progress& progress) {
  for (std::size_t n = 0; n < progress.steps.size(); ++n) {
    auto& tasks = progress.steps[n];
    const auto done = std::find_if(
        tasks.begin(), tasks.end(),
        [](const auto& it) { return it.phase == TaskPhase::kDone; });
    if (job.steps[n].gang && done != tasks.end()) {
      const workload::TaskProgress member = *done;
      std::fill(tasks.begin(), tasks.end(), member);
    }
  }
}

// Runs that a predecessor recorded may be present on their workers.
void RestoreRuns(State& state,
                 const OccurrenceKey& key,
                 const OccurrenceRow& row,
                 Now now) {
  for (std::size_t step = 0; step < row.progress.steps.size(); ++step) {
    const auto& tasks = row.progress.steps[step];
    for (std::size_t n = 0; n < tasks.size(); ++n) {
      if (tasks[n].phase != TaskPhase::kAssigned) {
        continue;
      }
      RunRow run;
      run.run = tasks[n].run;
      run.on = tasks[n].on;
      run.need = NeedOf(row.job->steps[step]);
      run.state = RunState::kOrdered;
      run.ordered_before = true;
      run.placed_at = now.local;
      run.checkpoint = tasks[n].checkpoint;
      run.resumed = !run.checkpoint.empty();
      run.urgent = row.job->terms.priority == 0;
      state.runs.Put(
          {key.job, key.number, static_cast<int>(step), static_cast<int>(n)},
          std::move(run));
    }
  }
}

void AddOccurrence(State& state,
                   const std::shared_ptr<const workload::Job>& job,
                   int number,
                   const workload::JobEntry* entry,
                   Now now) {
  const OccurrenceKey key{job->id, number};
  OccurrenceRow row = MakeRow(job, number);
  row.cancelled = entry != nullptr && entry->cancelled;
  row.known_at = now.local;
  row.known_after = now.wall - row.due;
  if (entry != nullptr) {
    const auto recorded = entry->occurrences.find(number);
    if (recorded != entry->occurrences.end() &&
        Matches(*job, recorded->second)) {
      row.progress = recorded->second;
      CompleteGangs(*job, row.progress);
      row.begun = workload::HasStarted(row.progress);
      RestoreRuns(state, key, row, now);
    }
  }
  if (row.progress.outcome == Outcome::kOpen) {
    state.open.insert(key);
  } else {
    row.final_at = now.local;
  }
  state.occurrences.emplace(key, std::move(row));
  state.guarantees_outdated = true;
  MarkChanged(state, key);
}

std::int64_t TasksOf(const workload::Job& job) {
  std::int64_t tasks = 0;
  for (const workload::Step& it : job.steps) {
    tasks += it.count;
  }
  return tasks;
}

bool HasRoom(const Upcoming& upcoming) {
  return upcoming.open == 0 ||
         (upcoming.open + 1) * upcoming.tasks <= workload::kMaxTasksPerJob;
}

/// @brief Adds the job's occurrences that are due and have no row.
void AddDue(State& state, Upcoming& upcoming, Now now) {
  const std::shared_ptr<const workload::Job>& job = upcoming.job;
  for (; upcoming.next < Occurrences(*job); ++upcoming.next) {
    if (state.occurrences.contains({job->id, upcoming.next})) {
      continue;
    }
    if (DueTime(*job, upcoming.next) > now.wall || !HasRoom(upcoming)) {
      return;
    }
    AddOccurrence(state, job, upcoming.next, nullptr, now);
    ++upcoming.open;
  }
}

}  // namespace

void AddOccurrences(State& state, const workload::JobEntry& entry, Now now) {
  if (state.occurrences.contains({entry.job->id, 0})) {
    return;
  }
  const auto job = std::make_shared<const workload::Job>(*entry.job);
  AddOccurrence(state, job, 0, &entry, now);
  for (const auto& [number, progress] : entry.occurrences) {
    if (number > 0 && number < Occurrences(*job)) {
      AddOccurrence(state, job, number, &entry, now);
    }
  }
  if (Occurrences(*job) == 1 || entry.cancelled) {
    return;
  }
  Upcoming upcoming;
  upcoming.job = job;
  upcoming.tasks = TasksOf(*job);
  const auto first = state.open.lower_bound({job->id, 0});
  const auto last = std::find_if(first, state.open.end(), [&](const auto& it) {
    return it.job != job->id;
  });
  upcoming.open = std::distance(first, last);
  AddDue(state, upcoming, now);
  state.upcoming.emplace(job->id, std::move(upcoming));
}

void AddDueOccurrences(State& state, Now now) {
  for (auto it = state.upcoming.begin(); it != state.upcoming.end();) {
    AddDue(state, it->second, now);
    it = it->second.next < Occurrences(*it->second.job)
             ? std::next(it)
             : state.upcoming.erase(it);
  }
}

void CancelOccurrences(State& state, const JobId& job) {
  state.upcoming.erase(job);
  for (auto it = state.occurrences.lower_bound({job, 0});
       it != state.occurrences.end() && it->first.job == job; ++it) {
    it->second.cancelled = true;
    MarkChanged(state, it->first);
  }
}

void NoteFinal(State& state, const JobId& job) {
  const auto it = state.upcoming.find(job);
  if (it != state.upcoming.end()) {
    --it->second.open;
  }
}

}  // namespace shallotlug::scheduler
