#include "reports.h"

#include <algorithm>

#include "accelerators.h"
#include "job_updates.h"
#include "links.h"
#include "live_queue.h"

namespace shallotlug::agent {
namespace {

// Bounds the reports of a burst of short requests to ten per second and entry.
constexpr Millis kChangeReportInterval{100};

StartableView ViewOf(const State& state) {
  return {AcceleratorUses(state), FreeSlots(state), Leaving(state),
          state.backend.reachable, LinkedEntries(state)};
}

AgentReport MakeReport(const State& state, TimePoint now) {
  AgentReport report;
  report.now = AsPeerTime(now);
  report.config_revision = state.targets.revision;
  report.leaving = Leaving(state);
  report.backend_reachable = state.backend.reachable;
  report.accelerators = AcceleratorUses(state);
  report.free_slots = FreeSlots(state);
  report.live_running = LiveRunning(state);
  report.live_queued = static_cast<int>(state.live.queue.size());
  report.expected_wait = ExpectedWait(state, 1, state.live.queue.size());
  report.live_finished = state.reporting.live_finished;
  report.live_failed = state.reporting.live_failed;
  report.linked_entries = LinkedEntries(state);
  return report;
}

RunningAttempt Describe(const State& state,
                        const Attempt& attempt,
                        const Job& job) {
  RunningAttempt it;
  it.attempt = attempt;
  it.coordinator = true;
  it.phase = PhaseOf(job);
  it.spec = job.spec;
  it.progress = 1;
  for (const JobMember& member : job.members) {
    it.members.push_back(member.spec);
    it.progress = std::min(it.progress, member.progress);
  }
  const auto own = state.gangs.members.find(attempt);
  it.accelerators =
      own == state.gangs.members.end() ? 0 : own->second.accelerators;
  return it;
}

RunningAttempt Describe(const Attempt& attempt, const Member& member) {
  const bool reserving = member.phase == MemberPhase::kGranted ||
                         member.phase == MemberPhase::kReady;
  RunningAttempt it;
  it.attempt = attempt;
  it.phase = reserving ? JobPhase::kReserving : JobPhase::kRunning;
  it.accelerators = member.accelerators;
  return it;
}

std::vector<RunningAttempt> DescribeAttempts(const State& state) {
  std::vector<RunningAttempt> attempts;
  for (const auto& [attempt, job] : state.gangs.jobs) {
    attempts.push_back(Describe(state, attempt, job));
  }
  for (const auto& [attempt, member] : state.gangs.members) {
    if (!state.gangs.jobs.contains(attempt)) {
      attempts.push_back(Describe(attempt, member));
    }
  }
  return attempts;
}

std::vector<ListedAttempt> ListAttempts(const State& state) {
  std::vector<ListedAttempt> listed;
  for (const auto& [attempt, job] : state.gangs.jobs) {
    listed.push_back({attempt, PhaseOf(job), 0});
  }
  for (const auto& [attempt, member] : state.gangs.members) {
    listed.push_back(
        {attempt, Describe(attempt, member).phase, member.accelerators});
  }
  return listed;
}

// Marks the list of attempts as due on all links when it has changed.
void MarkChangedAttemptsDue(State& state) {
  std::vector<ListedAttempt> listed = ListAttempts(state);
  if (listed == state.reporting.listed) {
    return;
  }
  state.reporting.listed = std::move(listed);
  for (auto& [id, link] : state.links) {
    link.attempts_due = true;
  }
}

void SendReport(State& state,
                LinkId id,
                Link& link,
                TimePoint now,
                Outbox& out) {
  AgentReport report = MakeReport(state, now);
  report.has_attempts = link.attempts_due;
  if (link.attempts_due) {
    report.attempts = DescribeAttempts(state);
  }
  link.attempts_due = false;
  out.sends.push_back({id, std::move(report)});
}

bool ReportDue(const State& state, const StartableView& view, TimePoint now) {
  const Reporting& it = state.reporting;
  const Millis since = now - it.last;
  if (since >= state.options.heartbeat_interval) {
    return true;
  }
  if (view.leaving != it.view.leaving) {
    return true;
  }
  return since >= kChangeReportInterval && view != it.view;
}

}  // namespace

void SendHello(State& state, LinkId link, TimePoint now, Outbox& out) {
  const Options& options = state.options;
  SendOn(state, link,
         AgentHello{options.self, options.inventory, options.peer_address,
                    state.targets.revision, AsPeerTime(now)},
         out);
  SendReport(state, link, state.links[link], now, out);
}

void SendDueReports(State& state, TimePoint now, Outbox& out) {
  MarkChangedAttemptsDue(state);
  StartableView view = ViewOf(state);
  if (!ReportDue(state, view, now)) {
    return;
  }
  state.reporting.last = now;
  state.reporting.view = std::move(view);
  for (auto& [id, link] : state.links) {
    if (link.entry) {
      SendReport(state, id, link, now, out);
    }
  }
}

}  // namespace shallotlug::agent
